"""Effects of the edge node's state machine, which the event processor executes in order.

Times are Unix times in milliseconds, durations are in milliseconds. Both may have fractions.
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
    """A server and its address; another server may get the same address later."""

    server: str
    address: Address


class SendAttempt(NamedTuple):
    """Forwards a request to a server.

    Attributes:
        attempt_id: unique in this node's process.
        endpoint: the server and its address.
        request: the client's request.
        timeout_ms: maximum duration of the attempt, up to the end of the response.
        latest_start_at: the time by which sending has to begin. App servers may not recognise a later retry
            as a duplicate of an earlier attempt, and would execute both.
    """

    attempt_id: int
    endpoint: Endpoint
    request: ClientRequest
    timeout_ms: float
    latest_start_at: float = inf


class CloseAttempt(NamedTuple):
    """Ends an attempt in flight by closing its connection."""

    attempt_id: int


class WithdrawAttempt(NamedTuple):
    """Prevents an attempt from being sent, unless sending has begun; its request needs no answer any more."""

    attempt_id: int


class RetireEndpoint(NamedTuple):
    """Closes the connections to an endpoint that is draining, gone or has moved, once they are idle."""

    endpoint: Endpoint


class FinalAnswer(Enum):
    """The kind of a final answer; the values are external names."""

    FORWARDED = "passed"
    REJECTED = "denied"
    ABORTED = "aborted"


class SendAnswer(NamedTuple):
    """Sends the final answer to a request.

    Attributes:
        connection_id: the client's connection.
        outcome: the kind of answer.
        response: the app server's response, for `FORWARDED`.
        retry_after_ms: time after which a rejected request may be retried; 0 omits the Retry-After header.
    """

    connection_id: int
    outcome: FinalAnswer
    response: UpstreamResponse | None = None
    retry_after_ms: float = 0.0


class SendPeerMessage(NamedTuple):
    """Sends a datagram to the edge node with the index `peer`."""

    peer: int
    datagram: bytes


class StartTimer(NamedTuple):
    """Posts `TimerFired(token)` after a delay."""

    delay_ms: float
    token: int


class RecordUnitsSpent(NamedTuple):
    """Reports the units that a request has spent from a lease, or from this node's own share (lease 0).

    The units of a rejected request, which spends nothing, are reported with lease 0, too, as demand.
    """

    customer: int
    plan: str
    units: int
    lease_id: int


class ReturnLease(NamedTuple):
    """Returns a lease of which `units` are left."""

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
    | RecordUnitsSpent
    | ReturnLease
    | WatchEndpoints
    | LogEvent
)
