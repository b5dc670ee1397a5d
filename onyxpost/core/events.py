"""Events that the decision code handles, in order of arrival; its host makes them from what it receives.

Times are milliseconds on the host's clock, with fractions. Requests, servers and leases are named by ids.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from onyxpost.core.types import AttemptResult, EndpointStatus, RoutingRules


class EndpointsUpdated(NamedTuple):
    """Discovery reported endpoints: all that exist if `complete`, else only those that changed."""

    complete: bool
    endpoints: list[EndpointStatus]


class EndpointPollFailed(NamedTuple):
    """A poll of discovery failed and has to be repeated."""


class EndpointsStale(NamedTuple):
    """Changes of endpoints may have been missed: servers are trusted only for a while after an answer."""


class RequestArrived(NamedTuple):
    """A client's request has been read whole.

    Attributes:
        request_id: the host's id of the request, unique while it is pending.
        deadline: when the client gives up, in ms.
        frontend: name of the frontend that it addresses.
        customer: the customer's key, as text.
        plan: name of the customer's plan.
        units: what it takes from the customer's quota.
        set_size: number of nodes that serve this customer.
        first_node: index of the first of those nodes.
    """

    request_id: str
    deadline: float
    frontend: str
    customer: str
    plan: str
    units: int
    set_size: int
    first_node: int


class RequestCancelled(NamedTuple):
    """The client of a pending request has disconnected: the request needs no answer any more."""

    request_id: str


class ResponseStarted(NamedTuple):
    """A streamed response of a request has begun."""

    request_id: str


class AttemptFinished(NamedTuple):
    """An attempt has ended.

    Attributes:
        request_id: the request that it was made for.
        attempt_index: 0 for the request's first attempt.
        result: how it ended.
        latency_ms: time from its start to its end.
        settled: whether the request has its final answer.
        actual_units: units that the server reports as used; 0 where it reports none.
    """

    request_id: str
    attempt_index: int
    result: AttemptResult
    latency_ms: float
    settled: bool
    actual_units: int


class LeaseGranted(NamedTuple):
    """A planner lets this node spend `units` of a customer's quota until `expires_at`, in ms."""

    customer: int
    lease_id: int
    units: int
    expires_at: float


class LeaseRevoked(NamedTuple):
    """A lease must not be used any more."""

    customer: int
    lease_id: int


class RoutingRulesChanged(NamedTuple):
    """Routing rules take effect."""

    rules: RoutingRules


class PeerMessageReceived(NamedTuple):
    """Another node has sent its counts of customers' usage."""

    peer: int
    body: str


class TimerFired(NamedTuple):
    """A timer that was started by `DecisionSink.start_timer` has run out."""

    token: int


Event = (
    EndpointsUpdated
    | EndpointPollFailed
    | EndpointsStale
    | RequestArrived
    | RequestCancelled
    | ResponseStarted
    | AttemptFinished
    | LeaseGranted
    | LeaseRevoked
    | RoutingRulesChanged
    | PeerMessageReceived
    | TimerFired
)
