"""Schema of the deployment settings, as operators and the simulator write them.

Where a key differs from the usual term, the attribute has the usual term and `msgspec.field` has the key.
Times in the settings are in microseconds, and rates are per second.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, field

from onyxpost.config.decoding import Settings

POLL_DISCOVERY = "on_request"
"""Value of `discovery` in a deployment whose nodes must poll for endpoints."""


class LimitSettings(Settings):
    """The section `bounds`: limits on a node's attempts, retries and connections, and features it may use."""

    max_attempts: Annotated[int, Meta(ge=1)] = field(default=1, name="try_limit")
    allows_parallel_attempts: bool = field(default=False, name="parallel_tries")
    cancels_attempts: bool = field(default=False, name="cancelling")
    gossips_with_peers: bool = field(default=False, name="peers")
    sends_retry_after: bool = field(default=False, name="retry_after")
    max_retry_after_us: float = 0.0
    connect_timeout_us: float | None = None
    keep_alive_us: float = field(default=0.0, name="keepalive_us")


class NodeGroupSettings(Settings):
    """The section `family_info`: limits that are equal for all nodes of a deployment; 0 units: no limit."""

    peer_messages_per_s: float = field(default=0.0, name="mail_per_s")
    max_request_units: int = field(default=0, name="most_units")


class UpstreamSettings(Settings):
    """The section `rules`: slow start, overload and drain of app servers."""

    initial_capacity: float = field(default=1.0, name="start_capacity")
    slow_start_us: float = field(default=0.0, name="cold_us")
    overload_factor: float = field(default=1.0, name="fall_multiple")
    overload_window_us: float = field(default=0.0, name="fall_us")
    drain_grace_us: float = 250_000.0


class FrontendSettings(Settings):
    """An entry of the list `grades`: a frontend's latency objective, deadline, idempotency and weights."""

    name: str
    latency_objective_us: Annotated[float, Meta(gt=0.0)] = field(name="aim_us")
    deadline_us: Annotated[float, Meta(gt=0.0)]
    idempotency: Literal["retryable", "dedup", "fragile"] = field(default="fragile", name="effect")
    deduplication_scope: Literal["all", "zone", "cell"] = field(default="cell", name="group")
    deduplication_window_us: float = field(default=0.0, name="dedup_window_us")
    priority_weight: float = field(default=1.0, name="worth")
    late_weight: float = field(default=0.0, name="late_value")
    objective_stretch: float | None = field(default=None, name="aim_stretch")
    streamed: bool = False


class PlanSettings(Settings):
    """An entry of the list `packages`: the quota and limits of a plan's customers; 0: no limit."""

    name: str
    rate: float = field(default=0.0, name="refill")
    burst: float = field(default=0.0, name="depth")
    concurrency_limit: int = field(default=0, name="open")
    priority_factor: float = field(default=1.0, name="worth_factor")
    hard_limit_rate: float = field(default=0.0, name="cap_rate")
    hard_limit_burst: float = field(default=0.0, name="ceiling_burst")


class DeploymentSettings(Settings):
    """All deployment settings of one node; limits, frontends and plans apply to the whole deployment."""

    node_index: Annotated[int, Meta(ge=0)] = field(name="ordinal")
    node_count: Annotated[int, Meta(ge=1)] = field(name="n_instances")
    limits: LimitSettings = field(name="bounds")
    upstreams: UpstreamSettings = field(name="rules")
    frontends: Annotated[list[FrontendSettings], Meta(min_length=1)] = field(name="grades")
    plans: list[PlanSettings] = field(default_factory=list, name="packages")
    node_group: NodeGroupSettings = field(default_factory=NodeGroupSettings, name="family_info")
    tick_us: float = field(default=0.0, name="quantum_us")
    discovery: str = ""
