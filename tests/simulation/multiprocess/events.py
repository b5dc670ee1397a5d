"""Short constructors for events of a history, with default values for the fields that tests rarely set."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from onyxpost.simulation.multiprocess.history import (
    TIMED_OUT,
    AttemptForwarded,
    AttemptNotExecuted,
    AttemptReceived,
    EndpointNotified,
    FencedCallReceived,
    FencedCallSent,
    LagMeasured,
    ProcessChanged,
    RequestAnswered,
    RequestSent,
    RequestUnanswered,
)
from onyxpost.simulation.multiprocess.node_log import LeadershipAcquired, LeadershipLost, RecordCommitted
from onyxpost.simulation.process_group import ProcessChange

if TYPE_CHECKING:
    from onyxpost.core.types import EndpointState


def request_sent(at_ms: float, trace: str = "r1", frontend: str = "pay", plan: str = "open") -> RequestSent:
    """A client sends a request to n0."""
    return RequestSent(at_ms, node="n0", trace=trace, frontend=frontend, customer="1", plan=plan, units=3)


def answered(at_ms: float, outcome: str = "passed", trace: str = "r1") -> RequestAnswered:
    """The client receives an answer."""
    return RequestAnswered(at_ms, trace=trace, outcome=outcome)


def unanswered(at_ms: float, cause: str = "cut", trace: str = "r1") -> RequestUnanswered:
    """The client's connection ends without an answer."""
    return RequestUnanswered(at_ms, trace=trace, cause=cause)


def timed_out(at_ms: float) -> RequestUnanswered:
    """The client's request times out."""
    return unanswered(at_ms, TIMED_OUT)


def attempt_forwarded(at_ms: float, server: int = 0, trace: str = "r1") -> AttemptForwarded:
    """An attempt of n0 arrives in its fault proxy; even servers are in cell 0, zone a, odd ones in 1, b."""
    cell = server % 2
    return AttemptForwarded(at_ms, node="n0", trace=trace, server=f"s{server}-0", zone="ab"[cell], cell=cell)


def attempt_received(
    at_ms: float, server: int = 0, attempt_number: int = 1, trace: str = "r1"
) -> AttemptReceived:
    """An attempt reaches its app server."""
    cell = server % 2
    return AttemptReceived(
        at_ms,
        trace=trace,
        server=f"s{server}-0",
        zone="ab"[cell],
        cell=cell,
        attempt_number=attempt_number,
        work_ms=20.0,
    )


def not_executed(at_ms: float) -> AttemptNotExecuted:
    """The app server rejects the first attempt without executing it."""
    return AttemptNotExecuted(at_ms, trace="r1", server="s0-0", attempt_number=1)


def notified(at_ms: float, state: EndpointState) -> EndpointNotified:
    """Discovery reports the state of server 0 to n0."""
    return EndpointNotified(at_ms, node="n0", server="s0-0", state=state)


def process(at_ms: float, change: ProcessChange, node: str = "n0") -> ProcessChanged:
    """A node's process changes."""
    return ProcessChanged(at_ms, node=node, change=change)


def paused(begin_ms: float, end_ms: float) -> list[ProcessChanged]:
    """The process of n0 is paused by SIGSTOP and resumed by SIGCONT."""
    return [process(begin_ms, ProcessChange.PAUSED), process(end_ms, ProcessChange.RESUMED)]


def lag(at_ms: float, lag_ms: float, node: str = "") -> LagMeasured:
    """Scheduling lag of a node, or of the simulation if no node is given."""
    return LagMeasured(at_ms, lag_ms=lag_ms, node=node)


def acquired(at_ms: float, node: str, fencing_token: int, **fields: Any) -> LeadershipAcquired:
    """A node is elected leader of the role `d`."""
    return LeadershipAcquired(at_ms, node=node, role="d", fencing_token=fencing_token, **fields)


def lost(at_ms: float, node: str, ended_ms_ago: float = 0.0) -> LeadershipLost:
    """A node no longer leads the role `d`, and its lease ended `ended_ms_ago`."""
    return LeadershipLost(at_ms, node=node, role="d", ended_ms_ago=ended_ms_ago)


def committed(
    at_ms: float, node: str, fencing_token: int, sequence: int, unix_ms: float | None = None
) -> RecordCommitted:
    """The record `x` of the role `d` is committed."""
    return RecordCommitted(
        at_ms,
        node=node,
        role="d",
        fencing_token=fencing_token,
        sequence=sequence,
        record="x",
        unix_ms=unix_ms,
    )


def call_received(
    at_ms: float, leader: str, fencing_token: int, *, accepted: bool = True
) -> FencedCallReceived:
    """A fenced call for the role `d` reaches the fenced resource."""
    return FencedCallReceived(at_ms, leader=leader, role="d", fencing_token=fencing_token, accepted=accepted)


def call_sent(at_ms: float, node: str, fencing_token: int) -> FencedCallSent:
    """A fenced call for the role `d` arrives in the node's fault proxy."""
    return FencedCallSent(at_ms, node=node, role="d", fencing_token=fencing_token)
