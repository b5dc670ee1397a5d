"""Sheds load by latency, after Qin and Wang, "Feedback Performance Control for Computer Systems"."""

from typing import NamedTuple

from onyxpost.core.events import RequestArrived, TimerFired
from onyxpost.core.requests import Request
from onyxpost.core.seeded_random import SeededRandom
from onyxpost.core.sink import DecisionSink
from onyxpost.core.sliding_window import SlidingWindowCounter
from onyxpost.core.types import Frontend
from onyxpost.policy.latency_model import PUBLISHED_COEFFICIENTS, LatencyModel, Period


class CompletionCounts(NamedTuple):
    """Count of the requests that were answered, in time or late."""

    completions: float = 0.0


class LatencyLoadShedder:
    """Integral control of the rejection probability (the paper's theta), gain-scheduled by the load r.

    Attributes:
        rejection_probability: the probability with which each request of the current period is rejected; set
            by `on_timer` only.
    """

    PERIOD_MS = 500.0  # time between two updates of the rejection probability
    MAX_REJECTION_PROBABILITY = 0.95
    MIN_INPUT_COEFFICIENT = 0.2  # lower bound of the divisor b of a step; near 0 a step would be unbounded
    GAIN = 0.3  # share of the gap between latency and objective that one period closes
    MAX_STEP = 0.1  # largest change of the probability in one period
    LEARNING_RATE = 0.01  # rate of the model's fit; a faster fit follows noise, as a period has few answers
    MAX_MODEL_ERROR = 1.0  # bound on the prediction error that the fit uses, as a ratio to the objective
    MAX_LOAD = 2.0  # upper bound of r, the arrivals of a period divided by the capacity
    CAPACITY_PERIODS = 20  # the capacity is the largest number of completions in one of these last periods

    def __init__(self, now: float, random: SeededRandom) -> None:
        self.rejection_probability = 0.0
        self._random = random
        self._arrivals = 0
        self._completed_requests = 0
        self._next_update_at = now + self.PERIOD_MS * (1.0 + random.next())  # nodes update at different times
        self._completions = SlidingWindowCounter(self.PERIOD_MS, self.CAPACITY_PERIODS, CompletionCounts)
        self._latency_ratios: dict[Frontend, list[float]] = {}
        self._model = LatencyModel(PUBLISHED_COEFFICIENTS, self.LEARNING_RATE, self.MAX_MODEL_ERROR)

    @property
    def is_shedding(self) -> bool:
        """Whether the rejection probability is above 0."""
        return self.rejection_probability > 0.0

    def on_request_arrived(self, _now: float, _event: RequestArrived, _sink: DecisionSink) -> None:
        """Counts an arrival, from which the load intensity r is computed."""
        self._arrivals += 1

    def should_shed(self) -> bool:
        """Returns whether to reject a request; draws a random number only while load is shed."""
        return self.is_shedding and self._random.next() < self.rejection_probability

    def record_completion(self, request: Request, now: float) -> None:
        """Counts an answered request with its latency since admission."""
        self._completed_requests += 1
        self._record_latency(request.frontend, now - request.admitted_at)

    def record_unanswered(self, request: Request, since: float) -> None:
        """Counts a request as answered at its deadline; leaving it out would hide an overload.

        The latency counts from `since`: the admission of a request for which no server was found, or the
        arrival of one that got no final answer.
        """
        self._record_latency(request.frontend, request.deadline - since)

    def _record_latency(self, frontend: Frontend, latency_ms: float) -> None:
        """Records a latency as a ratio to the frontend's latency objective."""
        self._latency_ratios.setdefault(frontend, []).append(latency_ms / frontend.latency_objective_ms)

    def on_timer(self, now: float, _event: TimerFired, sink: DecisionSink) -> None:
        """Updates the rejection probability at the end of each period.

        The probability stays the same after a period in which no request was answered or counted as
        unanswered.
        """
        if now < self._next_update_at:
            return
        self._next_update_at += self.PERIOD_MS
        self._completions.add(now, CompletionCounts(self._completed_requests))
        capacity = max(interval.completions for interval in self._completions.intervals())
        load = min(self.MAX_LOAD, self._arrivals / capacity) if capacity else 0.0
        self._arrivals = 0
        self._completed_requests = 0
        was_shedding = self.is_shedding
        self._update(load)
        if was_shedding != self.is_shedding:
            mode = "stopped" if was_shedding else "started"
            sink.log(f"shedding {mode}: theta={self.rejection_probability:.2f} r={load:.2f}")

    def _update(self, load: float) -> None:
        if not self._latency_ratios:
            self._model.forget()
            return
        ratio = max(sum(ratios) / len(ratios) for ratios in self._latency_ratios.values())
        self._latency_ratios = {}
        self._model.observe(Period(ratio, load, self.rejection_probability))
        coefficient = max(self.MIN_INPUT_COEFFICIENT, self._model.input_coefficient(load))
        step = min(self.MAX_STEP, max(-self.MAX_STEP, self.GAIN * (ratio - 1.0) / coefficient))
        probability = max(0.0, self.rejection_probability + step)
        self.rejection_probability = min(self.MAX_REJECTION_PROBABILITY, probability)
