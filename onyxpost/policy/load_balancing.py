"""Picks an app server for each attempt by the latencies and failures of earlier attempts."""

from onyxpost.core.requests import Request, UpstreamServer
from onyxpost.core.server_registry import ServerRegistry
from onyxpost.core.types import UNRESTRICTED
from onyxpost.policy.concurrency import ConcurrencyLimit
from onyxpost.policy.latency_estimates import LatencyEstimator
from onyxpost.policy.preference_order import PreferenceOrder
from onyxpost.policy.server_eligibility import ServerEligibility
from onyxpost.policy.slow_start import SlowStart


class LoadBalancer:
    """Picks the server with the lowest expected latency, or one that is due in slow start."""

    # Servers up to this multiple of the lowest expected latency are equivalent; preference order decides.
    LATENCY_TOLERANCE = 1.1

    def __init__(
        self,
        servers: ServerRegistry,
        order: PreferenceOrder,
        limit: ConcurrencyLimit,
        latency: LatencyEstimator,
        slow_start: SlowStart,
        eligibility: ServerEligibility,
    ) -> None:
        self._servers = servers
        self._order = order
        self._limit = limit
        self._latency = latency
        self._slow_start = slow_start
        self._eligibility = eligibility

    def pick(self, now: float, request: Request) -> UpstreamServer | None:
        """Returns the server for the request's next attempt; None if no eligible server has capacity."""
        preferred = self._order.servers_for(request.customer)
        if self._limit.is_reached(preferred, self._servers.timely_attempts(now)):
            return None
        warming_servers = {each for each in preferred if self._slow_start.warmup_fraction(now, each) < 1.0}
        due_servers = [
            each for each in preferred if each not in warming_servers or each.slow_start.intervals_left <= 0.0
        ]
        candidates = self._eligibility.candidates(now, due_servers, request)
        constraint = request.constraint
        if constraint is not UNRESTRICTED:  # the limit of all servers would overload the selected ones
            candidates = constraint.select(candidates)
            in_flight = sum(each.timely_attempts(now) for each in candidates)
            if self._limit.is_reached(candidates, in_flight, constraint.capacity_share):
                return None
        self._slow_start.record_request(now)
        # Servers that are due in slow start take precedence. Chosen by expected latency alone, they might get
        # no requests at all.
        first_due = next(
            (each for each in candidates if not each.in_flight and each in warming_servers), None
        )
        return self._lowest_expected_latency(candidates) if first_due is None and candidates else first_due

    def _lowest_expected_latency(self, servers: list[UpstreamServer]) -> UpstreamServer:
        """Returns the first server in preference order within `LATENCY_TOLERANCE` of the lowest latency."""
        expected_ms = [self._latency.expected_latency_ms(server) for server in servers]
        max_ms = self.LATENCY_TOLERANCE * min(expected_ms)
        return next(server for server, ms in zip(servers, expected_ms, strict=True) if ms <= max_ms)

    def on_attempt_started(self, server: UpstreamServer) -> None:
        """Marks the server as active and restarts its slow-start interval."""
        self._slow_start.on_attempt_started(server)
        self._servers.active[server] = None
