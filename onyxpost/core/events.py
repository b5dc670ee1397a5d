"""Events that the decision code handles. Its host creates them and passes them on in order of arrival.

Times are milliseconds on the host's clock, with fractions. Requests, servers and leases are given by id.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from onyxpost.core.types import AttemptResult, EndpointStatus, RoutingRules


class EndpointsUpdated(NamedTuple):
    """Discovery has reported endpoints: all that exist if `is_complete`, else only the changed ones."""

    is_complete: bool
    endpoints: list[EndpointStatus]


class EndpointPollFailed(NamedTuple):
    """A poll of discovery has failed; the decision code answers with `DecisionSink.watch_endpoints`."""


class EndpointsStale(NamedTuple):
    """Changes of endpoints may have been missed.

    Until the next `EndpointsUpdated`, servers are used only for a limited time after a success.
    """


class RequestArrived(NamedTuple):
    """A client's request has been received completely.

    Attributes:
        request_id: the host's id of the request, unique among pending requests.
        deadline: the time by which the answer has to be sent, in ms.
        frontend: name of the frontend that the request addresses.
        customer: the customer's key (`customer_key`).
        plan: name of the customer's plan.
        units: units that the request takes from the customer's quota.
        set_size: number of nodes that serve this customer.
        first_node_index: index of the first of those nodes.
    """

    request_id: str
    deadline: float
    frontend: str
    customer: int
    plan: str
    units: int
    set_size: int
    first_node_index: int


class RequestCancelled(NamedTuple):
    """A request needs no answer any more: its client has disconnected, or the host has aborted it."""

    request_id: str


class ResponseStarted(NamedTuple):
    """The streamed response to a request has started."""

    request_id: str


class AttemptFinished(NamedTuple):
    """An attempt has ended.

    Attributes:
        request_id: the request to which the attempt belongs.
        attempt_index: 0 for the request's first attempt.
        result: how the attempt ended.
        latency_ms: time from the start of the attempt to its end.
        is_request_finished: whether the request has its final answer or its client has disconnected.
        actual_units: units that the server reports as used; 0 where it reports none.
    """

    request_id: str
    attempt_index: int
    result: AttemptResult
    latency_ms: float
    is_request_finished: bool
    actual_units: int


class LeaseGranted(NamedTuple):
    """A planner lets this node spend `units` of a customer's quota until `expires_at` (ms).

    `customer` is the customer's key.
    """

    customer: int
    lease_id: int
    units: int
    expires_at: float


class LeaseRevoked(NamedTuple):
    """A planner has revoked a lease; this node must not spend its units any more."""

    customer: int
    lease_id: int


class RoutingRulesChanged(NamedTuple):
    """New routing rules apply to requests that are admitted from now on."""

    rules: RoutingRules


class CustomerLimitChanged(NamedTuple):
    """The node's memory holds at most `max_customers` customers from now on."""

    max_customers: int


class PeerMessageReceived(NamedTuple):
    """A message from another node has arrived; `body` is the text that `gossip_codec` decodes."""

    peer: int
    body: str


class TimerFired(NamedTuple):
    """A timer that was started by `DecisionSink.start_timer` has expired."""

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
    | CustomerLimitChanged
    | PeerMessageReceived
    | TimerFired
)
