"""Reads the file of a run's history."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from onyxpost.simulation.multiprocess import history, node_log

if TYPE_CHECKING:
    from pathlib import Path

    from onyxpost.simulation.multiprocess.history import HistoryEvent

EVENT_TYPES: dict[str, type[HistoryEvent]] = {
    str(kind.__struct_config__.tag): kind
    for module in (history, node_log)
    for kind in vars(module).values()
    if isinstance(kind, type) and issubclass(kind, history.HistoryEvent)
}


def read_history(path: Path) -> list[HistoryEvent]:
    """Returns the events of a history file in order of time, without lines that no invariant reads."""
    lines: list[dict[str, Any]] = [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]
    return [
        msgspec.convert(line, EVENT_TYPES[line["event"]], strict=False)
        for line in lines
        if line["event"] in EVENT_TYPES
    ]
