"""Reads exit code, location and remedy from a refusal of the command line."""

from __future__ import annotations

import re

from onyxpost.errors import OperatorError
from tests.compatibility import command_line


def error_location(text: str) -> str | None:
    """Returns the key, line or byte that a message names, or None if the message names none."""
    match = re.search(r"`(\$[^`]*)`|(\bline \d+)|(\bbyte \d+)", text)
    return None if match is None else next(group for group in match.groups() if group)


def run_command(arguments: list[str]) -> tuple[int, str]:
    """Returns the exit code and the output of a command, without the line that announces a deprecated name.

    Standard error follows standard output.
    """
    result = command_line.run(arguments)
    return result.exit_code, result.output + result.error


def remedies() -> set[str]:
    """Returns the remedies of all error types of the program."""
    kinds: list[type[OperatorError]] = [OperatorError]
    for kind in kinds:
        kinds += kind.__subclasses__()
    return {kind.remedy for kind in kinds if kind.remedy}


def remedy_in(output: str) -> str | None:
    """Returns the remedy at the end of an output, or None if the output ends with no known remedy."""
    matching = [remedy for remedy in remedies() if output.rstrip().endswith(f"({remedy})")]
    return max(matching, key=len) if matching else None
