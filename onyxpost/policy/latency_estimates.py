"""Estimates of each app server's latency, from answers and from the age of attempts in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.server_records import AnswerCounts
from onyxpost.core.sliding_window import SlidingWindowCounter

if TYPE_CHECKING:
    from onyxpost.core.requests import UpstreamServer
    from onyxpost.core.server_registry import ServerRegistry

ONE_FAILURE = AnswerCounts(failures=1.0)


class LatencyEstimator:
    """Estimates the latency of one more request at each server.

    Attributes:
        mean_latency_ms: mean of all servers' answers within the window, at the last update.
    """

    WINDOW_MS = 6000.0  # over which answers count: enough of them to judge, yet quick to forget
    INITIAL_LATENCY_FRACTION = 0.125  # of the shortest latency objective, until an answer has come
    PRIOR_ANSWERS = 2.0  # with the mean latency of all servers, added to each server's own answers
    WINDOW_SLOTS = 12

    def __init__(self, shortest_objective_ms: float) -> None:
        self._initial_latency_ms = self.INITIAL_LATENCY_FRACTION * shortest_objective_ms
        self._all_answers = self.new_window()
        self.mean_latency_ms = self._initial_latency_ms

    def new_window(self) -> SlidingWindowCounter[AnswerCounts]:
        """Returns an empty window for a server's results."""
        return SlidingWindowCounter(self.WINDOW_MS / self.WINDOW_SLOTS, self.WINDOW_SLOTS, AnswerCounts)

    def record_answer(self, now: float, server: UpstreamServer, latency_ms: float) -> None:
        """Counts an answer, or an attempt that ended by its timeout."""
        counts = AnswerCounts(answers=1.0, latency_ms=latency_ms)
        server.latency.window.add(now, counts)
        self._all_answers.add(now, counts)

    def record_failure(self, now: float, server: UpstreamServer) -> None:
        """Counts an attempt that failed."""
        server.latency.window.add(now, ONE_FAILURE)

    def update(self, now: float, servers: ServerRegistry) -> None:
        """Updates the means of all active servers; those that have become idle are not active any more."""
        totals = self._all_answers.totals(now)
        self.mean_latency_ms = (
            totals.latency_ms / totals.answers if totals.answers else self._initial_latency_ms
        )
        for server in list(servers.active):
            counts = server.latency.window.totals(now)
            self._update_means(now, server, counts)
            if not (server.in_flight or counts.answers or counts.failures):
                server.latency.mean_latency_ms = 0.0
                server.latency.mean_in_flight = 1.0
                del servers.active[server]

    def _update_means(self, now: float, server: UpstreamServer, counts: AnswerCounts) -> None:
        """Updates the means, as if `PRIOR_ANSWERS` had come with the usual latency.

        An attempt that is in flight for longer than usual counts as an answer, with its age as latency: a
        slow server has few answers to be judged by, and they come late.
        """
        usual_ms = self.mean_latency_ms
        ages = [now - each.sent_at for each in server.in_flight if now - each.sent_at > usual_ms]
        answers = counts.answers + len(ages) + self.PRIOR_ANSWERS
        total_ms = counts.latency_ms + sum(ages) + self.PRIOR_ANSWERS * usual_ms
        server.latency.mean_latency_ms = total_ms / answers
        server.latency.mean_in_flight = counts.latency_ms / self.WINDOW_MS + 1.0

    def expected_latency_ms(self, server: UpstreamServer) -> float:
        """Returns the latency of one more request: the mean, scaled by what is in flight (Little's law)."""
        latency = server.latency
        mean_ms = latency.mean_latency_ms or self.mean_latency_ms
        return mean_ms * (len(server.in_flight) + 1.0) / latency.mean_in_flight
