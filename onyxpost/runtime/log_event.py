"""One event of the log, as the parts of a program hand it over; `structured_log` writes it."""

from __future__ import annotations

import logging
import traceback
from typing import Any, NamedTuple

MAX_CAUSE_CHARS = 4000  # of a traceback, whose end names the exception


class LogEvent(NamedTuple):
    """Writes an event to the log."""

    event: str
    fields: dict[str, Any]
    level: int = logging.INFO


def fault_event(operation: str, error: BaseException | None) -> LogEvent:
    """Returns the log event of an unexpected exception in an operation, with its traceback."""
    cause = "".join(traceback.format_exception(error)) if error is not None else ""
    return LogEvent("fault", {"where": operation, "cause": cause[-MAX_CAUSE_CHARS:]}, logging.ERROR)
