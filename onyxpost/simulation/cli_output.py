"""Printed violations, interrupts and exit codes, which the simulation commands share."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

import click

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import TracebackType

EXIT_VIOLATED = 1
EXIT_INTERRUPTED = 130


class ViolationLine(NamedTuple):
    """A violated invariant as it is printed; node, request and server are empty if it concerns none."""

    invariant: str
    at_ms: float
    node: str
    request: str
    server: str
    description: str

    def __str__(self) -> str:
        return (
            f"{self.invariant} violated at {self.at_ms:.3f} ms: node {self.node}, request {self.request},"
            f" server {self.server}: {self.description}"
        )


class InterruptCatcher:
    """A context manager that suppresses an interrupt (SIGINT or SIGTERM) of its body and remembers it.

    Attributes:
        was_interrupted: whether the body was ended by an interrupt.
    """

    def __init__(self) -> None:
        self.was_interrupted = False

    def __enter__(self) -> InterruptCatcher:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        self.was_interrupted = _is_interrupt(error)
        return self.was_interrupted


def _is_interrupt(error: BaseException | None) -> bool:
    """Whether an exception is an interrupt, or was raised while one was being handled.

    If an interrupt arrives while the main thread waits for a lock, leaving the lock's context raises
    RuntimeError ("cannot release un-acquired lock"), which replaces the KeyboardInterrupt.
    """
    while error is not None:
        if isinstance(error, KeyboardInterrupt):
            return True
        error = error.__context__
    return False


def echo_violations(violations: Iterable[object], limit: int) -> None:
    """Prints the first `limit` violations, one per line."""
    for violation in islice(violations, limit):
        click.echo(f"  {violation}")


def exit_code(*, violated: bool, was_interrupted: bool = False) -> int:
    """Returns the exit code of a command; an interrupt takes precedence over violations."""
    if was_interrupted:
        return EXIT_INTERRUPTED
    return EXIT_VIOLATED if violated else 0
