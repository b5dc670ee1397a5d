"""Figures of leader election, from the history: durations of failovers, and rate of messages. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.multiprocess.checker import events_of_type
from onyxpost.simulation.multiprocess.history import FaultStarted, ProcessChanged
from onyxpost.simulation.multiprocess.leadership_terms import leadership_terms
from onyxpost.simulation.multiprocess.node_log import LeadershipStatistics
from onyxpost.simulation.process_group import ProcessChange

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent
    from onyxpost.simulation.multiprocess.leadership_terms import LeadershipTerm

KEPT_ROLE_TOLERANCE_MS = 100.0  # past the lease, in which a leader that is back may still log its end
SHUTDOWN_MS = 1000.0  # after the start of the last fault; signals after that belong to the end of the run
FAULT_NAMES = {
    ProcessChange.TERMINATING: "term",
    ProcessChange.KILLED: "kill",
    ProcessChange.PAUSED: "stop",
}
ISOLATION = "cut"


class LeaderFault(NamedTuple):
    """A fault that may end a node's leadership; `name` is a key of the run's counts."""

    at_ms: float
    node: str
    name: str


def leader_faults(events: Sequence[HistoryEvent]) -> list[LeaderFault]:
    """Returns SIGTERM, SIGKILL, SIGSTOP and isolation of nodes, but for the signals at the end of the run."""
    last_fault_ms = max((event.at_ms for event in events_of_type(events, FaultStarted)), default=0.0)
    found: list[LeaderFault] = []
    for event in events:
        match event:
            case ProcessChanged() if (
                event.change in FAULT_NAMES and event.at_ms <= last_fault_ms + SHUTDOWN_MS
            ):
                found.append(LeaderFault(event.at_ms, event.node, FAULT_NAMES[event.change]))
            case FaultStarted(kind="alone"):
                found.append(LeaderFault(event.at_ms, event.target, ISOLATION))
    return found


def failover_durations_ms(events: Sequence[HistoryEvent], lease_ms: float) -> dict[str, list[int]]:
    """Returns by fault how long each role of the affected leader was without a new leader.

    Left out are leaders that were back within a lease and kept the role, and roles that nobody led again
    before the end of the run.
    """
    terms_by_role = leadership_terms(events)
    durations: dict[str, list[int]] = {}
    for fault in leader_faults(events):
        for terms in terms_by_role.values():
            duration_ms = _failover_duration_ms(fault, terms, lease_ms)
            if duration_ms is not None:
                durations.setdefault(fault.name, []).append(round(duration_ms))
    return durations


def _failover_duration_ms(
    fault: LeaderFault, terms: Sequence[LeadershipTerm], lease_ms: float
) -> float | None:
    affected = [term for term in terms if term.node == fault.node and term.contains(fault.at_ms)]
    later_begins_ms = [term.begin_ms for term in terms if term.begin_ms > fault.at_ms]
    latest_end_ms = fault.at_ms + lease_ms + KEPT_ROLE_TOLERANCE_MS
    if not affected or not later_begins_ms or any(term.end_ms > latest_end_ms for term in affected):
        return None
    return min(later_begins_ms) - fault.at_ms


def messages_per_second(events: Sequence[HistoryEvent]) -> int:
    """Returns the messages that all nodes sent in a second.

    They are counted between the first and the last statistics line of each incarnation; one that wrote fewer
    than two lines counts as 0.
    """
    lines_by_incarnation: dict[tuple[str, int | str], list[LeadershipStatistics]] = {}
    for line in events_of_type(events, LeadershipStatistics):
        lines_by_incarnation.setdefault((line.node, line.incarnation), []).append(line)
    rates = [
        (lines[-1].sent - lines[0].sent) / (lines[-1].at_ms - lines[0].at_ms) * MS_PER_SECOND
        for lines in lines_by_incarnation.values()
        if len(lines) > 1 and lines[-1].sent >= lines[0].sent
    ]
    return round(sum(rates))
