"""A command with its files and environment, as it is recorded."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from tests.compatibility import inputs

Files = inputs.Files


@dataclass(frozen=True)
class Command:
    """A command in which FOLDER stands for the place of its files, HELD_PORT for a port in use."""

    arguments: str | list[str]
    files: Files = field(default_factory=dict)
    environment: dict[str, str] = field(default_factory=dict)
    own_process: bool = False

    def case(self) -> dict[str, Any]:
        """The form in which it is recorded."""
        arguments = self.arguments.split() if isinstance(self.arguments, str) else self.arguments
        return {
            "command": arguments,
            "files": self.files,
            "environment": self.environment,
            "own process": self.own_process,
        }
