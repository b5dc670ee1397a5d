"""Entry point of a planner process."""

from __future__ import annotations

from functools import partial

from onyxpost import process
from onyxpost.planner.config import read_config
from onyxpost.planner.planner import Planner


def serve(path: str) -> int:
    """Runs the planner configured by the file at `path` until SIGTERM; returns the exit code."""
    read = partial(read_config, path)
    return process.run_process(
        read, lambda config, structured_log: Planner(config, structured_log, read).run()
    )
