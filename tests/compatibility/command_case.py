"""A command with its files and environment variables, in the form that is recorded."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from tests.compatibility import inputs

Files = inputs.Files


@dataclass(frozen=True)
class Command:
    """A command line of the program.

    In its texts, FOLDER stands for the folder of its files and HELD_PORT for a port that is in use.

    Attributes:
        arguments: the arguments as a list, or as one text separated by spaces.
        files: content by file name.
        environment: environment variables.
        own_process: whether the command runs in a process of its own.
    """

    arguments: str | list[str]
    files: Files = field(default_factory=dict)
    environment: dict[str, str] = field(default_factory=dict)
    own_process: bool = False

    def case(self) -> dict[str, Any]:
        """Returns the command in the form of the recorded data."""
        arguments = self.arguments.split() if isinstance(self.arguments, str) else self.arguments
        return {
            "command": arguments,
            "files": self.files,
            "environment": self.environment,
            "own process": self.own_process,
        }
