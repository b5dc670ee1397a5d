"""Computes from a history which node led each role at which times. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from onyxpost.simulation.multiprocess.history import PROCESS_ENDS, ProcessChanged
from onyxpost.simulation.multiprocess.node_log import LeadershipAcquired, LeadershipLost

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent


@dataclass(slots=True)
class LeadershipTerm:
    """A node's leadership of a role, as the node logged it.

    A term ends when the lease expires by the node's clock, the node gives the role up, or the process ends.
    """

    acquired: LeadershipAcquired
    end_ms: float = inf

    @property
    def node(self) -> str:
        """The node that led the role."""
        return self.acquired.node

    @property
    def begin_ms(self) -> float:
        """The time of the election, in milliseconds."""
        return self.acquired.at_ms

    @property
    def fencing_token(self) -> int:
        """The fencing token, which is the number of the elected ballot."""
        return self.acquired.fencing_token

    def contains(self, at_ms: float) -> bool:
        """Whether the node led the role at this time."""
        return self.begin_ms <= at_ms <= self.end_ms


def leadership_terms(events: Sequence[HistoryEvent]) -> dict[str, list[LeadershipTerm]]:
    """Returns the terms of each role, in order of their start times."""
    terms: dict[str, list[LeadershipTerm]] = {}
    for event in events:
        match event:
            case LeadershipAcquired():
                terms.setdefault(event.role, []).append(LeadershipTerm(event))
            case LeadershipLost():
                _end_open_terms(terms.get(event.role, ()), event)
            case ProcessChanged() if event.change in PROCESS_ENDS:
                _end_terms_of_process(terms, event)
    return terms


def _end_open_terms(terms: Iterable[LeadershipTerm], event: LeadershipLost) -> None:
    for term in terms:
        if term.node == event.node and term.end_ms == inf:
            term.end_ms = event.at_ms - event.ended_ms_ago


def _end_terms_of_process(terms: dict[str, list[LeadershipTerm]], event: ProcessChanged) -> None:
    for terms_of_role in terms.values():
        for term in terms_of_role:
            if term.node == event.node:
                term.end_ms = min(term.end_ms, event.at_ms)
