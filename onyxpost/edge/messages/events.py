"""Events of the edge node's state machine, decoded from received network messages.

Times are Unix times in milliseconds, durations are in milliseconds. Both may have fractions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.core.events import (
    CustomerLimitChanged,
    LeaseGranted,
    LeaseRevoked,
    PeerMessageReceived,
    RoutingRulesChanged,
    TimerFired,
)

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.core.types import AttemptResult, EndpointStatus

Headers = list[tuple[bytes, bytes]]


class ClientRequest(NamedTuple):
    """A complete request from a client.

    Attributes:
        connection_id: the client's connection, which carries one request at a time.
        received_at: the time at which its first byte was received.
        trace_id: the id that the client gave to the request.
        method: the HTTP method.
        target: the HTTP request target.
        headers: the HTTP headers.
        body: the HTTP body.
        frontend: the name of the requested frontend.
        customer: the customer's key, as hexadecimal digits.
        plan: the name of the customer's plan.
        units: the number of units that the request takes from the customer's quota.
        set_size: the number of nodes that serve this customer.
        first_node_index: the index of the first of these nodes.
        timeout_ms: the client timeout, counted from `received_at`.
    """

    connection_id: int
    received_at: float
    trace_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    frontend: str
    customer: str
    plan: str
    units: int
    set_size: int
    first_node_index: int
    timeout_ms: float


class ClientDisconnected(NamedTuple):
    """A client's connection has ended, or is being closed without an answer."""

    connection_id: int


class UpstreamResponse(NamedTuple):
    """A response of an app server with status 200, which is forwarded to the client."""

    headers: Headers
    body: bytes


class AttemptEnded(NamedTuple):
    """An attempt has ended; posted exactly once for each attempt that was sent to the pool."""

    attempt_id: int
    result: AttemptResult
    latency_ms: float
    response: UpstreamResponse | None = None


class EndpointUpdate(NamedTuple):
    """Discovery has reported endpoints.

    Attributes:
        generation: the generation of the endpoints.
        is_complete: whether all endpoints are listed, rather than only those that changed.
        endpoints: the state of each endpoint.
        addresses: the addresses by server id; endpoints without an address have no entry.
    """

    generation: int
    is_complete: bool
    endpoints: list[EndpointStatus]
    addresses: dict[str, Address]


class EndpointUpdateFailed(NamedTuple):
    """A poll of discovery failed or, if `is_stale`, changes of endpoints may have been missed.

    With `is_stale`, it is posted when the staleness timeout expires, and after an answer that does not end
    the staleness.
    """

    is_stale: bool = False


EdgeEvent = (
    ClientRequest
    | ClientDisconnected
    | AttemptEnded
    | EndpointUpdate
    | EndpointUpdateFailed
    | PeerMessageReceived
    | TimerFired
    | LeaseGranted
    | LeaseRevoked
    | RoutingRulesChanged
    | CustomerLimitChanged
)
