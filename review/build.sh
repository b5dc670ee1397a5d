#!/bin/sh
# Builds the stand-ins of the cases. They are Python files of this folder that use the standard library alone, so
# this only checks that the build of deploy/balancer.toml is there and that every file can be compiled.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -B - review/standins.py review/*/case.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
