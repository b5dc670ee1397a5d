"""Slow start: all nodes together send a new server only the part of a share that its age permits."""

from typing import NamedTuple

from onyxpost.core.options import GatewayOptions
from onyxpost.core.requests import UpstreamServer
from onyxpost.core.server_registry import ServerRegistry
from onyxpost.core.sliding_window import SlidingWindowCounter
from onyxpost.policy.latency_estimates import LatencyEstimator


class RequestCounts(NamedTuple):
    """Requests that this node was to send, to any server."""

    requests: float = 0.0


ONE_REQUEST = RequestCounts(requests=1.0)


class SlowStart:
    """Decides when a server that warms up gets its next request from this node.

    Attributes:
        requests: recent requests that this node was to send.
    """

    GOLDEN_RATIO = 0.6180339887  # any run of its multiples, modulo 1, is spread evenly from 0 to 1
    JITTER_PARTS = 20.0  # a node's phase is moved at random by up to one such part of an interval
    MIN_WINDOW_MS = 1000.0  # over which a node that has just started counts what it has sent

    def __init__(self, now: float, options: GatewayOptions, servers: ServerRegistry) -> None:
        self._started_at = now
        self._policy = options.slow_start
        self._node_index = options.node_index
        self._servers = servers
        self._window_ms = LatencyEstimator.WINDOW_MS
        slots = LatencyEstimator.WINDOW_SLOTS
        self.requests = SlidingWindowCounter(self._window_ms / slots, slots, RequestCounts)

    def warmup_fraction(self, now: float, server: UpstreamServer) -> float:
        """Returns the share of its capacity that the server surely has by now."""
        started_at = server.endpoint.started_at
        age_ms = now - started_at
        if started_at <= 0.0 or age_ms >= self._policy.warmup_ms:
            return 1.0
        return max(self._policy.initial_fraction, age_ms / self._policy.warmup_ms)

    def restart(self, server: UpstreamServer, random_number: float) -> None:
        """Sets when a new process gets its first request from this node."""
        # Each node has its own phase: all nodes' first requests at once would overload the server.
        phase = self._node_index * self.GOLDEN_RATIO + server.hash / 2.0**32
        server.slow_start.intervals_left = (phase + random_number / self.JITTER_PARTS) % 1.0

    def record_request(self, now: float) -> None:
        """Counts a request that is to be sent to a server."""
        self.requests.add(now, ONE_REQUEST)

    def on_attempt_started(self, server: UpstreamServer) -> None:
        """Lets the server wait for a whole interval until its next request."""
        server.slow_start.intervals_left = 1.0

    def advance(self, now: float, elapsed_ms: float) -> None:
        """Counts the waits down by the intervals that have passed within `elapsed_ms`."""
        sent = self.requests.totals(now).requests
        window_ms = min(self._window_ms, max(self.MIN_WINDOW_MS, now - self._started_at))
        fractions = [(server, self.warmup_fraction(now, server)) for server in self._servers.ready]
        interval_ms = window_ms * sum(fraction for _, fraction in fractions) / max(1.0, sent)
        # The wait counts down in steps, each by the interval at its time. Measured as a whole, it would let
        # all nodes send at once when half of the warm servers disappear, which halves the interval.
        for server, fraction in fractions:  # that of a warm server is never read
            server.slow_start.intervals_left -= elapsed_ms * fraction / interval_ms
