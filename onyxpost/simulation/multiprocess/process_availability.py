"""Computes from a history when each node was unavailable, terminating or dead. No I/O."""

from __future__ import annotations

from collections import defaultdict
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.simulation.multiprocess.checker import events_of_type
from onyxpost.simulation.multiprocess.history import PROCESS_ENDS, ProcessChanged
from onyxpost.simulation.process_group import ProcessChange

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent

RESUME_DELAY_MS = 100.0  # time after SIGCONT until a process has noticed the pause


class Interval(NamedTuple):
    """A closed interval of the run's time, in milliseconds."""

    begin_ms: float
    end_ms: float

    def contains(self, at_ms: float) -> bool:
        """Whether the time is in the interval."""
        return self.begin_ms <= at_ms <= self.end_ms

    def overlaps(self, begin_ms: float, end_ms: float) -> bool:
        """Whether the interval has a time in common with another closed interval."""
        return self.begin_ms <= end_ms and begin_ms <= self.end_ms


class ProcessAvailability:
    """Intervals of each node in which its process was unavailable, terminating or dead.

    Attributes:
        unavailable: paused, dead or starting, or just resumed.
        terminating: from SIGTERM to the end of the process.
        dead: from the end of the process until it is started again.
    """

    def __init__(self, events: Sequence[HistoryEvent]) -> None:
        self.unavailable: dict[str, list[Interval]] = defaultdict(list)
        self.terminating: dict[str, list[Interval]] = defaultdict(list)
        self.dead: dict[str, list[Interval]] = defaultdict(list)
        self._unavailable_since: dict[str, float] = {}
        self._terminating_since: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        for event in events_of_type(events, ProcessChanged):
            self._apply(event)
        self._close_at_infinity()

    def is_unavailable(self, node: str, begin_ms: float, end_ms: float) -> bool:
        """Whether the node was unavailable at some time from `begin_ms` to `end_ms`."""
        return any(interval.overlaps(begin_ms, end_ms) for interval in self.unavailable.get(node, ()))

    def is_dead(self, node: str, at_ms: float) -> bool:
        """Whether the node had no process at this time."""
        return any(interval.contains(at_ms) for interval in self.dead.get(node, ()))

    def available_from(self, node: str, at_ms: float) -> float:
        """Returns the earliest time at which the node can have read data that reached it at `at_ms`."""
        for interval in self.unavailable.get(node, ()):
            if interval.contains(at_ms):
                return interval.end_ms
        return at_ms

    def _apply(self, event: ProcessChanged) -> None:
        node = event.node
        match event.change:
            case ProcessChange.TERMINATING:
                self._terminating_since[node] = event.at_ms
            case ProcessChange.PAUSED:
                self._unavailable_since[node] = event.at_ms
            case ProcessChange.STARTED if node in self._dead_since:
                self.dead[node].append(Interval(self._dead_since.pop(node), event.at_ms))
            case ProcessChange.RESUMED if node in self._unavailable_since:
                begin_ms = self._unavailable_since.pop(node)
                self.unavailable[node].append(Interval(begin_ms, event.at_ms + RESUME_DELAY_MS))
            case ProcessChange.SERVING if node in self._unavailable_since:
                self.unavailable[node].append(Interval(self._unavailable_since.pop(node), event.at_ms))
            case change if change in PROCESS_ENDS:
                self._apply_end(node, event.at_ms)

    def _apply_end(self, node: str, at_ms: float) -> None:
        self._unavailable_since.setdefault(node, at_ms)
        self._dead_since[node] = at_ms
        if node in self._terminating_since:
            self.terminating[node].append(Interval(self._terminating_since.pop(node), at_ms))

    def _close_at_infinity(self) -> None:
        for since, intervals in (
            (self._unavailable_since, self.unavailable),
            (self._terminating_since, self.terminating),
            (self._dead_since, self.dead),
        ):
            for node, begin_ms in since.items():
                intervals[node].append(Interval(begin_ms, inf))
