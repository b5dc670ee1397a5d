"""Log events, as the components of a program emit them; `structured_log` writes them."""

from __future__ import annotations

import logging
import traceback
from typing import Any, NamedTuple

MAX_TRACEBACK_CHARS = 4000  # the end of a longer traceback is logged, because it names the exception


class LogEvent(NamedTuple):
    """An event to be written to the log.

    Attributes:
        event: the event's name.
        fields: the event's other keys and their values.
        level: a level of the `logging` module.
    """

    event: str
    fields: dict[str, Any]
    level: int = logging.INFO


def fault_event(operation: str, error: BaseException | None) -> LogEvent:
    """Returns the log event of an unexpected exception, with its traceback.

    Args:
        operation: what the program was doing; logged with the key `where`.
        error: the exception, or None if asyncio reported a problem without one.
    """
    cause = "".join(traceback.format_exception(error)) if error is not None else ""
    return LogEvent("fault", {"where": operation, "cause": cause[-MAX_TRACEBACK_CHARS:]}, logging.ERROR)
