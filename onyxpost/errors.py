"""Base classes of all errors that reach an operator, and the errors of files and addresses. No I/O.

Every process shares these; each package has its own errors in a small `errors` module. The command line
prints an error as one line, the log carries its fields. A remedy is written for the person on duty: what to
change, look at or run. All errors are listed in `docs/on-call.md`.
"""

from __future__ import annotations

from typing import ClassVar, Self

MAX_CAUSE_CHARS = 200


def at_key(message: str, path: str) -> str:
    """Returns a message that ends with the path of the key at fault, in the form of msgspec's errors."""
    return f"{message} - at `$.{path}`"


class OperatorError(Exception):
    """An error with a remedy for the operator.

    Attributes:
        message: what went wrong; for a file it ends with the path of the key (`at_key`).
        location: a file, a peer or an option; may be empty.
        remedy: what the operator can do; fixed for each type of error.
    """

    remedy: ClassVar[str] = ""

    def __init__(self, message: str, location: str = "") -> None:
        super().__init__(message, location)
        self.message = message
        self.location = location

    def __str__(self) -> str:
        return f"{self.location}: {self.message}" if self.location else self.message

    def with_location(self, location: str) -> Self:
        """Returns the same error for a file or peer that the code that raised it did not know."""
        return type(self)(self.message, location)

    def to_line(self) -> str:
        """Returns one line for the command line, the remedy last."""
        return f"{self} ({self.remedy})" if self.remedy else str(self)

    def fields(self) -> dict[str, str]:
        """Returns the fields of a log line."""
        return {"cause": str(self)[:MAX_CAUSE_CHARS], "remedy": self.remedy}


class InvalidInputError(OperatorError):
    """A file or message that lacks a required field or has an invalid value."""


class NoConfigFileError(InvalidInputError):
    """No file is named for this node."""

    remedy = "set EDGE_CONFIG to the path of the node's file"


class FileOpenError(InvalidInputError):
    """The operating system does not open the file."""

    remedy = "see that the path is right and that this user may read it"


class ParseError(InvalidInputError):
    """The file is not JSON, or is truncated."""

    remedy = "mend the file's JSON there; `python -m json.tool FILE` shows the line"


class InvalidValueError(InvalidInputError):
    """A key is missing, of another type, or out of its range; the message ends with its path."""

    remedy = "give the key at that place a value of the type and range that it names"


class InvalidAddressError(InvalidInputError, ValueError):
    """Not a host and a port."""

    remedy = "write an address as host:port, as in 127.0.0.1:8081"


class ConflictingValuesError(InvalidInputError):
    """Two values are valid, but not together; the message ends with the path of one."""

    remedy = "bring the key at that place into line with the rest of the file"


class StaleVersionError(InvalidInputError):
    """SIGHUP brought an earlier version than the current one."""

    remedy = "write a version above the one in force, or bring the newer file here; then SIGHUP again"


class ListenError(OperatorError):
    """An address that this process should listen on cannot be bound."""

    remedy = "stop the process that uses it, or name another address of this machine in the file"


class OperatingSystemError(OperatorError):
    """The operating system refused something that a process needs."""

    remedy = "check this process's limits of descriptors (`ulimit -n`) and of memory"
