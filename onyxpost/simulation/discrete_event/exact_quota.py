"""Exact count of a customer's usage across all nodes, the reference for the nodes' decisions."""

from __future__ import annotations

from onyxpost.core.units import MS_PER_SECOND


class ExactQuota:
    """A token bucket that counts the requests of one customer at all nodes.

    The level may fall below zero by as many tokens as are refilled in a second.

    Attributes:
        rate: tokens refilled in a second.
        burst: capacity in tokens.
        tokens: current level; negative while the customer has exceeded its quota.
        refilled_at_ms: time of the last refill.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at_ms = 0.0

    def refill(self, now_ms: float) -> float:
        """Adds the tokens due since the last refill, and returns the new level."""
        self.tokens = min(
            self.burst, self.tokens + self.rate * (now_ms - self.refilled_at_ms) / MS_PER_SECOND
        )
        self.refilled_at_ms = now_ms
        return self.tokens

    def consume(self, now_ms: float, units: int) -> float:
        """Counts the units of a request, and returns how many of them exceed the quota."""
        units_beyond_quota = min(float(units), max(0.0, units - self.refill(now_ms)))
        self.tokens = max(-self.rate, self.tokens - units)
        return units_beyond_quota
