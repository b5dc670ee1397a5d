"""Decides when attempts may start and how long they may take, and limits the number of retries."""

from math import inf

from onyxpost.core.events import RequestArrived
from onyxpost.core.requests import Request
from onyxpost.core.sink import DecisionSink
from onyxpost.core.types import Idempotency
from onyxpost.policy.possible_execution import ExecutionSafety


class RetryBudget:
    """Limits retries to a share of the requests that arrive.

    Attributes:
        retries: number of retries that may be sent now, with fractions.
    """

    RETRIES_PER_REQUEST = 0.2  # retries added to the budget by each request that arrives
    MAX_RETRIES = 10.0  # upper bound of the budget

    def __init__(self) -> None:
        self.retries = self.MAX_RETRIES

    def on_request_arrived(self, _now: float, _event: RequestArrived, _sink: DecisionSink) -> None:
        """Adds `RETRIES_PER_REQUEST` to the budget."""
        self.retries = min(self.MAX_RETRIES, self.retries + self.RETRIES_PER_REQUEST)

    def has_retry(self) -> bool:
        """Returns whether the budget holds a whole retry."""
        return self.retries >= 1.0

    def consume(self) -> None:
        """Takes one retry from the budget."""
        self.retries -= 1.0


class AttemptPolicy:
    """Decides by idempotency and deadlines when an attempt or retry may start and how long it may take."""

    DEDUPLICATION_MARGIN = 0.95  # fraction of the deduplication window in which a retry may start
    DEADLINE_MARGIN_TICKS = 2.0  # margin before a deadline: an attempt's end may be noticed one tick late
    ANSWER_MARGIN_MS = 2.0  # margin before the latency deadline for sending the answer to the client
    # Least time before the latency deadline for a retry, in mean latencies. With less time left, the answer
    # would be late.
    MIN_REMAINING_LATENCIES = 0.5

    def __init__(self, tick_ms: float, execution: ExecutionSafety) -> None:
        self._tick_ms = tick_ms
        self._execution = execution

    def attempt_timeout_ms(self, request: Request, now: float) -> float:
        """Returns the timeout of an attempt.

        It ends before the latency deadline if late answers are worthless, but is at least one tick if the
        request's deadline permits. Otherwise it ends at the request's deadline.
        """
        timeout_ms = request.deadline - now
        if request.frontend.late_weight > 0.0:
            return timeout_ms
        in_time_ms = (
            request.latency_deadline
            - now
            - self.DEADLINE_MARGIN_TICKS * self._tick_ms
            - self.ANSWER_MARGIN_MS
        )
        return min(timeout_ms, max(self._tick_ms, in_time_ms))

    def latest_start_at(self, request: Request) -> float:
        """Returns the time from which on no attempt may start; `inf` if always, 0 if never permitted."""
        frontend = request.frontend
        first_execution = self._execution.first_possible_execution(request)
        if first_execution is None or frontend.idempotency is Idempotency.IDEMPOTENT:
            return inf
        if frontend.idempotency is Idempotency.NON_IDEMPOTENT:
            return 0.0
        return first_execution.sent_at + frontend.deduplication_window_ms * self.DEDUPLICATION_MARGIN

    def may_retry(self, request: Request, now: float, mean_latency_ms: float) -> bool:
        """Returns whether a retry is permitted by idempotency and its answer can still be of use."""
        is_in_time = now < request.latency_deadline - self.MIN_REMAINING_LATENCIES * mean_latency_ms
        is_useful = is_in_time or request.frontend.late_weight > 0.0
        has_time = now < request.deadline - self.DEADLINE_MARGIN_TICKS * self._tick_ms
        return is_useful and has_time and now < self.latest_start_at(request)
