"""Checks customers' hard limits over all nodes together. Times are in ms, rates in units per second."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.invariants.records import Invariant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from onyxpost.core.types import Plan
    from onyxpost.simulation.invariants.records import AttemptRecord, RequestRecord, Violation


class HardLimitBucket:
    """A token bucket with the units that all nodes may still send for one customer; may fall below zero."""

    def __init__(self, now_ms: float, rate: float, burst: float, tolerance: float) -> None:
        self.updated_at_ms = now_ms
        self.rate = rate
        self.burst = burst
        self.tolerance = tolerance
        self.level = burst
        self.lowest = burst

    def consume(self, now_ms: float, units: float) -> bool:
        """Removes units from the bucket. Returns whether the limit is kept within its tolerance."""
        refill = self.rate * (now_ms - self.updated_at_ms) / MS_PER_SECOND
        self.level = min(self.burst, self.level + refill) - units
        self.updated_at_ms = now_ms
        self.lowest = min(self.lowest, self.level)
        return self.level >= -self.tolerance


class HardLimitChecker:
    """Counts the units of first attempts, with a bucket for each customer whose plan has a hard limit."""

    def __init__(self, plans: Iterable[Plan], tolerance_fraction: float, max_request_units: int) -> None:
        self._plans = {plan.name: plan for plan in plans}
        self.tolerance_fraction = tolerance_fraction
        self.max_request_units = max_request_units
        self._buckets: dict[str, HardLimitBucket] = {}

    def violation_of(self, request: RequestRecord, attempt: AttemptRecord) -> Violation | None:
        """Counts the first attempt of a request. Returns a violation if it exceeds the hard limit."""
        if request.attempts or not attempt.plan:
            return None
        plan = self._plans[attempt.plan]
        if not plan.hard_limit_rate:
            return None
        bucket = self._buckets.get(request.customer)
        if bucket is None:
            bucket = self._new_bucket(plan, attempt.sent_at_ms)
            self._buckets[request.customer] = bucket
        if bucket.consume(attempt.sent_at_ms, request.units):
            return None
        description = f"customer {request.customer} is {-bucket.level:.1f} units past its hard limit"
        return attempt.violation(Invariant.HARD_LIMITS, description)

    def _new_bucket(self, plan: Plan, at_ms: float) -> HardLimitBucket:
        tolerance = max(self.tolerance_fraction * plan.hard_limit_burst, self.max_request_units)
        return HardLimitBucket(at_ms, plan.hard_limit_rate, plan.hard_limit_burst, tolerance)
