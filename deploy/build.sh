#!/bin/sh
# Leaves in the folder all that a node needs; compiled ahead, as files are read-only when it runs.
set -e
.venv/bin/python -c 'import h11, msgspec, click' 2>/dev/null || {
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
}
.venv/bin/python -m compileall -q --invalidation-mode checked-hash onyxpost
