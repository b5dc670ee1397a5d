"""The base of all errors that reach an operator: what went wrong, where, and what can be done. No I/O.

Each package has its own in a small `errors` module. The command line prints an error as one line; the log
carries its fields. A remedy is written for the person on duty: what to change, look at or run.
"""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """`what` went wrong, `where` (a file and key, a peer's name; may be empty)."""

    remedy: ClassVar[str] = ""

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(what, where)
        self.what, self.where = what, where

    def __str__(self) -> str:
        return f"{self.where}: {self.what}" if self.where else self.what

    def line(self) -> str:
        """For the command line: one line, the remedy last."""
        return f"{self} ({self.remedy})" if self.remedy else str(self)

    def fields(self) -> dict[str, str]:
        """For the log."""
        return {"cause": str(self)[:200], "remedy": self.remedy}


def line(err: Exception) -> str:
    """Any error for the command line, with its remedy where it has one."""
    return err.line() if isinstance(err, OperatorError) else str(err)


def fields(err: Exception) -> dict[str, str]:
    """Any error for the log."""
    return err.fields() if isinstance(err, OperatorError) else {"cause": str(err)[:200]}
