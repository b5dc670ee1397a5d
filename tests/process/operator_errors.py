"""Checks of errors as an operator sees them."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import io

    from onyxpost.errors import OperatorError

PLANNER: dict[str, Any] = json.loads(Path("deploy/example-planner.json").read_text())


def assert_one_line(output: str, location: str, message: str, kind: type[OperatorError]) -> None:
    """The output is one line that names the place and the cause and ends with the remedy."""
    assert re.search(rf"\Aonyxpost: {re.escape(location)}.*{re.escape(message)}.*\n\Z", output)
    assert output.endswith(f" ({kind.remedy})\n")


def rejected_reloads(out: io.BytesIO) -> list[dict[str, Any]]:
    """Returns the lines of a log that say that a reload was rejected."""
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    return [line for line in lines if line["event"] == "reload refused"]
