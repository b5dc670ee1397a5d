"""Applies endpoint updates from discovery, and limits the use of servers while endpoints are stale."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from onyxpost.core.requests import UpstreamServer

if TYPE_CHECKING:
    from onyxpost.core.events import EndpointPollFailed, EndpointsStale, EndpointsUpdated
    from onyxpost.core.node_state import NodeState
    from onyxpost.core.seeded_random import SeededRandom
    from onyxpost.core.sink import DecisionSink
    from onyxpost.policy.latency_estimates import LatencyEstimator
    from onyxpost.policy.preference_order import PreferenceOrder
    from onyxpost.policy.slow_start import SlowStart


class StaleEndpointPolicy:
    """Limits how long after its last success a server is used while endpoints are stale.

    Attributes:
        max_success_age_ms: time for which a server is used after its last successful attempt was sent; `inf`
            while endpoints are not stale.
    """

    # Longest delay that is assumed until a node notices a change of polled endpoints: 5 s of the 6 s that the
    # discovery protocol permits.
    MAX_NOTICE_DELAY_MS = 5000.0

    def __init__(self, drain_grace_ms: float, *, polls_endpoints: bool) -> None:
        # The server may have begun to drain since its last success without notice. Half of the drain grace
        # period is left for connecting.
        notice_delay_ms = polls_endpoints * self.MAX_NOTICE_DELAY_MS
        self._stale_max_success_age_ms = drain_grace_ms / 2.0 + notice_delay_ms
        self.max_success_age_ms = inf

    def on_endpoints_updated(self, _now: float, _event: EndpointsUpdated, _sink: DecisionSink) -> None:
        """Permits all ready servers again."""
        self.max_success_age_ms = inf

    def on_endpoints_stale(self, _now: float, _event: EndpointsStale, _sink: DecisionSink) -> None:
        """Permits only servers whose last successful attempt was sent recently enough."""
        self.max_success_age_ms = self._stale_max_success_age_ms


class EndpointUpdates:
    """Has the host watch discovery, where needed, and applies its updates to the server registry."""

    def __init__(
        self,
        state: NodeState,
        random: SeededRandom,
        latency: LatencyEstimator,
        slow_start: SlowStart,
        order: PreferenceOrder,
    ) -> None:
        self._servers = state.servers
        self._polls_endpoints = state.options.polls_endpoints
        self._random = random
        self._latency = latency
        self._slow_start = slow_start
        self._order = order

    def start(self, sink: DecisionSink) -> None:
        """Makes sure that the host watches discovery if discovery does not push changes."""
        if self._polls_endpoints:
            sink.watch_endpoints()

    def on_endpoint_poll_failed(self, _now: float, _event: EndpointPollFailed, sink: DecisionSink) -> None:
        """Makes sure that the host watches discovery."""
        sink.watch_endpoints()

    def on_endpoints_updated(self, now: float, event: EndpointsUpdated, _sink: DecisionSink) -> None:
        """Updates the server registry and drops the preference orders."""
        self._servers.update(event, self._create, lambda server: self._restart(now, server))
        self._order.forget()

    def _create(self, server_id: str) -> UpstreamServer:
        return UpstreamServer(server_id, self._latency.new_window())

    def _restart(self, now: float, server: UpstreamServer) -> None:
        """Resets results, circuit breaker and slow start of a server whose process has been restarted."""
        server.reset(self._latency.new_window())
        self._slow_start.restart(now, server, self._random.next())
