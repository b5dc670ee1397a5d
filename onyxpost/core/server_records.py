"""A node's records of one app server: latency, circuit breaker and slow start.

`onyxpost.policy.latency_estimates`, `onyxpost.policy.outlier_detection` and `onyxpost.policy.slow_start`
update and use these records.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from onyxpost.core.sliding_window import SlidingWindowCounter


class AnswerCounts(NamedTuple):
    """Counts of ended attempts and the sum of their latencies.

    Attributes:
        answers: attempts that were answered or ended by their timeout.
        latency_ms: sum of the latencies of `answers`.
        failures: attempts that failed.
    """

    answers: float = 0.0
    latency_ms: float = 0.0
    failures: float = 0.0


class LatencyStatistics:
    """The recent results of a server, and the means that were last computed from them.

    Attributes:
        window: recent results.
        mean_latency_ms: mean latency within the window, slow attempts in flight included; 0 if unknown.
        mean_in_flight: mean number of attempts in flight within the window, computed from the latencies of
            `AnswerCounts.answers`, plus 1 for the request whose latency is estimated.
    """

    __slots__ = ("mean_in_flight", "mean_latency_ms", "window")

    def __init__(self, window: SlidingWindowCounter[AnswerCounts]) -> None:
        self.window = window
        self.mean_latency_ms = 0.0
        self.mean_in_flight = 1.0


class CircuitBreaker:
    """Whether a server is ejected.

    Attributes:
        open_until: the time until which the server gets no attempts, in ms, unless all eligible servers are
            ejected.
        successes_to_close: number of successful trial attempts until the circuit breaker closes; 0 if it is
            closed. Each trip adds one.
    """

    __slots__ = ("open_until", "successes_to_close")

    def __init__(self) -> None:
        self.open_until = 0.0
        self.successes_to_close = 0


class SlowStartTurn:
    """When a server that warms up gets its next request from this node.

    Attributes:
        known_since: when this node learned of the server's start, in ms; infinite if it knows of none.
        intervals_left: remaining time, in intervals between two requests; the server is due at 0 or below.
    """

    __slots__ = ("intervals_left", "known_since")

    def __init__(self) -> None:
        self.known_since = inf
        self.intervals_left = 0.0
