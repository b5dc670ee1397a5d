"""Slow start: all nodes together send a server only the fraction of its load that its age permits."""

from typing import NamedTuple

from onyxpost.core.options import GatewayOptions
from onyxpost.core.requests import UpstreamServer
from onyxpost.core.server_registry import ServerRegistry
from onyxpost.core.sliding_window import SlidingWindowCounter
from onyxpost.policy.latency_estimates import LatencyEstimator


class RequestCounts(NamedTuple):
    """Count of the attempts for which a server was looked for within the concurrency limit."""

    requests: float = 0.0


ONE_REQUEST = RequestCounts(requests=1.0)


class SlowStart:
    """Decides when a server that warms up gets its next request from this node.

    Attributes:
        attempts_sent: counts the recent attempts for which a server was looked for within the concurrency
            limit, including those for which none was found.
    """

    # Reciprocal of the golden ratio. Its successive multiples modulo 1 are spread evenly from 0 to 1.
    GOLDEN_RATIO = 0.6180339887
    JITTER_PARTS = 20.0  # a node's phase is shifted at random by up to 1 / JITTER_PARTS of an interval
    MIN_WINDOW_MS = 1000.0  # shortest time over which a node that has just started measures its request rate

    def __init__(self, now: float, options: GatewayOptions, servers: ServerRegistry) -> None:
        self._started_at = now
        self._policy = options.slow_start
        self._node_index = options.node_index
        self._servers = servers
        self._window_ms = LatencyEstimator.WINDOW_MS
        slots = LatencyEstimator.WINDOW_SLOTS
        self.attempts_sent = SlidingWindowCounter(self._window_ms / slots, slots, RequestCounts)

    def warmup_fraction(self, now: float, server: UpstreamServer) -> float:
        """Returns the fraction of its capacity that a server of this age is certain to have.

        The time of the start comes from another clock, which may be ahead of this node's. A server is at
        least as old as this node's knowledge of its start.
        """
        started_at = server.endpoint.started_at
        age_ms = now - min(started_at, server.slow_start.known_since)
        if started_at <= 0.0 or age_ms >= self._policy.warmup_ms:
            return 1.0
        return max(self._policy.initial_fraction, age_ms / self._policy.warmup_ms)

    def restart(self, now: float, server: UpstreamServer, random_number: float) -> None:
        """Records a start that becomes known now, and sets the time until the server's first request."""
        server.slow_start.known_since = now
        # Each node has its own phase, as the first requests of all nodes at once would overload the server.
        phase = self._node_index * self.GOLDEN_RATIO + server.hash / 2.0**32
        server.slow_start.intervals_left = (phase + random_number / self.JITTER_PARTS) % 1.0

    def record_request(self, now: float) -> None:
        """Counts an attempt for which a server is looked for within the concurrency limit."""
        self.attempts_sent.add(now, ONE_REQUEST)

    def on_attempt_started(self, server: UpstreamServer) -> None:
        """Makes the server due again after a whole interval."""
        server.slow_start.intervals_left = 1.0

    def advance(self, now: float, elapsed_ms: float) -> None:
        """Reduces each server's remaining intervals by `elapsed_ms`, divided by the server's interval.

        A server's interval is that of a warm server, divided by the server's own warm-up fraction.
        """
        request_count = self.attempts_sent.totals(now).requests
        window_ms = min(self._window_ms, max(self.MIN_WINDOW_MS, now - self._started_at))
        server_fractions = [(server, self.warmup_fraction(now, server)) for server in self._servers.ready]
        interval_ms = window_ms * sum(fraction for _, fraction in server_fractions) / max(1.0, request_count)
        # Remaining intervals are reduced in steps, each by the interval at that time. If they were computed
        # from the time of the last request, the loss of half of the warm servers, which halves the interval,
        # would make the server due at all nodes at once.
        for server, fraction in server_fractions:  # a warm server's `intervals_left` is never read
            server.slow_start.intervals_left -= elapsed_ms * fraction / interval_ms
