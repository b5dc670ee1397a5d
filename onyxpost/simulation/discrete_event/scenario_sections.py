"""Sections of a scenario file. Keys of the file that differ from the attribute are given as `name`.

Times are milliseconds; those whose key ends in `_s` are seconds. Pairs are the bounds of a uniform
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
    """Base of all sections; a key that is not known is rejected."""


class ClusterSection(ScenarioSection):
    """Edge nodes and app servers.

    Attributes:
        cells: number of cells that the servers are spread over.
        cores: requests that one server executes at a time.
        speed: work in ms that a core completes in 1 ms, drawn for each server.
        queue_limit: requests that may wait at one server.
        connection_limit: connections that one server accepts.
        handshake_ms: work of a server for a new connection, and time added to its first request.
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
    """Delays and losses of the network.

    Attributes:
        within_zone_ms: one-way delay inside a zone.
        between_zones_ms: one-way delay between two zones.
        peer_message_ms: delay of a message between edge nodes.
        peer_loss_probability: probability that such a message is lost.
        peer_messages_per_second: such messages that one node receives in a second; more are dropped.
        connect_timeout_ms: time after which a connection attempt without an answer fails.
    """

    within_zone_ms: DurationRange = field(name="within_ms", default=(0.2, 0.5))
    between_zones_ms: DurationRange = field(name="between_ms", default=(1.0, 2.5))
    peer_message_ms: DurationRange = field(name="peer_ms", default=(2.0, 15.0))
    peer_loss_probability: Share = field(name="peer_loss", default=0.04)
    peer_messages_per_second: Positive = field(name="peer_intake", default=40.0)
    connect_timeout_ms: Positive = 250.0


class EndpointUpdateSection(ScenarioSection):
    """Updates of endpoints.

    Attributes:
        delay_ms: time after which a node receives a change.
    """

    delay_ms: DurationRange = field(name="late_ms", default=(300.0, 1500.0))


class WorkloadSection(ScenarioSection):
    """Requests of one frontend.

    Attributes:
        share: part of all requests, relative to the shares of the other frontends.
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
        """Returns the frontend as the policy knows it."""
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


class PlanScenario(ScenarioSection):
    """A plan and its customers.

    Attributes:
        quota_weight: quota of one customer, relative to customers of other plans.
        burst_s: burst of the quota, as the time in which it is refilled.
        nodes_per_customer: size of the set of nodes that a customer's requests go to.
        hard_limit_factor: hard limit as a multiple of the quota; 0: none.
    """

    name: str
    customers: Count
    quota_weight: Positive = field(name="weight")
    burst_s: PositiveRange = (3.0, 6.0)
    nodes_per_customer: tuple[Count, Count] = field(name="spread", default=(2, 4))
    priority_factor: Positive = field(name="price", default=1.0)
    hard_limit_factor: Annotated[float, Meta(ge=0.0)] = field(name="ceiling", default=0.0)


class ClientSection(ScenarioSection):
    """How much customers send, and how their clients behave.

    Attributes:
        utilization: use within the quotas, as a share of what all servers can execute.
        demand_factor: requests of a customer, as a multiple of its quota.
        greedy_share: share of customers that send far more.
        greedy_demand_factor: the multiple of these.
        weight_change_s: time after which other nodes receive most requests of a customer.
        max_retries: retries of a client after its first try.
        retry_delay_ms: shortest time until a retry.
        patience_fraction: part of the client timeout after which a client disconnects.
        failure_detection_s: time until clients know that a node is down.
    """

    utilization: Positive = field(name="busy", default=0.5)
    demand_factor: PositiveRange = field(name="steady", default=(0.3, 0.9))
    greedy_share: Share = field(name="greedy", default=0.08)
    greedy_demand_factor: PositiveRange = field(name="greedy_times", default=(2.0, 5.0))
    weight_change_s: PositiveRange = field(name="shift_s", default=(7.0, 20.0))
    max_retries: Annotated[int, Meta(ge=0, le=10)] = field(name="retries", default=2)
    retry_delay_ms: DurationRange = field(name="retry_ms", default=(20.0, 200.0))
    patience_fraction: PositiveRange = field(name="patience", default=(0.5, 1.0))
    failure_detection_s: Duration = field(name="front_s", default=2.0)


class SlowStartSection(ScenarioSection):
    """Capacity of an app server after its start, and the overload under which it fails."""

    initial_fraction: Annotated[float, Meta(gt=0.0, le=1.0)] = field(name="start_share", default=0.2)
    warmup_ms: Positive = field(name="warm_ms", default=15_000.0)
    overload_multiple: Positive = field(name="multiple", default=4.0)
    overload_window_ms: Positive = field(name="window_ms", default=1500.0)

    def policy(self) -> SlowStartPolicy:
        """Returns the values as the policy knows them."""
        return SlowStartPolicy(
            self.initial_fraction, self.warmup_ms, self.overload_multiple, self.overload_window_ms
        )


class PlannerSection(ScenarioSection):
    """Planners, which grant leases of quota units in place of the gossip between nodes.

    Attributes:
        safe_share: share of the quotas that nodes may use without a lease.
    """

    count: Annotated[int, Meta(ge=1, le=64)]
    safe_share: Annotated[float, Meta(gt=0.0, le=0.5)] = field(name="share", default=0.2)
    lease_ms: Annotated[float, Meta(ge=500.0, le=60_000.0)] = 2000.0
