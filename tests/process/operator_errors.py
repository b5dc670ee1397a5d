"""Checks of errors in the form that an operator sees: a line of output, or a line of the log."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import io

    from onyxpost.errors import OperatorError

PLANNER_FIELDS: dict[str, Any] = json.loads(Path("deploy/example-planner.json").read_text())


def assert_reported_in_one_line(
    output: str, location: str, message: str, error_type: type[OperatorError]
) -> None:
    """Asserts that the output is one line that contains location and message and ends with the remedy."""
    assert re.search(rf"\Aonyxpost: {re.escape(location)}.*{re.escape(message)}.*\n\Z", output)
    assert output.endswith(f" ({error_type.remedy})\n")


def rejected_reload_lines(out: io.BytesIO) -> list[dict[str, Any]]:
    """Returns the log lines about rejected reloads."""
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    return [line for line in lines if line["event"] == "reload refused"]
