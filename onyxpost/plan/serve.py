"""One planner as a process: its file read, its log on standard output, its exit code."""

from __future__ import annotations

import asyncio
import sys
from functools import partial

from onyxpost.deployment import Unreadable
from onyxpost.edge.log import Lines
from onyxpost.plan import file
from onyxpost.plan.planner import Planner


def serve(path: str) -> int:
    try:
        told = file.read(path)
    except Unreadable as err:
        print(f"onyxpost: {err}", file=sys.stderr)
        return 2
    lines = Lines(told.name, told.log_level)
    lines.libraries()
    try:
        return asyncio.run(Planner(told, lines, partial(file.read, path)).run())
    except OSError as err:  # an address that cannot be had
        print(f"onyxpost: {err}", file=sys.stderr)
        return 1
