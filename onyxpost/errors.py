"""Base classes of all errors that are shown to operators, and the errors of files and addresses. No I/O.

All processes use these errors; further ones are in the `errors` module of each package. The command line
prints an error as one line, and the log contains its fields. A remedy tells the operator on call what to
change, check or run. All errors are listed in `docs/on-call.md`.
"""

from __future__ import annotations

from typing import ClassVar, Self

MAX_LOGGED_ERROR_CHARS = 200  # upper bound of an error's text in a log line


def with_key_path(message: str, path: str) -> str:
    """Returns the message followed by the path of the invalid key, in the format of msgspec's errors."""
    return f"{message} - at `$.{path}`"


class OperatorError(Exception):
    """An error for the operator, usually with a remedy; base classes have none.

    Attributes:
        message: what went wrong; an error in a file ends with the path of the key (`with_key_path`).
        location: the file, peer, option or process that the error concerns; empty if none.
        remedy: what the operator can do; the same for all errors of a type, empty for base classes.
    """

    remedy: ClassVar[str] = ""

    def __init__(self, message: str, location: str = "") -> None:
        super().__init__(message, location)
        self.message = message
        self.location = location

    def __str__(self) -> str:
        return f"{self.location}: {self.message}" if self.location else self.message

    def with_location(self, location: str) -> Self:
        """Returns the error with a location, for a caller that knows the file or peer."""
        return type(self)(self.message, location)

    def to_line(self) -> str:
        """Returns the error as one line of the command line's output, which ends with the remedy."""
        return f"{self} ({self.remedy})" if self.remedy else str(self)

    def log_fields(self) -> dict[str, str]:
        """Returns the keys and values that a log line about this error contains."""
        return {"cause": str(self)[:MAX_LOGGED_ERROR_CHARS], "remedy": self.remedy}


class InvalidInputError(OperatorError):
    """A file or message cannot be read, lacks a required field, or has an invalid value."""


class NoConfigFileError(InvalidInputError):
    """The environment does not name a config file for this node."""

    remedy = "set EDGE_CONFIG to the path of the node's file"


class FileOpenError(InvalidInputError):
    """The operating system cannot open the file."""

    remedy = "check that the path is right and that this user can read the file"


class ParseError(InvalidInputError):
    """The file is malformed or truncated JSON."""

    remedy = "correct the file's JSON; `python -m json.tool FILE` shows the line of the error"


class InvalidValueError(InvalidInputError):
    """A key is missing, has the wrong type or is out of range; the message ends with its path."""

    remedy = "set the named key to a value of the expected type and range"


class InvalidAddressError(InvalidInputError, ValueError):
    """An address does not have the form host:port."""

    remedy = "write an address as host:port, as in 127.0.0.1:8081"


class ConflictingValuesError(InvalidInputError):
    """Two values are valid on their own, but conflict; the message ends with the path of one of them."""

    remedy = "change the named key, or the value in the same file that conflicts with it"


class StaleVersionError(InvalidInputError):
    """A reloaded file has an earlier version than the one in force."""

    remedy = "raise the file's version above the one in force, or install the newer file; then send SIGHUP"


class ListenError(OperatorError):
    """An address that this process has to listen at cannot be bound."""

    remedy = "stop the process that uses the address, or set another address of this machine in the file"


class OperatingSystemError(OperatorError):
    """The operating system refused something that a process needs; any `OSError` not handled elsewhere."""

    remedy = (
        "check this process's limits on file descriptors (`ulimit -n`) and memory, its file permissions "
        "and the free disk space"
    )
