"""One edge node as a process: its file read, its log on standard output, its exit code."""

from __future__ import annotations

import asyncio
import os
import sys
from functools import partial

from onyxpost.deployment import Unreadable
from onyxpost.edge import node
from onyxpost.edge.log import Lines
from onyxpost.edge.program import Program
from onyxpost.errors import line


def serve() -> int:
    try:
        told = node.read(os.environ)
    except Unreadable as err:
        print(f"onyxpost: {line(err)}", file=sys.stderr)
        return 2
    lines = Lines(told.name, told.log_level)
    lines.libraries()
    try:
        return asyncio.run(Program(told, lines, partial(node.read, os.environ, again=True)).run())
    except Unreadable as err:  # what a voter kept on disk cannot be used
        print(f"onyxpost: {line(err)}", file=sys.stderr)
        return 2
    except OSError as err:  # an address that cannot be had
        print(f"onyxpost: {err}", file=sys.stderr)
        return 1
