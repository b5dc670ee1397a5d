"""An exact count of a customer's use, to compare the nodes' decisions with."""

from __future__ import annotations

from onyxpost.core.units import MS_PER_SECOND


class ExactQuota:
    """A token bucket that counts all requests of a customer, whatever node they went through.

    It may owe as many tokens as are refilled in a second. `rate` is tokens a second, `burst` its capacity.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at_ms = 0.0

    def refill(self, now_ms: float) -> float:
        """Adds the tokens since the last refill, and returns how many there are."""
        self.tokens = min(
            self.burst, self.tokens + self.rate * (now_ms - self.refilled_at_ms) / MS_PER_SECOND
        )
        self.refilled_at_ms = now_ms
        return self.tokens

    def consume(self, now_ms: float, units: int) -> float:
        """Counts units of a request, and returns how many of them are beyond the quota."""
        beyond = min(float(units), max(0.0, units - self.refill(now_ms)))
        self.tokens = max(-self.rate, self.tokens - units)
        return beyond
