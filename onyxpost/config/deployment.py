"""Builds the deployment of a node from its settings, for the edge node and for the simulator's host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxpost.config.decoding import decode_as
from onyxpost.config.settings import (
    POLL_DISCOVERY,
    DeploymentSettings,
    FrontendSettings,
    LimitSettings,
    PlanSettings,
    UpstreamSettings,
)
from onyxpost.core.options import GatewayOptions
from onyxpost.core.types import (
    DeduplicationScope,
    Frontend,
    GatewayLimits,
    Idempotency,
    Plan,
    SlowStartPolicy,
)
from onyxpost.core.units import US_PER_MS
from onyxpost.errors import ConflictingValuesError, with_key_path
from onyxpost.policy.gateway import Gateway

if TYPE_CHECKING:
    from collections.abc import Iterable

IDEMPOTENCY_BY_NAME = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.IDEMPOTENCY_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPE_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


@dataclass(frozen=True, slots=True)
class Deployment:
    """The deployment of a node: its share of the quotas, frontends, plans and limits.

    Attributes:
        node_index: this node's index among `node_count` nodes.
        node_count: number of nodes that share the customers' quotas.
        tick_ms: resolution of the node's timers; 0: no fixed resolution.
        frontends: all frontends.
        plans: all plans of customers.
        slow_start: capacity of app servers during warmup, and their behaviour under overload.
        limits: limits on attempts, retries and messages to peers.
        polls_endpoints: whether the node must poll discovery, because discovery does not push changes.
        drain_grace_ms: time after which a draining app server accepts no new attempts.
        connect_timeout_ms: limit on connecting to an app server; 0: no limit.
        keep_alive_ms: time for which app servers keep an idle connection open.
        max_request_units: limit on the units of a request; 0: no limit.
    """

    node_index: int
    node_count: int
    tick_ms: float
    frontends: list[Frontend]
    plans: list[Plan]
    slow_start: SlowStartPolicy
    limits: GatewayLimits
    polls_endpoints: bool
    drain_grace_ms: float
    connect_timeout_ms: float
    keep_alive_ms: float
    max_request_units: int

    def build_gateway(self, now_ms: float, seed: int) -> Gateway:
        """Returns the gateway, which makes all decisions of a node that starts now.

        Equal seeds and events give equal decisions.
        """
        options = GatewayOptions(
            seed=seed,
            node_index=self.node_index,
            node_count=self.node_count,
            tick_ms=self.tick_ms,
            frontends=self.frontends,
            plans=self.plans,
            slow_start=self.slow_start,
            limits=self.limits,
            polls_endpoints=self.polls_endpoints,
        )
        return Gateway(now_ms, options)


def decode_deployment(data: object) -> Deployment:
    """Decodes the settings of a deployment.

    Raises:
        InvalidInputError: a key is missing, or a value is invalid or conflicts with another one.
    """
    return build_deployment(decode_as(data, DeploymentSettings, "settings"))


def build_deployment(settings: DeploymentSettings) -> Deployment:
    """Builds a deployment from its settings.

    Raises:
        ConflictingValuesError: the node's index is not below the number of nodes.
    """
    if settings.node_index >= settings.node_count:
        message = f"expected a node index below {settings.node_count}, got {settings.node_index}"
        raise ConflictingValuesError(with_key_path(message, "ordinal"))
    return Deployment(
        node_index=settings.node_index,
        node_count=settings.node_count,
        tick_ms=settings.tick_us / US_PER_MS,
        frontends=[_build_frontend(frontend) for frontend in settings.frontends],
        plans=build_plans(settings.plans),
        slow_start=_build_slow_start(settings.upstreams),
        limits=_build_limits(settings),
        polls_endpoints=settings.discovery == POLL_DISCOVERY,
        drain_grace_ms=settings.upstreams.drain_grace_us / US_PER_MS,
        connect_timeout_ms=_connect_timeout_us(settings) / US_PER_MS,
        keep_alive_ms=settings.limits.keep_alive_us / US_PER_MS,
        max_request_units=settings.node_group.max_request_units,
    )


def build_plans(settings: Iterable[PlanSettings]) -> list[Plan]:
    """Builds plans from the entries of `packages`."""
    return [
        Plan(
            name=plan.name,
            rate=plan.rate,
            burst=plan.burst,
            concurrency_limit=plan.concurrency_limit,
            priority_factor=plan.priority_factor,
            hard_limit_rate=plan.hard_limit_rate,
            hard_limit_burst=plan.hard_limit_burst,
        )
        for plan in settings
    ]


def _build_frontend(settings: FrontendSettings) -> Frontend:
    return Frontend(
        name=settings.name,
        latency_objective_ms=settings.latency_objective_us / US_PER_MS,
        client_timeout_ms=settings.deadline_us / US_PER_MS,
        idempotency=IDEMPOTENCY_BY_NAME[settings.idempotency],
        deduplication_scope=DEDUPLICATION_SCOPE_BY_NAME[settings.deduplication_scope],
        deduplication_window_ms=settings.deduplication_window_us / US_PER_MS,
        priority_weight=settings.priority_weight,
        late_weight=settings.late_weight,
        latency_objective_stretch=settings.objective_stretch or 0.0,
        is_streamed=settings.streamed,
    )


def _build_slow_start(settings: UpstreamSettings) -> SlowStartPolicy:
    return SlowStartPolicy(
        initial_fraction=settings.initial_capacity,
        warmup_ms=settings.slow_start_us / US_PER_MS,
        overload_multiple=settings.overload_factor,
        overload_window_ms=settings.overload_window_us / US_PER_MS,
    )


def _build_limits(settings: DeploymentSettings) -> GatewayLimits:
    limits = settings.limits
    return GatewayLimits(
        max_attempts=limits.max_attempts,
        may_overlap_attempts=limits.allows_parallel_attempts,
        may_cancel_attempts=limits.cancels_attempts,
        may_send_peer_messages=limits.gossips_with_peers,
        max_retry_after_ms=_max_retry_after_us(limits) / US_PER_MS,
        peer_messages_per_second=settings.node_group.peer_messages_per_s,
        drain_grace_ms=settings.upstreams.drain_grace_us / US_PER_MS,
    )


def _max_retry_after_us(limits: LimitSettings) -> float:
    return limits.max_retry_after_us if limits.sends_retry_after else 0.0


def _connect_timeout_us(settings: DeploymentSettings) -> float:
    """Returns the timeout for connecting; the settings may lower it, but not raise it.

    There are two upper limits. An attempt that took longer to connect than the drain grace period could begin
    after the end of that period. And if all attempts of a request fail to connect, they must take at most
    half of the request's deadline.
    """
    drain_grace_us = settings.upstreams.drain_grace_us
    shortest_deadline_us = min(frontend.deadline_us for frontend in settings.frontends)
    limit_us = min(drain_grace_us, shortest_deadline_us / 2 / settings.limits.max_attempts)
    configured_us = settings.limits.connect_timeout_us
    return limit_us if configured_us is None else min(configured_us, limit_us)
