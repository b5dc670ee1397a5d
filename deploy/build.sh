#!/bin/sh
# Installs a node's dependencies into .venv and compiles the package in advance, because the files are
# read-only while a node runs.
set -e
.venv/bin/python -c 'import h11, msgspec, click' 2>/dev/null || {
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
}
.venv/bin/python -m compileall -q --invalidation-mode checked-hash onyxpost
