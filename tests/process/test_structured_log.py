"""The structured log: each event is one JSON line, and a failing output does not stop the process."""

import io
import json
import logging
from collections.abc import Callable
from typing import Any

from onyxpost.runtime.structured_log import StructuredLog


def written_lines(level: str, write: Callable[[StructuredLog], None]) -> list[dict[str, Any]]:
    out = io.StringIO()
    write(StructuredLog("n0", level, out))
    return [json.loads(line) for line in out.getvalue().splitlines()]


def test_an_event_is_a_line_with_its_level_and_fields() -> None:
    fields = {"owed": 1, "at all": ValueError("x")}
    (line,) = written_lines("info", lambda log: log.write(12.34, "phase", fields))
    assert line == {"at": 12.3, "node": "n0", "level": "info", "event": "phase", "owed": 1, "at all": "x"}


def test_events_below_the_configured_level_are_not_written() -> None:
    def write(log: StructuredLog) -> None:
        log.write(1.0, "phase", {})
        log.write(2.0, "discovery down", {}, logging.WARNING)

    assert [line["event"] for line in written_lines("warning", write)] == ["discovery down"]


def test_messages_of_libraries_are_written_in_the_same_form() -> None:
    def write(log: StructuredLog) -> None:
        root = logging.getLogger()
        handlers = root.handlers[:]
        level = root.level
        log.capture_library_logs()
        logging.getLogger("asyncio").warning("slow %s", "callback")
        root.handlers[:] = handlers
        root.setLevel(level)

    (line,) = written_lines("info", write)
    assert (line["level"], line["event"]) == ("warning", "slow callback")


def test_a_closed_output_stops_nothing() -> None:
    out = io.StringIO()
    log = StructuredLog("n0", out=out)
    out.close()
    log.write(1.0, "phase", {})
