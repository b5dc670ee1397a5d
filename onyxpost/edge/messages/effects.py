"""Effects of the edge node's state machine, which its sockets carry out in order.

Times are Unix times in milliseconds, durations are milliseconds; both have fractions.
"""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.runtime.log_event import LogEvent

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.edge.messages.events import ClientRequest, UpstreamResponse


class Endpoint(NamedTuple):
    """A server at an address; another server may get the same address later."""

    server: str
    address: Address


class SendAttempt(NamedTuple):
    """Forwards a request to a server.

    Attributes:
        attempt_id: unique in this node's process.
        endpoint: the server.
        request: the client's request.
        timeout_ms: how long to wait for the response.
        begin_before: nothing is sent from this time on: app servers may no longer recognise a retry as a
            duplicate of an earlier attempt, and would execute both.
    """

    attempt_id: int
    endpoint: Endpoint
    request: ClientRequest
    timeout_ms: float
    begin_before: float = inf


class CloseAttempt(NamedTuple):
    """Ends an attempt by closing its connection."""

    attempt_id: int


class WithdrawAttempt(NamedTuple):
    """Prevents an attempt from being sent, if it has not been yet: its request needs no answer any more."""

    attempt_id: int


class RetireEndpoint(NamedTuple):
    """Closes a server's connections as they become idle: it drains, is gone, or has moved."""

    endpoint: Endpoint


class FinalAnswer(Enum):
    """How a request is answered."""

    FORWARDED = "passed"
    REJECTED = "denied"
    ABORTED = "aborted"


class SendAnswer(NamedTuple):
    """Sends the one final answer of a request.

    Attributes:
        connection_id: the client's connection.
        outcome: which answer it is.
        response: the app server's response, for `FORWARDED`.
        retry_after_ms: time until a rejected request may be sent again; 0: no Retry-After header.
    """

    connection_id: int
    outcome: FinalAnswer
    response: UpstreamResponse | None = None
    retry_after_ms: float = 0.0


class SendPeerMessage(NamedTuple):
    """Sends a datagram to another edge node, by its index."""

    peer: int
    datagram: bytes


class StartTimer(NamedTuple):
    """Posts `TimerFired(token)` after a delay."""

    delay_ms: float
    token: int


class ReportUnitsSpent(NamedTuple):
    """A request has spent units of a lease, or of this node's own share (lease 0)."""

    customer: int
    plan: str
    units: int
    lease_id: int


class ReturnLease(NamedTuple):
    """A lease is not used any more; `units` of it are left."""

    lease_id: int
    units: int


class WatchEndpoints(NamedTuple):
    """Starts the watch on discovery."""


Effect = (
    SendAttempt
    | CloseAttempt
    | WithdrawAttempt
    | RetireEndpoint
    | SendAnswer
    | SendPeerMessage
    | StartTimer
    | ReportUnitsSpent
    | ReturnLease
    | WatchEndpoints
    | LogEvent
)
