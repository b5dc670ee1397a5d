"""The command line: `serve` runs one edge node, `check` reads what one would be told, `version`."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from functools import partial

from onyxpost import __version__
from onyxpost.deployment import Unreadable
from onyxpost.edge import node
from onyxpost.edge.log import Lines
from onyxpost.edge.program import Program


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="onyxpost", description="Holds customers to their quotas.")
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("serve", help="run one edge node, as the EDGE_ variables say")
    check = commands.add_parser("check", help="read a node's JSON file and say whether it can be used")
    check.add_argument("file", nargs="?", help="the file; without it the one that EDGE_CONFIG names")
    commands.add_parser("version", help="print the version")
    chosen = parser.parse_args(arguments)
    if chosen.command == "version":
        print(f"onyxpost {__version__}")
        return 0
    try:
        file = getattr(chosen, "file", None)
        told = node.read({"EDGE_CONFIG": file} if file else os.environ)
    except Unreadable as err:
        print(f"onyxpost: {err}", file=sys.stderr)
        return 2
    if chosen.command == "check":
        print(f"{told.name}: {len(told.known.rows)} servers, {len(told.deployment.frontends)} frontends")
        return 0
    try:
        return asyncio.run(Program(told, Lines(told.name), partial(node.read, os.environ, again=True)).run())
    except OSError as err:  # an address that cannot be had
        print(f"onyxpost: {err}", file=sys.stderr)
        return 1
