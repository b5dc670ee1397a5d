"""Token bucket whose tokens are leased to forwarders instead of being spent at once."""

from __future__ import annotations

from typing import NamedTuple

from onyxpost.core.units import MS_PER_SECOND


class BucketSize(NamedTuple):
    """Rate in tokens a second, and burst in tokens."""

    rate: float
    burst: float


EMPTY_BUCKET = BucketSize(0.0, 0.0)


class LeasedTokenBucket:
    """One rate limit of one customer. Starts empty; times are in milliseconds.

    Invariant: `available + leased <= burst`, and `available` grows by `rate` alone. Tokens that are leased
    out leave no space to refill, so all lease holders together use at most `burst + rate * t` in any time t.
    """

    def __init__(self, size: BucketSize, opens_at_ms: float) -> None:
        self.rate = size.rate
        self.burst = size.burst
        self.available = 0.0
        self.leased = 0.0
        self.refilled_at_ms = opens_at_ms

    def refill(self, now_ms: float) -> None:
        """Adds the tokens of the time since the last refill."""
        if now_ms > self.refilled_at_ms:
            capacity = max(0.0, self.burst - self.leased)
            added = self.rate * (now_ms - self.refilled_at_ms) / MS_PER_SECOND
            self.available = min(capacity, self.available + added)
            self.refilled_at_ms = now_ms

    def lease(self, units: float) -> None:
        """Moves available tokens into a lease."""
        self.available -= units
        self.leased += units

    def recover_lease(self, units: float) -> None:
        """Counts tokens as leased that an earlier bucket of this limit leased out."""
        self.leased += units

    def settle(self, now_ms: float, units: float, unused: float) -> None:
        """Ends the lease of `units` tokens, of which `unused` were not spent and become available again."""
        # Refilled first: the time before now must not refill the space that these tokens give up only now.
        self.refill(now_ms)
        self.leased -= units
        self.available = min(max(0.0, self.burst - self.leased), self.available + unused)

    def resize(self, now_ms: float, size: BucketSize) -> None:
        """Changes rate and burst; tokens above the new burst are dropped."""
        self.refill(now_ms)
        self.rate = size.rate
        self.burst = size.burst
        self.available = min(self.available, max(0.0, size.burst - self.leased))
