"""Types that the decision code (`onyxpost.policy`) and its hosts share.

A host creates one `onyxpost.policy.gateway.Gateway` for each incarnation of an edge node and calls
`handle(now, events, sink)` when events have arrived. `onyxpost.core.events` defines the events, and
`onyxpost.core.sink` defines the calls that the gateway makes to its host.

Times are milliseconds with fractions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Protocol, TypeVar


class Idempotency(Enum):
    """Whether a request of a frontend may be executed more than once.

    The values are the words of simulated scenarios (`onyxpost.simulation.discrete_event.scenario_sections`).
    """

    IDEMPOTENT = "replayable"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "non-replayable"


class DeduplicationScope(Enum):
    """The set of app servers that together drop duplicates of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptResult(Enum):
    """How an attempt ended, with a label for logs and whether the attempt was certainly never executed.

    Attributes:
        OK: the server answered.
        ERROR: the server answered with an error.
        FULL: the server rejected the request for lack of capacity.
        EXPIRED: no answer came within the attempt's timeout.
        NO_CONNECTION: no connection was made, or it was lost before the whole request was sent.
        LOST: the connection was lost after the request was sent and before the answer.
        CANCELLED: the gateway cancelled the attempt.
        UNUSED: nothing was sent, for a reason that is unrelated to the server.
    """

    OK = ("ok", False)
    ERROR = ("error", False)
    FULL = ("full", True)
    EXPIRED = ("expired", False)
    NO_CONNECTION = ("no connection", True)
    LOST = ("lost", False)
    CANCELLED = ("cancelled", False)
    UNUSED = ("unused", True)

    def __init__(self, label: str, never_executed: bool) -> None:
        self.label = label
        self.never_executed = never_executed


class EndpointState(Enum):
    """The state of an app server, as reported by discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Frontend:
    """A class of requests with the same objectives.

    Attributes:
        latency_objective_ms: the time within which an answer has its full value.
        client_timeout_ms: the time after which clients give up.
        idempotency: whether requests may be executed more than once.
        deduplication_scope: the servers that drop duplicates of requests with an idempotency key.
        deduplication_window_ms: how long these servers drop duplicates.
        priority_weight: value of an answer within the latency objective, which decisions do not use.
        late_weight: value of a later answer; 0 if late answers are worthless.
        latency_objective_stretch: value from the settings, which decisions do not use.
        is_streamed: whether responses are streamed.
    """

    name: str
    latency_objective_ms: float
    client_timeout_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float
    priority_weight: float
    late_weight: float
    latency_objective_stretch: float
    is_streamed: bool


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the limits on a customer's usage, and its priority.

    Attributes:
        rate: the quota, in units a second; 0 if there is no quota.
        burst: the largest number of unused units of the quota.
        concurrency_limit: the largest number of attempts in flight; 0 if there is no limit.
        priority_factor: factor by which the value of an answer is multiplied, which decisions do not use.
        hard_limit_rate: units a second that may never be exceeded; 0 if there is no hard limit.
        hard_limit_burst: the largest number of unused units of the hard limit.
    """

    name: str
    rate: float
    burst: float
    concurrency_limit: int
    priority_factor: float
    hard_limit_rate: float
    hard_limit_burst: float


@dataclass(frozen=True, slots=True)
class SlowStartPolicy:
    """How the capacity of app servers grows after their start.

    Attributes:
        initial_fraction: fraction of its full capacity that a server has at its start.
        warmup_ms: time after its start at which a server has its full capacity.
        overload_multiple: a server fails if all nodes together send it this multiple of its capacity.
        overload_window_ms: time over which the load on a server is measured for `overload_multiple`.
    """

    initial_fraction: float
    warmup_ms: float
    overload_multiple: float
    overload_window_ms: float


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """Limits that the deployment sets for an edge node.

    Attributes:
        max_attempts: the largest number of attempts for one request.
        may_overlap_attempts: whether attempts for one request may overlap, which decisions do not use.
        may_cancel_attempts: whether attempts can be cancelled.
        may_send_peer_messages: whether nodes can send each other messages.
        max_retry_after_ms: upper bound of `Retry-After`.
        peer_messages_per_second: messages that a node can receive from its peers.
        safe_share: 0 if there are no planners. Above 0, planners grant leases, and the buckets of all nodes
            together are refilled with this share of each limit, which they may spend without a lease.
        drain_grace_ms: time after the start of a server's drain in which attempts may still start.
    """

    max_attempts: int
    may_overlap_attempts: bool
    may_cancel_attempts: bool
    may_send_peer_messages: bool
    max_retry_after_ms: float
    peer_messages_per_second: float
    safe_share: float = 0.0
    drain_grace_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """The status of one app server, as reported by discovery.

    Attributes:
        server: the server's id.
        zone: the server's zone.
        cell: the server's cell.
        state: the server's state.
        weight: value from discovery, which decisions do not use.
        started_at: when the server was started, in ms; 0 for a start long ago.
    """

    server: str
    zone: str
    cell: int
    state: EndpointState
    weight: float
    started_at: float


class Locatable(Protocol):
    """The attributes of an app server that routing rules depend on."""

    @property
    def id(self) -> str:
        """The server's id."""

    @property
    def zone(self) -> str:
        """The server's zone."""

    @property
    def cell(self) -> int:
        """The server's cell."""


ServerType = TypeVar("ServerType", bound=Locatable)


class RoutingConstraint:
    """The constraint that routing rules put on one request; this base class permits everything.

    Attributes:
        max_attempts: upper bound of the request's attempts.
        capacity_share: share of the concurrency limit at which the request is rejected.
    """

    max_attempts: float = inf
    capacity_share: float = 1.0

    def select(self, servers: list[ServerType]) -> list[ServerType]:
        """Returns the servers that the request may be sent to, in the given order."""
        return servers


UNRESTRICTED = RoutingConstraint()


class RoutingRules(Protocol):
    """The routing rules in force. A request keeps the constraint that it got at admission."""

    def constraint_for(self, frontend: str, plan: str, customer: int) -> RoutingConstraint:
        """Returns the constraint on a request; `customer` is the CRC-32 of its customer's name."""
