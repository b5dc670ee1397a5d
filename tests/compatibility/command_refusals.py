"""Exit code, location and remedy of a refusal by the command line."""

from __future__ import annotations

import re

from onyxpost.errors import OperatorError
from tests.compatibility import command_line


def error_location(text: str) -> str | None:
    """The place that a message names: a key, a line or a byte."""
    found = re.search(r"`(\$[^`]*)`|(\bline \d+)|(\bbyte \d+)", text)
    return None if found is None else next(group for group in found.groups() if group)


def run_command(arguments: list[str]) -> tuple[int, str]:
    """Exit code and output of the command line, without the line that announces an old spelling."""
    result = command_line.run(arguments)
    return result.exit_code, result.output + result.error


def remedies() -> set[str]:
    """Each remedy that an error of the program offers."""
    kinds: list[type[OperatorError]] = [OperatorError]
    for kind in kinds:
        kinds += kind.__subclasses__()
    return {kind.remedy for kind in kinds if kind.remedy}


def remedy_in(output: str) -> str | None:
    """The remedy with which an output ends."""
    fitting = [remedy for remedy in remedies() if output.rstrip().endswith(f"({remedy})")]
    return max(fitting, key=len) if fitting else None
