"""One JSON line an event on standard output."""

from __future__ import annotations

import sys
from typing import Any

import orjson


class Lines:
    def __init__(self, node: str, out: Any = None) -> None:
        self.node, self.out = node, out or sys.stdout.buffer

    def write(self, at: float, event: str, fields: dict[str, Any]) -> None:
        line = {"at": round(at, 1), "node": self.node, "event": event, **fields}
        try:
            self.out.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
            self.out.flush()
        except OSError:
            pass  # nobody reads the log any more: no reason to stop serving
