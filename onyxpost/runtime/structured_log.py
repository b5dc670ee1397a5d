"""The structured log of a process: one JSON line per event, on standard output by default."""

from __future__ import annotations

import logging
import sys
from typing import Any, NamedTuple, TextIO

import msgspec

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.runtime.log_event import MAX_TRACEBACK_CHARS


class _EventEntry(NamedTuple):
    """The time (Unix ms) and fields of a log record of this program; records of libraries have no entry."""

    unix_ms: float
    fields: dict[str, Any]


class _JsonFormatter(logging.Formatter):
    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def format(self, record: logging.LogRecord) -> str:
        entry: _EventEntry | None = getattr(record, "entry", None)
        unix_ms = record.created * MS_PER_SECOND if entry is None else entry.unix_ms
        line: dict[str, Any] = {
            "at": round(unix_ms, 1),
            "node": self._node,
            "level": record.levelname.lower(),
        }
        if entry is not None:
            line["event"] = record.msg
            line |= entry.fields
        else:
            line["event"] = record.getMessage()
            if record.exc_info:
                line["cause"] = self.formatException(record.exc_info)[-MAX_TRACEBACK_CHARS:]
        return self._encoder.encode(line).decode()


class _BestEffortHandler(logging.StreamHandler[Any]):
    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802 - named by logging.Handler
        """Ignores errors such as a closed output or a field that cannot be encoded.

        A log line that cannot be written must not stop the process.
        """


class StructuredLog:
    """Writes events as JSON lines with a time, the name of the node or planner, and a level."""

    def __init__(self, node: str, level: str = "info", out: TextIO | None = None) -> None:
        """Creates a log.

        Args:
            node: the name of the node or planner.
            level: the lowest level that is written.
            out: the output, standard output by default.
        """
        self._handler = _BestEffortHandler(out or sys.stdout)
        self._handler.setFormatter(_JsonFormatter(node))
        # Not `logging.getLogger`, which shares loggers by name: tests run several nodes in one process.
        self._logger = logging.Logger(node, level.upper())
        self._logger.addHandler(self._handler)

    def write(self, unix_ms: float, event: str, fields: dict[str, Any], level: int = logging.INFO) -> None:
        """Writes an event that occurred at `unix_ms` (Unix time)."""
        self._logger.log(level, event, extra={"entry": _EventEntry(unix_ms, fields)})

    def capture_library_logs(self) -> None:
        """Writes log records of asyncio and other libraries as JSON lines too, from level WARNING on."""
        root = logging.getLogger()
        root.handlers[:] = [self._handler]
        root.setLevel(max(self._logger.level, logging.WARNING))
