"""The events of a run's history that the simulation itself records.

Tags and field names in `events.jsonl` are kept compatible with earlier builds. Times are in milliseconds of
the machine's monotonic clock since all nodes were serving; earlier events have time 0.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import field

from onyxpost.core.types import EndpointState
from onyxpost.simulation.process_group import ProcessChange

PROCESS_ENDS = (ProcessChange.KILLED, ProcessChange.CRASHED, ProcessChange.EXITED)


class HistoryEvent(msgspec.Struct, frozen=True, tag_field="event"):
    """An event of a run, at its time in milliseconds."""

    at_ms: float = field(name="t")


# --- clients ---


class RequestSent(HistoryEvent, frozen=True, kw_only=True, tag="asked"):
    """A client connected to a node, and is about to send a request."""

    node: str
    trace: str
    frontend: str
    customer: str
    plan: str
    units: int


class RequestAnswered(HistoryEvent, frozen=True, kw_only=True, tag="answered"):
    """A complete response arrived in a client's socket."""

    trace: str
    outcome: str = field(name="final")


class ConnectionRefused(HistoryEvent, frozen=True, kw_only=True, tag="refused"):
    """A client could not connect to a node."""

    node: str
    trace: str


class RequestUnanswered(HistoryEvent, frozen=True, kw_only=True, tag="gone"):
    """A client's connection ended without a response.

    `cause` is `TIMED_OUT`, `DISCONNECTED` (the client closed the connection), or names the error.
    """

    trace: str
    cause: str = field(name="how")


TIMED_OUT = "timed out"
DISCONNECTED = "left"


class UnexpectedResponse(HistoryEvent, frozen=True, kw_only=True, tag="more"):
    """A response had the wrong body, or more bytes followed it."""

    trace: str
    description: str = field(name="what")


# --- fault proxies and stub app servers ---


class AttemptForwarded(HistoryEvent, frozen=True, kw_only=True, tag="sent"):
    """A node's request to an app server arrived in its fault proxy's socket."""

    node: str
    trace: str
    server: str
    zone: str
    cell: int


class AttemptReceived(HistoryEvent, frozen=True, kw_only=True, tag="reached"):
    """An attempt reached an app server."""

    trace: str
    server: str
    zone: str
    cell: int
    attempt_number: int = field(name="number")
    work_ms: float = field(name="work")


class AttemptNotExecuted(HistoryEvent, frozen=True, kw_only=True, tag="never ran"):
    """An app server received an attempt, and rejected it without executing the request."""

    trace: str
    server: str
    attempt_number: int = field(name="number")


class EndpointNotified(HistoryEvent, frozen=True, kw_only=True, tag="told"):
    """A fault proxy forwarded an app server's state from discovery to a node."""

    node: str
    server: str
    state: EndpointState = field(name="standing")


class ServerStarted(HistoryEvent, frozen=True, kw_only=True, tag="server"):
    """An app server was started; `capacity` is the work in ms that a warm server does per ms."""

    server: str
    capacity: float
    work_per_call_ms: float = field(name="call")


# --- the fenced resource ---


class FencedCallSent(HistoryEvent, frozen=True, kw_only=True, tag="act sent"):
    """A leader's fenced call arrived in the socket of the leader's fault proxy."""

    node: str
    role: str = field(name="duty")
    fencing_token: int = field(name="fence")


class FencedCallReceived(HistoryEvent, frozen=True, kw_only=True, tag="act"):
    """A fenced call reached the resource; `highest_token` is the role's highest token after the call."""

    leader: str = field(name="holder")
    role: str = field(name="duty")
    fencing_token: int = field(name="fence")
    accepted: bool
    highest_token: int = field(name="highest", default=0)
    body: str = ""


# --- the simulation itself ---


class ProcessChanged(HistoryEvent, frozen=True, kw_only=True, tag="process"):
    """A node's process was started or signalled, serves, or ended."""

    node: str
    change: ProcessChange = field(name="what")


class LagMeasured(HistoryEvent, frozen=True, kw_only=True, tag="lag", omit_defaults=True):
    """Scheduling lag of a node's process, or of the simulation's event loop if `node` is empty."""

    lag_ms: float = field(name="ms")
    node: str = ""


class FaultStarted(HistoryEvent, frozen=True, kw_only=True, tag="fault played"):
    """A fault of the script was started; in `target`, leaders such as `h0` are resolved to nodes."""

    index: int = field(name="number")
    kind: str
    target: str = field(name="whom")
    duration_seconds: float = field(name="lasts")


class HistoryRecord(msgspec.Struct, frozen=True):
    """A line of `events.jsonl`, and its event; the event is None if no invariant reads such lines."""

    line: dict[str, Any]
    event: HistoryEvent | None
