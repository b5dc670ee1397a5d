#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of deploy/balancer.toml. They are Python files that need
# the standard library only and run on the interpreter of .venv, so that there is nothing to install or compile:
# this checks that the interpreter is there and accepts them.
set -e
cd "$(dirname "$0")/.."
for file in review/lib2/standins2.py review/lib3/standins3.py review/[6-9]/case.py review/10/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
