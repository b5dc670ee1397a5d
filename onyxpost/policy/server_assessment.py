"""Passes results of attempts to the components that assess app servers, and updates their estimates."""

from onyxpost.core.events import AttemptFinished, TimerFired
from onyxpost.core.requests import Attempt
from onyxpost.core.server_registry import ServerRegistry
from onyxpost.core.sink import DecisionSink
from onyxpost.core.types import AttemptResult
from onyxpost.policy.concurrency import ConcurrencyLimit
from onyxpost.policy.latency_estimates import LatencyEstimator
from onyxpost.policy.outlier_detection import OutlierDetector
from onyxpost.policy.slow_start import SlowStart


class ServerAssessment:
    """Updates latency estimates, the concurrency limit and circuit breakers by the results of attempts."""

    # Time between two updates of the estimates, which would cost too much at each request.
    ASSESS_INTERVAL_MS = 100.0

    def __init__(
        self,
        now: float,
        servers: ServerRegistry,
        latency: LatencyEstimator,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        limit: ConcurrencyLimit,
    ) -> None:
        self._servers = servers
        self._latency = latency
        self._slow_start = slow_start
        self._outliers = outliers
        self._limit = limit
        self._next_assessment_at = now

    def on_timer(self, now: float, _event: TimerFired, _sink: DecisionSink) -> None:
        """Updates mean latencies and slow start, once per interval."""
        if now < self._next_assessment_at:
            return
        self._next_assessment_at = now + self.ASSESS_INTERVAL_MS
        self._slow_start.advance(now, self.ASSESS_INTERVAL_MS)
        self._latency.update(now, self._servers)

    def record_result(self, now: float, attempt: Attempt, event: AttemptFinished, sink: DecisionSink) -> None:
        """Counts the result of an attempt; cancelled, unused and full attempts are not counted."""
        server = attempt.server
        if event.result in (AttemptResult.OK, AttemptResult.EXPIRED):
            self._limit.record_answer(now, attempt, event.latency_ms)
            self._latency.record_answer(now, server, event.latency_ms)
            if event.result is AttemptResult.OK:
                server.last_success_sent_at = attempt.sent_at
                if self._outliers.on_success(now, server):
                    server.reset(self._latency.new_window())
                    sink.log(f"server {server.id} circuit breaker closed")
        elif event.result not in (AttemptResult.CANCELLED, AttemptResult.UNUSED, AttemptResult.FULL):
            self._latency.record_failure(now, server)
            self._outliers.on_failure(now, server, event.result, sink)
