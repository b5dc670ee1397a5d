"""Outlier detection: ejects servers that fail a large share of their attempts, by circuit breakers."""

from onyxpost.core.requests import UpstreamServer
from onyxpost.core.server_registry import ServerRegistry
from onyxpost.core.sink import DecisionSink
from onyxpost.core.types import AttemptResult


class OutlierDetector:
    """Ejects failing servers; after the open time they get one trial attempt at a time."""

    MAX_FAILED_SHARE = 0.35  # largest share of failed attempts at which a server is not ejected
    MIN_FAILURES = 2.0  # ignore single failures, which are often lost packets
    INITIAL_EJECTION_MS = 1000.0  # open time after a breaker's first trip; doubled at each further trip
    MAX_EJECTION_MS = 8000.0  # upper bound of the open time

    def __init__(self, servers: ServerRegistry) -> None:
        self._servers = servers

    def may_attempt(self, now: float, server: UpstreamServer) -> bool:
        """Returns whether the server is not ejected or is due for a trial attempt."""
        breaker = server.circuit_breaker
        return not breaker.successes_to_close or (now >= breaker.open_until and not server.in_flight)

    def on_success(self, now: float, server: UpstreamServer) -> bool:
        """Counts a successful trial of an ejected server; returns whether its circuit breaker closes."""
        breaker = server.circuit_breaker
        if not breaker.successes_to_close or now < breaker.open_until:
            return False
        breaker.successes_to_close -= 1
        return not breaker.successes_to_close

    def on_failure(
        self, now: float, server: UpstreamServer, result: AttemptResult, sink: DecisionSink
    ) -> None:
        """Ejects the server if it is an outlier, unless half of the ready servers are ejected already."""
        results = server.latency.window.totals(now)
        failed = results.failures
        answered = results.answers
        breaker = server.circuit_breaker
        is_outlier = failed >= self.MIN_FAILURES and failed > self.MAX_FAILED_SHARE * (failed + answered)
        # One failed connection is enough to eject a server, as probably no process listens there. One failed
        # trial is enough, too.
        if not (breaker.successes_to_close or result is AttemptResult.NO_CONNECTION or is_outlier):
            return
        if now >= breaker.open_until and 2 * self._count_other_ejected(server) < len(self._servers.ready):
            open_ms = self.INITIAL_EJECTION_MS * 2.0**breaker.successes_to_close
            breaker.open_until = now + min(self.MAX_EJECTION_MS, open_ms)
            breaker.successes_to_close += 1
            sink.log(f"server {server.id} ejected: {result.label} failed={failed:.0f} good={answered:.0f}")

    def _count_other_ejected(self, server: UpstreamServer) -> int:
        return sum(
            1
            for each in self._servers.ready
            if each.circuit_breaker.successes_to_close and each is not server
        )
