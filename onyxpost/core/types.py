"""Types that pass between the decision code (`onyxpost.policy`) and its hosts. No decisions here.

A host makes one `onyxpost.policy.gateway.Gateway` for each incarnation of an edge node and calls
`handle(now, events, sink)` when events have arrived: `onyxpost.core.events` defines the events, and
`onyxpost.core.sink` what a host does for the gateway.

Times are milliseconds with fractions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Protocol, TypeVar


class Idempotency(Enum):
    """Whether a request of a frontend may be executed again."""

    IDEMPOTENT = "replayable"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "non-replayable"


class DeduplicationScope(Enum):
    """Which app servers together drop duplicates of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptResult(Enum):
    """How an attempt ended: its label in logs, and whether that proves that it was never executed.

    Attributes:
        OK: the server answered.
        ERROR: the server answered with an error.
        FULL: the server rejected the request for lack of capacity.
        EXPIRED: no answer came within the attempt's timeout.
        NO_CONNECTION: no connection, or it ended before the whole request was sent.
        LOST: the connection was lost before the answer.
        CANCELLED: the gateway cancelled the attempt.
        UNUSED: nothing was sent, for a reason that says nothing about the server.
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
    """What discovery reports of an app server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Frontend:
    """A class of requests with the same objectives.

    Attributes:
        latency_objective_ms: the time within which an answer has its full value.
        client_timeout_ms: the time after which clients give up.
        deduplication_scope: which servers drop duplicates, for requests with an idempotency key.
        deduplication_window_ms: how long they do.
        priority_weight: value of an answer within the objective.
        late_weight: value of a later answer; 0: it has none.
        latency_objective_stretch: as the settings give it; decisions do not depend on it.
        streamed: whether responses are streamed.
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
    streamed: bool


@dataclass(frozen=True, slots=True)
class Plan:
    """Limits of a customer's use.

    Attributes:
        rate: units a second; 0: no quota in units.
        burst: units that can be saved up.
        concurrency_limit: on attempts in flight; 0: none.
        priority_factor: by which the value of an answer is multiplied.
        hard_limit_rate: units a second that may never be exceeded; 0: no hard limit.
        hard_limit_burst: units of the hard limit that can be saved up.
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
    """How fast the capacity of app servers grows after their start.

    Attributes:
        initial_fraction: share of its capacity that a server has at its start.
        warmup_ms: time after which it has its full capacity.
        overload_multiple: a server fails if all nodes together send it this multiple of its capacity.
        overload_window_ms: time over which that is counted.
    """

    initial_fraction: float
    warmup_ms: float
    overload_multiple: float
    overload_window_ms: float


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """What this deployment permits an edge node.

    Attributes:
        max_attempts: for one request.
        parallel_attempts: whether attempts for one request may overlap.
        cancellation: whether attempts can be cancelled.
        peer_messages: whether nodes can send each other messages.
        max_retry_after_ms: the longest time that a client is asked to wait.
        peer_messages_per_second: messages that a node can receive.
        local_share: 0: there are no planners. Above 0: planners grant leases, and the buckets of all nodes
            together are refilled with this share of each limit.
        drain_grace_ms: time after the start of a server's drain in which attempts may still begin.
    """

    max_attempts: int
    parallel_attempts: bool
    cancellation: bool
    peer_messages: bool
    max_retry_after_ms: float
    peer_messages_per_second: float
    local_share: float = 0.0
    drain_grace_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """One app server as discovery reports it; `started_at` 0: long ago."""

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
        """The zone that it is in."""

    @property
    def cell(self) -> int:
        """The cell that it is in."""


ServerType = TypeVar("ServerType", bound=Locatable)


class RoutingConstraint:
    """What routing rules permit one request; this base class permits everything.

    Attributes:
        max_attempts: limit on the request's attempts.
        capacity_share: share of the concurrency limit from which on the request is rejected.
    """

    max_attempts: float = inf
    capacity_share: float = 1.0

    def select(self, servers: list[ServerType]) -> list[ServerType]:
        """Returns those of the servers that may be chosen, in the same order."""
        return servers


UNRESTRICTED = RoutingConstraint()


class RoutingRules(Protocol):
    """Routing rules in force. A request keeps the constraint of its admission."""

    def constraint_for(self, frontend: str, plan: str, customer: int) -> RoutingConstraint:
        """Returns the constraint on a request; `customer` is the CRC-32 of its customer's key."""
