"""One edge node as a process, by its environment."""

from __future__ import annotations

import os
from functools import partial

from onyxpost import process
from onyxpost.edge import node
from onyxpost.edge.program import Program


def serve() -> int:
    again = partial(node.read, os.environ, again=True)
    return process.serve(
        partial(node.read, os.environ), lambda told, lines: Program(told, lines, again).run()
    )
