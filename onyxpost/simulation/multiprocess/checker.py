"""Checks a run's history against invariants. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, NamedTuple, TypeVar

from onyxpost.simulation.multiprocess.history import HistoryEvent


class Finding(NamedTuple):
    """A point of the history at which an invariant does not hold."""

    invariant: str
    at_ms: float
    node: str
    description: str


class Violation(NamedTuple):
    """A finding, with the seed of its run."""

    invariant: str
    seed: int
    at_ms: float
    node: str
    description: str

    def to_line(self) -> str:
        """Returns the line that the command prints."""
        return (
            f"{self.invariant} violated at {self.at_ms:.0f} ms, seed {self.seed}:"
            f" {self.node}: {self.description}"
        )

    def to_result(self) -> dict[str, Any]:
        """Returns the entry of a result file; its keys are kept compatible with earlier builds."""
        return {
            "rule": self.invariant,
            "seed": self.seed,
            "at": self.at_ms,
            "who": self.node,
            "what": self.description,
        }


# A function that receives all events of a run in order of time, and returns the findings of an invariant.
Invariant = Callable[[Sequence[HistoryEvent]], Iterable[Finding]]


def check_history(
    events: Iterable[HistoryEvent], invariants: Iterable[Invariant], seed: int
) -> list[Violation]:
    """Returns the violations of all invariants, in order of time."""
    ordered = sorted(events, key=lambda event: event.at_ms)
    violations = [
        Violation(found.invariant, seed, found.at_ms, found.node, found.description)
        for invariant in invariants
        for found in invariant(ordered)
    ]
    return sorted(violations, key=lambda violation: violation.at_ms)


Event = TypeVar("Event", bound=HistoryEvent)


def events_of_type(events: Sequence[HistoryEvent], kind: type[Event]) -> Iterator[Event]:
    """Yields the events of one type, in the given order."""
    return (event for event in events if isinstance(event, kind))
