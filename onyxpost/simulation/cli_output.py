"""What the commands of the simulation have in common at their end: violations, interrupts, exit codes."""

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
    """A violated invariant, with what it concerns: node, request and server are empty where there is none."""

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
    """A context that an interrupt (SIGINT, SIGTERM) ends early, without an exception.

    Attributes:
        was_interrupted: whether one did.
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

    An interrupt that arrives while the main thread waits for a lock has the lock's own exit raise
    RuntimeError ("cannot release un-acquired lock") in its place.
    """
    while error is not None:
        if isinstance(error, KeyboardInterrupt):
            return True
        error = error.__context__
    return False


def echo_violations(violations: Iterable[object], limit: int) -> None:
    """Prints the first of some violations, a line each."""
    for violation in islice(violations, limit):
        click.echo(f"  {violation}")


def exit_code(*, violated: bool, was_interrupted: bool = False) -> int:
    """Returns the exit code of a command that ran; an interrupt counts before violations."""
    if was_interrupted:
        return EXIT_INTERRUPTED
    return EXIT_VIOLATED if violated else 0
