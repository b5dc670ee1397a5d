"""What follows from reports of discovery, and for how long servers are trusted where these may be stale."""

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


class EndpointTrust:
    """How long after its last success a server surely still accepts attempts.

    Attributes:
        trusted_ms: that time; `inf` while endpoints are not stale.
    """

    MAX_NOTICE_DELAY_MS = 5000.0  # of the 6 s in which a change must be noticed where endpoints are polled

    def __init__(self, drain_grace_ms: float, *, polls_endpoints: bool) -> None:
        # A drain since the last success may be unknown; half of its grace period is left for connecting.
        notice_delay_ms = polls_endpoints * self.MAX_NOTICE_DELAY_MS
        self._stale_trust_ms = drain_grace_ms / 2.0 + notice_delay_ms
        self.trusted_ms = inf

    def on_endpoints_updated(self, _now: float, _event: EndpointsUpdated, _sink: DecisionSink) -> None:
        """Trusts all ready servers again."""
        self.trusted_ms = inf

    def on_endpoints_stale(self, _now: float, _event: EndpointsStale, _sink: DecisionSink) -> None:
        """Trusts only servers with a recent success."""
        self.trusted_ms = self._stale_trust_ms


class EndpointUpdates:
    """Watches discovery and applies what it reports."""

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
        """Asks discovery for changes where it does not push them."""
        if self._polls_endpoints:
            sink.watch_endpoints()

    def on_endpoint_poll_failed(self, _now: float, _event: EndpointPollFailed, sink: DecisionSink) -> None:
        """Repeats the poll."""
        sink.watch_endpoints()

    def on_endpoints_updated(self, _now: float, event: EndpointsUpdated, _sink: DecisionSink) -> None:
        """Applies what discovery reports."""
        self._servers.update(event, self._create, self._restart)
        self._order.forget()

    def _create(self, server_id: str) -> UpstreamServer:
        return UpstreamServer(server_id, self._latency.new_window())

    def _restart(self, server: UpstreamServer) -> None:
        """Resets a server with a new process: results, circuit breaker and slow start."""
        server.reset(self._latency.new_window())
        self._slow_start.restart(server, self._random.next())
