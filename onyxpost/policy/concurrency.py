"""Limits attempts in flight: beyond what the servers can do, more only add latency (Little's law)."""

from typing import NamedTuple

from onyxpost.core.events import TimerFired
from onyxpost.core.options import GatewayOptions
from onyxpost.core.requests import Attempt, UpstreamServer
from onyxpost.core.server_registry import ServerRegistry
from onyxpost.core.sink import DecisionSink
from onyxpost.core.sliding_window import SlidingWindowCounter
from onyxpost.policy.load_shedding import LatencyLoadShedder


class LatenessCounts(NamedTuple):
    """Answers to attempts that were sent since the limit was last decreased."""

    answers: float = 0.0
    late: float = 0.0
    quick: float = 0.0


class ConcurrencyLimit:
    """A limit per server, decreased while answers are late; too low where they are late without load."""

    INITIAL_LIMIT = 8.0  # attempts in flight at one server, from all edge nodes together
    MAX_LIMIT_FACTOR = 8.0  # of the initial limit
    MIN_LIMIT = 0.5  # in the unit of the initial limit
    MIN_TOTAL_LIMIT = 2.0  # attempts in flight at all servers; with fewer nothing would be measured
    PERIOD_FRACTION = 0.25  # of the shortest latency objective, between two updates of the limit
    WINDOW_PERIODS = 4  # over which answers count
    LATE_FRACTION = 0.4  # of its frontend's latency objective, after which an answer counts as late
    QUICK_FRACTION = 0.5  # of the time after which an answer is late, up to which it counts as quick
    MAX_LATE_SHARE = 0.3  # share of late answers above which the limit is decreased
    MIN_LATE_ANSWERS = 2.0  # one late answer says little
    DECREASE_FACTOR = 0.6  # attempts sent before a decrease do not count towards the next one
    INCREASE_FACTOR = 1.08  # for a period in which load is shed or enough of the limit is used
    MIN_USED_SHARE = 0.5  # of the limit, to increase it: one that is hardly used says nothing of the servers

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
        """Returns whether `in_flight` attempts reach this share of the limit of these servers together."""
        # Ejected servers add no capacity, or the loss of a zone would overload the servers that are left.
        available = [server for server in servers if not server.circuit_breaker.successes_to_close]
        return in_flight >= share * max(self.MIN_TOTAL_LIMIT, self.limit * len(available))

    def _is_late(self, attempt: Attempt, latency_ms: float) -> bool:
        late_ms = self.LATE_FRACTION * attempt.request.frontend.latency_objective_ms
        return attempt.sent_at >= self._decreased_at and latency_ms > late_ms

    def record_answer(self, now: float, attempt: Attempt, latency_ms: float) -> None:
        """Counts an answer, or an attempt that ended by its timeout."""
        counts = float(attempt.sent_at >= self._decreased_at)
        objective_ms = attempt.request.frontend.latency_objective_ms
        is_quick = latency_ms < self.QUICK_FRACTION * self.LATE_FRACTION * objective_ms
        is_late = self._is_late(attempt, latency_ms)
        self._answers.add(now, LatenessCounts(answers=counts, late=float(is_late), quick=counts * is_quick))

    def on_timer(self, now: float, _event: TimerFired, _sink: DecisionSink) -> None:
        """Sets the limit for the next period, if one has passed."""
        if now < self._next_update_at:
            return
        self._next_update_at = now + self._period_ms
        in_flight = self._servers.attempts_in_flight()
        overdue = sum(
            self._is_late(each, now - each.sent_at) for each in in_flight if not each.is_expired(now)
        )
        counts = self._answers.totals(now)
        late = overdue + counts.late
        answers = overdue + counts.answers
        # If as many answers are quick, late ones are lost or expensive requests: the servers are not slow.
        threshold = max(self.MAX_LATE_SHARE * answers, counts.quick)
        if late >= self.MIN_LATE_ANSWERS and late > threshold:
            self.limit = max(self._min_limit, self.limit * self.DECREASE_FACTOR)
            self._decreased_at = now
            self._answers = self._new_window()
        elif self._shedder.is_shedding or self._is_used(len(in_flight)):
            self.limit = min(self._max_limit, self.limit * self.INCREASE_FACTOR)

    def _is_used(self, in_flight: int) -> bool:
        return self.is_reached(self._servers.ready, in_flight, self.MIN_USED_SHARE)
