"""Preconditions: what must have happened in a run for its mutation to be found."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.multiprocess.history import (
    FaultStarted,
    FencedCallReceived,
    LagMeasured,
    ProcessChanged,
)
from onyxpost.simulation.multiprocess.leadership_terms import leadership_terms
from onyxpost.simulation.multiprocess.node_log import LeadershipAcquired, RecordCommitted
from onyxpost.simulation.process_group import ProcessChange

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent

MS_PER_SECOND = 1000.0
# Part of a leader's isolation within which restarted acceptors must serve. An election must fit into the rest
# of the leader's lease, of which at least three quarters are left when the leader is isolated.
MAX_RESTART_FRACTION = 0.25
MAX_LAG_FRACTION = 0.03  # part of the isolation; more lag may delay an election past the lease


def stale_token_was_received(events: Sequence[HistoryEvent]) -> bool:
    """Whether the resource received a call with a lower token than an earlier call for the role."""
    highest: dict[str, int] = {}
    for event in events:
        if not isinstance(event, FencedCallReceived):
            continue
        if event.fencing_token < highest.get(event.role, 0):
            return True
        highest[event.role] = event.fencing_token
    return False


def successor_was_elected_during_isolation(events: Sequence[HistoryEvent]) -> bool:
    """Whether another node was elected for a role while the role's leader was isolated."""
    terms_by_role = leadership_terms(events)
    for isolation in _isolations(events):
        end_ms = isolation.at_ms + isolation.duration_seconds * MS_PER_SECOND
        for terms in terms_by_role.values():
            led = any(term.node == isolation.target and term.contains(isolation.at_ms) for term in terms)
            successors = [
                term
                for term in terms
                if term.node != isolation.target and isolation.at_ms < term.begin_ms < end_ms
            ]
            if led and successors:
                return True
    return False


def acceptors_restarted_early_during_isolation(events: Sequence[HistoryEvent]) -> bool:
    """Whether two acceptors restarted early in a leader's isolation, and scheduling lag was small."""
    for isolation in _isolations(events):
        duration_ms = isolation.duration_seconds * MS_PER_SECOND
        end_ms = isolation.at_ms + duration_ms
        latest_ms = isolation.at_ms + MAX_RESTART_FRACTION * duration_ms
        restarted = {
            event.node
            for event in events
            if isinstance(event, ProcessChanged)
            and event.change is ProcessChange.SERVING
            and isolation.at_ms < event.at_ms <= latest_ms
        }
        worst_lag_ms = max(
            (
                event.lag_ms
                for event in events
                if isinstance(event, LagMeasured) and isolation.at_ms <= event.at_ms <= end_ms
            ),
            default=0.0,
        )
        led = any(
            term.node == isolation.target and term.contains(isolation.at_ms)
            for terms in leadership_terms(events).values()
            for term in terms
        )
        if led and len(restarted) > 1 and worst_lag_ms <= MAX_LAG_FRACTION * duration_ms:
            return True
    return False


def leader_followed_a_committed_record(events: Sequence[HistoryEvent]) -> bool:
    """Whether a node was elected for a role for which a leader with a lower token had committed a record."""
    committed = [event for event in events if isinstance(event, RecordCommitted)]
    return any(
        record.role == event.role and record.fencing_token < event.fencing_token
        for event in events
        if isinstance(event, LeadershipAcquired)
        for record in committed
    )


def _isolations(events: Sequence[HistoryEvent]) -> list[FaultStarted]:
    return [event for event in events if isinstance(event, FaultStarted) and event.kind == "alone"]
