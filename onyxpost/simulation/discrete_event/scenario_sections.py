"""Sections of a scenario file. `name` gives the key in the file where it differs from the attribute.

Times are in milliseconds, or in seconds if the key ends in `_s`. A pair holds the bounds of a uniform
distribution.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, field

from onyxpost.core.types import DeduplicationScope, Frontend, Idempotency, SlowStartPolicy

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
Duration = Annotated[float, Meta(ge=0.0)]
Count = Annotated[int, Meta(ge=1, le=5000)]
DurationRange = tuple[Duration, Duration]
PositiveRange = tuple[Positive, Positive]


class ScenarioSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of all sections; unknown keys are rejected."""


class ClusterSection(ScenarioSection):
    """Edge nodes and app servers.

    Attributes:
        cells: number of cells; servers are assigned to them round-robin.
        cores: number of requests that one server executes in parallel.
        speed: work in ms that a core completes in 1 ms, drawn for each server.
        queue_limit: maximum number of requests queued at one server.
        connection_limit: maximum number of connections open at one server.
        handshake_ms: work of a server for a new connection, and delay of the first request on the connection.
        keep_alive_ms: time after which a server closes an idle connection.
    """

    nodes: Count
    servers: Count
    zones: Annotated[int, Meta(ge=1, le=64)] = 3
    cells: Annotated[int, Meta(ge=1, le=64)] = 2
    cores: Annotated[int, Meta(ge=1, le=256)] = 2
    speed: PositiveRange = (0.85, 1.15)
    queue_limit: Annotated[int, Meta(ge=0)] = field(name="queue", default=48)
    connection_limit: Annotated[int, Meta(ge=1)] = field(name="connections", default=400)
    handshake_ms: Duration = 1.5
    keep_alive_ms: Positive = 15_000.0


class NetworkSection(ScenarioSection):
    """Delays and message loss of the network.

    Attributes:
        within_zone_ms: one-way delay inside a zone.
        between_zones_ms: one-way delay between two zones.
        peer_message_ms: delay of a gossip message between edge nodes.
        peer_loss_probability: probability that a gossip message is lost.
        peer_messages_per_second: maximum rate of gossip messages that one node receives; others are dropped.
        connect_timeout_ms: time after which opening a connection fails if the server is unreachable.
    """

    within_zone_ms: DurationRange = field(name="within_ms", default=(0.2, 0.5))
    between_zones_ms: DurationRange = field(name="between_ms", default=(1.0, 2.5))
    peer_message_ms: DurationRange = field(name="peer_ms", default=(2.0, 15.0))
    peer_loss_probability: Share = field(name="peer_loss", default=0.04)
    peer_messages_per_second: Positive = field(name="peer_intake", default=40.0)
    connect_timeout_ms: Positive = 250.0


class EndpointUpdateSection(ScenarioSection):
    """Endpoint updates, which discovery sends to the nodes.

    Attributes:
        delay_ms: time from a change of an endpoint until a node receives it.
    """

    delay_ms: DurationRange = field(name="late_ms", default=(300.0, 1500.0))


class WorkloadSection(ScenarioSection):
    """Workload of one frontend.

    Attributes:
        share: share of all requests, relative to the shares of the other frontends.
        work_ms: work of one request on a core of speed 1.
        units: quota units of one request.
    """

    name: str
    share: Positive
    work_ms: PositiveRange
    latency_objective_ms: Positive = field(name="response_target_ms")
    client_timeout_ms: Positive
    priority_weight: Positive = field(name="value", default=1.0)
    late_weight: Share = field(name="late_value", default=0.0)
    units: Annotated[int, Meta(ge=1, le=64)] = 1
    idempotency: Idempotency = field(name="effect", default=Idempotency.IDEMPOTENT)
    deduplication_scope: DeduplicationScope = field(name="group", default=DeduplicationScope.ALL)
    deduplication_window_ms: Duration = field(name="repeat_window_ms", default=3000.0)

    def frontend(self) -> Frontend:
        """Returns the frontend's configuration for the policy."""
        return Frontend(
            self.name,
            self.latency_objective_ms,
            self.client_timeout_ms,
            self.idempotency,
            self.deduplication_scope,
            self.deduplication_window_ms,
            self.priority_weight,
            self.late_weight,
            0.0,
            False,
        )


class PlanSection(ScenarioSection):
    """A plan and its customers.

    Attributes:
        quota_weight: quota of one customer, relative to customers of other plans.
        burst_s: burst of the quota, as the time in which it is refilled; the mean of both bounds is used.
        nodes_per_customer: size of the set of nodes that a customer's requests go to.
        hard_limit_factor: hard limit as a multiple of the quota; 0: no hard limit.
    """

    name: str
    customers: Count
    quota_weight: Positive = field(name="weight")
    burst_s: PositiveRange = (3.0, 6.0)
    nodes_per_customer: tuple[Count, Count] = field(name="spread", default=(2, 4))
    priority_factor: Positive = field(name="price", default=1.0)
    hard_limit_factor: Annotated[float, Meta(ge=0.0)] = field(name="ceiling", default=0.0)


class ClientSection(ScenarioSection):
    """Load of the customers, and behavior of their clients.

    Attributes:
        utilization: load within the quotas, as a fraction of the capacity of all servers.
        demand_factor: demand of a customer, as a multiple of its quota.
        heavy_share: share of the customers whose demand exceeds their quota.
        heavy_demand_factor: demand of these customers, as a multiple of their quota.
        weight_change_s: time after which a customer's requests are spread over its nodes by new weights.
        max_retries: maximum number of retries after the first try of a request.
        retry_delay_ms: time until a retry; a longer `Retry-After` takes precedence.
        disconnect_fraction: fraction of the client timeout after which a client disconnects.
        failure_detection_s: time until clients send no more requests to a node that is down.
    """

    utilization: Positive = field(name="busy", default=0.5)
    demand_factor: PositiveRange = field(name="steady", default=(0.3, 0.9))
    heavy_share: Share = field(name="greedy", default=0.08)
    heavy_demand_factor: PositiveRange = field(name="greedy_times", default=(2.0, 5.0))
    weight_change_s: PositiveRange = field(name="shift_s", default=(7.0, 20.0))
    max_retries: Annotated[int, Meta(ge=0, le=10)] = field(name="retries", default=2)
    retry_delay_ms: DurationRange = field(name="retry_ms", default=(20.0, 200.0))
    disconnect_fraction: PositiveRange = field(name="patience", default=(0.5, 1.0))
    failure_detection_s: Duration = field(name="front_s", default=2.0)


class SlowStartSection(ScenarioSection):
    """Slow start of app servers.

    Attributes:
        initial_fraction: fraction of its capacity that a server has at its start.
        warmup_ms: time after which a server has its full capacity.
        overload_multiple: multiple of its current capacity at which a server in slow start fails.
        overload_window_ms: window over which the load for this limit is measured.
    """

    initial_fraction: Annotated[float, Meta(gt=0.0, le=1.0)] = field(name="start_share", default=0.2)
    warmup_ms: Positive = field(name="warm_ms", default=15_000.0)
    overload_multiple: Positive = field(name="multiple", default=4.0)
    overload_window_ms: Positive = field(name="window_ms", default=1500.0)

    def policy(self) -> SlowStartPolicy:
        """Returns the values in the form that the policy uses."""
        return SlowStartPolicy(
            self.initial_fraction, self.warmup_ms, self.overload_multiple, self.overload_window_ms
        )


class PlannerSection(ScenarioSection):
    """Planners, which grant leases of quota units and replace the gossip between nodes.

    Attributes:
        count: number of planners.
        safe_share: share of the quotas that nodes may use without a lease.
        lease_ms: duration of a lease.
    """

    count: Annotated[int, Meta(ge=1, le=64)]
    safe_share: Annotated[float, Meta(gt=0.0, le=0.5)] = field(name="share", default=0.2)
    lease_ms: Annotated[float, Meta(ge=500.0, le=60_000.0)] = 2000.0
