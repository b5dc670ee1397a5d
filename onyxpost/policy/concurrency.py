"""Limits the attempts in flight at the app servers.

Attempts beyond the servers' capacity add latency but no throughput (Little's law).
"""

from typing import NamedTuple

from onyxpost.core.events import TimerFired
from onyxpost.core.options import GatewayOptions
from onyxpost.core.requests import Attempt, UpstreamServer
from onyxpost.core.server_registry import ServerRegistry
from onyxpost.core.sink import DecisionSink
from onyxpost.core.sliding_window import SlidingWindowCounter
from onyxpost.policy.load_shedding import LatencyLoadShedder


class LatenessCounts(NamedTuple):
    """Counts of answers to attempts that were sent since the limit was last decreased.

    Attributes:
        answers: all of these answers.
        late: those that took longer than `ConcurrencyLimit.LATE_FRACTION` of the latency objective.
        quick: those that took less than `ConcurrencyLimit.QUICK_FRACTION` of that time.
    """

    answers: float = 0.0
    late: float = 0.0
    quick: float = 0.0


class ConcurrencyLimit:
    """A limit on attempts in flight per server: decreased while answers are late, else increased when used.

    The limit becomes too low if answers are late for a reason other than load.

    Attributes:
        limit: attempts in flight that this node may have per available server, with fractions.
    """

    INITIAL_LIMIT = 8.0  # attempts in flight per server, of all edge nodes together
    MAX_LIMIT_FACTOR = 8.0  # upper bound of the limit, as a multiple of the initial limit
    MIN_LIMIT = 0.5  # lower bound: attempts in flight per server, of all edge nodes together
    # Lower bound: attempts in flight of this node, at the servers in question together. Fewer give too few
    # answers to measure.
    MIN_TOTAL_LIMIT = 2.0
    PERIOD_FRACTION = 0.25  # time between two updates, as a fraction of the shortest latency objective
    WINDOW_PERIODS = 4  # number of update periods over which answers are counted
    LATE_FRACTION = 0.4  # answers that take a larger fraction of the latency objective count as late
    QUICK_FRACTION = 0.5  # answers that take a smaller fraction of the time of a late answer count as quick
    MAX_LATE_SHARE = 0.3  # share of late answers above which the limit is decreased
    MIN_LATE_ANSWERS = 2.0  # ignore single late answers, which are no sign of overload
    # Factor of each decrease. Attempts that were sent before a decrease do not count towards the next one.
    DECREASE_FACTOR = 0.6
    INCREASE_FACTOR = 1.08  # factor per period in which load is shed or enough of the limit is used
    # The limit is increased only if at least this share of it is used. At lower use, quick answers do not
    # show that the servers could take more attempts.
    MIN_USED_SHARE = 0.5

    def __init__(
        self, now: float, options: GatewayOptions, servers: ServerRegistry, shedder: LatencyLoadShedder
    ) -> None:
        self._servers = servers
        self._shedder = shedder
        self._period_ms = self.PERIOD_FRACTION * options.shortest_latency_objective_ms
        self._min_limit = self.MIN_LIMIT / options.node_count
        self._max_limit = self.MAX_LIMIT_FACTOR * self.INITIAL_LIMIT / options.node_count
        self.limit = self.INITIAL_LIMIT / options.node_count
        self._next_update_at = now
        self._decreased_at = 0.0
        self._answers = self._new_window()

    def _new_window(self) -> SlidingWindowCounter[LatenessCounts]:
        return SlidingWindowCounter(self._period_ms, self.WINDOW_PERIODS, LatenessCounts)

    def is_reached(self, servers: list[UpstreamServer], in_flight: int, share: float = 1.0) -> bool:
        """Returns whether `in_flight` attempts reach a share of the limit of these servers together."""
        # Ejected servers do not count as capacity; else the loss of a zone would overload the other zones.
        available = [server for server in servers if not server.circuit_breaker.successes_to_close]
        return in_flight >= share * max(self.MIN_TOTAL_LIMIT, self.limit * len(available))

    def _is_late(self, attempt: Attempt, latency_ms: float) -> bool:
        late_ms = self.LATE_FRACTION * attempt.request.frontend.latency_objective_ms
        return attempt.sent_at >= self._decreased_at and latency_ms > late_ms

    def record_answer(self, now: float, attempt: Attempt, latency_ms: float) -> None:
        """Counts an answer, or an attempt that ended by its timeout, unless sent before the last decrease."""
        answer_count = float(attempt.sent_at >= self._decreased_at)
        objective_ms = attempt.request.frontend.latency_objective_ms
        is_quick = latency_ms < self.QUICK_FRACTION * self.LATE_FRACTION * objective_ms
        is_late = self._is_late(attempt, latency_ms)
        self._answers.add(
            now, LatenessCounts(answers=answer_count, late=float(is_late), quick=answer_count * is_quick)
        )

    def on_timer(self, now: float, _event: TimerFired, _sink: DecisionSink) -> None:
        """Updates the limit at the end of each period.

        Attempts in flight that are late already count as late answers, unless their latency deadline has
        passed. `LoadBalancer.pick` does not count those towards the limit, either.
        """
        if now < self._next_update_at:
            return
        self._next_update_at = now + self._period_ms
        in_flight = self._servers.attempts_in_flight()
        late_in_flight = sum(
            self._is_late(each, now - each.sent_at)
            for each in in_flight
            if not each.is_past_latency_deadline(now)
        )
        recent = self._answers.totals(now)
        late_answers = late_in_flight + recent.late
        all_answers = late_in_flight + recent.answers
        # If at least as many answers are quick as late, the late ones are due to lost or expensive requests
        # and not to slow servers.
        threshold = max(self.MAX_LATE_SHARE * all_answers, recent.quick)
        if late_answers >= self.MIN_LATE_ANSWERS and late_answers > threshold:
            self.limit = max(self._min_limit, self.limit * self.DECREASE_FACTOR)
            self._decreased_at = now
            self._answers = self._new_window()
        elif self._shedder.is_shedding or self._is_limit_used(len(in_flight)):
            self.limit = min(self._max_limit, self.limit * self.INCREASE_FACTOR)

    def _is_limit_used(self, in_flight: int) -> bool:
        return self.is_reached(self._servers.ready, in_flight, self.MIN_USED_SHARE)
