"""Estimates each app server's latency from its answers and from the age of its attempts in flight."""

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
        mean_latency_ms: mean latency of all servers' answers within the window, as of the last update.
    """

    # Time over which answers count: long enough for a sufficient number of answers, short enough to follow
    # changes of latency.
    WINDOW_MS = 6000.0
    # Mean latency that is assumed before the first answer, as a fraction of the shortest latency objective.
    INITIAL_LATENCY_FRACTION = 0.125
    PRIOR_ANSWERS = 2.0  # assumed answers with the mean latency of all servers, added to each server's own
    WINDOW_SLOTS = 12  # intervals of the window, which moves on by one interval at a time

    def __init__(self, shortest_objective_ms: float) -> None:
        self._initial_latency_ms = self.INITIAL_LATENCY_FRACTION * shortest_objective_ms
        self._all_answers = self.new_window()
        self.mean_latency_ms = self._initial_latency_ms

    def new_window(self) -> SlidingWindowCounter[AnswerCounts]:
        """Returns an empty sliding window for the results of one server or of all."""
        return SlidingWindowCounter(self.WINDOW_MS / self.WINDOW_SLOTS, self.WINDOW_SLOTS, AnswerCounts)

    def record_answer(self, now: float, server: UpstreamServer, latency_ms: float) -> None:
        """Counts the latency of an answer, or of an attempt that ended by its timeout."""
        counts = AnswerCounts(answers=1.0, latency_ms=latency_ms)
        server.latency.window.add(now, counts)
        self._all_answers.add(now, counts)

    def record_failure(self, now: float, server: UpstreamServer) -> None:
        """Counts a failed attempt; its latency does not count."""
        server.latency.window.add(now, ONE_FAILURE)

    def update(self, now: float, servers: ServerRegistry) -> None:
        """Updates the means of all active servers; resets and deactivates those that have become idle."""
        totals = self._all_answers.totals(now)
        self.mean_latency_ms = (
            totals.latency_ms / totals.answers if totals.answers else self._initial_latency_ms
        )
        for server in list(servers.active):
            results = server.latency.window.totals(now)
            self._update_means(now, server, results)
            if not (server.in_flight or results.answers or results.failures):
                server.latency.mean_latency_ms = 0.0
                server.latency.mean_in_flight = 1.0
                del servers.active[server]

    def _update_means(self, now: float, server: UpstreamServer, results: AnswerCounts) -> None:
        """Updates a server's means, with `PRIOR_ANSWERS` assumed answers at the mean latency of all servers.

        An attempt that has been in flight for longer than the mean of all servers counts as an answer with
        its age as latency, because the answers of a slow server are few and arrive late.
        """
        overall_mean_ms = self.mean_latency_ms
        overdue_ages_ms = [
            now - each.sent_at for each in server.in_flight if now - each.sent_at > overall_mean_ms
        ]
        answers = results.answers + len(overdue_ages_ms) + self.PRIOR_ANSWERS
        total_ms = results.latency_ms + sum(overdue_ages_ms) + self.PRIOR_ANSWERS * overall_mean_ms
        server.latency.mean_latency_ms = total_ms / answers
        server.latency.mean_in_flight = results.latency_ms / self.WINDOW_MS + 1.0

    def expected_latency_ms(self, server: UpstreamServer) -> float:
        """Returns the latency of one more request: the mean, scaled by attempts in flight (Little's law)."""
        latency = server.latency
        mean_ms = latency.mean_latency_ms or self.mean_latency_ms
        return mean_ms * (len(server.in_flight) + 1.0) / latency.mean_in_flight
