"""Computes durations of failovers, and the rate of leader election messages, from a history. No I/O."""

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

KEPT_ROLE_LOG_TOLERANCE_MS = 100.0  # a leader that recovers may log the end of its lease this late
# Signals that are sent later than this after the start of the last fault are part of the run's shutdown.
SHUTDOWN_AFTER_LAST_FAULT_MS = 1000.0
FAULT_NAMES = {
    ProcessChange.TERMINATING: "term",
    ProcessChange.KILLED: "kill",
    ProcessChange.PAUSED: "stop",
}
ISOLATION_NAME = "cut"


class LeaderFault(NamedTuple):
    """A fault that may end a node's leadership; the run's counts have the key `{name}_ms`."""

    at_ms: float
    node: str
    name: str


def leader_faults(events: Sequence[HistoryEvent]) -> list[LeaderFault]:
    """Returns all SIGTERM, SIGKILL, SIGSTOP and isolations of nodes, except signals of the run's shutdown."""
    last_fault_ms = max((event.at_ms for event in events_of_type(events, FaultStarted)), default=0.0)
    found: list[LeaderFault] = []
    for event in events:
        match event:
            case ProcessChanged() if (
                event.change in FAULT_NAMES and event.at_ms <= last_fault_ms + SHUTDOWN_AFTER_LAST_FAULT_MS
            ):
                found.append(LeaderFault(event.at_ms, event.node, FAULT_NAMES[event.change]))
            case FaultStarted(kind="alone"):
                found.append(LeaderFault(event.at_ms, event.target, ISOLATION_NAME))
    return found


def failover_durations_ms(events: Sequence[HistoryEvent], lease_ms: float) -> dict[str, list[int]]:
    """Returns, by name of the fault, the times from a fault of a leader to the next election for its role.

    Leaders that recovered within a lease and kept the role are left out, and so are roles for which no node
    was elected again before the end of the run.
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
    latest_end_ms = fault.at_ms + lease_ms + KEPT_ROLE_LOG_TOLERANCE_MS
    if not affected or not later_begins_ms or any(term.end_ms > latest_end_ms for term in affected):
        return None
    return min(later_begins_ms) - fault.at_ms


def messages_per_second(events: Sequence[HistoryEvent]) -> int:
    """Returns the number of messages that all nodes together sent per second.

    Messages are counted between the first and the last statistics line of each incarnation; an incarnation
    with fewer than two lines counts as 0.
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
