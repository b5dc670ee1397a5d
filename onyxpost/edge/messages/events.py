"""Events of the edge node's state machine, decoded from what its sockets receive.

Times are Unix times in milliseconds, durations are milliseconds; both have fractions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.core.events import (
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
    """A client's request, received completely.

    Attributes:
        connection_id: the client's connection, which has one request at a time.
        received_at: when its first byte was received.
        trace_id: the client's id of the request.
        method: the HTTP method; `target`, `headers` and `body` are of the same HTTP request.
        frontend: name of the frontend that it addresses.
        customer: the customer's key, as text.
        plan: name of the customer's plan.
        units: how many units of the customer's quota it costs.
        set_size: number of nodes that serve this customer.
        first_node: index of the first of those nodes.
        timeout_ms: how long the client waits for its answer, from `received_at` on.
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
    first_node: int
    timeout_ms: float


class ClientDisconnected(NamedTuple):
    """A client's connection has ended."""

    connection_id: int


class UpstreamResponse(NamedTuple):
    """A response with status 200 of an app server, to be forwarded to the client."""

    headers: Headers
    body: bytes


class AttemptEnded(NamedTuple):
    """An attempt has ended; posted exactly once for each attempt."""

    attempt_id: int
    result: AttemptResult
    latency_ms: float
    response: UpstreamResponse | None = None


class EndpointUpdate(NamedTuple):
    """Discovery has reported endpoints.

    Attributes:
        generation: discovery's version of the list.
        complete: these are all endpoints, else only those that changed.
        endpoints: the state of each endpoint.
        addresses: by server id; an endpoint without an address has no entry.
    """

    generation: int
    complete: bool
    endpoints: list[EndpointStatus]
    addresses: dict[str, Address]


class EndpointUpdateFailed(NamedTuple):
    """Discovery could not be polled; `stale`: changes of endpoints may have been missed."""

    stale: bool = False


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
)
