"""Token bucket whose tokens are leased to forwarders, which spend or return them later."""

from __future__ import annotations

from typing import NamedTuple

from onyxpost.core.units import MS_PER_SECOND


class BucketSize(NamedTuple):
    """Size of a token bucket: rate in tokens per second, burst in tokens."""

    rate: float
    burst: float


EMPTY_BUCKET = BucketSize(0.0, 0.0)


class LeasedTokenBucket:
    """Token bucket of one rate limit of one customer. It starts empty; times are in milliseconds.

    Invariant: `available + leased <= burst`, and only the refill at `rate` adds to `available`. Leased tokens
    take up space in the bucket, so all lease holders together spend at most `burst + rate * t` leased tokens
    in any interval of length t.
    """

    def __init__(self, size: BucketSize, granting_starts_at_ms: float) -> None:
        self.rate = size.rate
        self.burst = size.burst
        self.available = 0.0
        self.leased = 0.0
        self.refilled_at_ms = granting_starts_at_ms

    def refill(self, now_ms: float) -> None:
        """Adds the tokens for the time since the last refill, up to the burst minus the leased tokens."""
        if now_ms > self.refilled_at_ms:
            capacity = max(0.0, self.burst - self.leased)
            added = self.rate * (now_ms - self.refilled_at_ms) / MS_PER_SECOND
            self.available = min(capacity, self.available + added)
            self.refilled_at_ms = now_ms

    def lease(self, units: float) -> None:
        """Moves available tokens into a lease. The caller checks that there are enough."""
        self.available -= units
        self.leased += units

    def recover_lease(self, units: float) -> None:
        """Counts tokens as leased without taking them from the available ones."""
        self.leased += units

    def release(self, now_ms: float, units: float, unused: float) -> None:
        """Ends the lease of `units` tokens; `unused` of them become available again, the others are spent."""
        # Refills first: the time before now must not refill the space that these tokens occupied until now.
        self.refill(now_ms)
        self.leased -= units
        self.available = min(max(0.0, self.burst - self.leased), self.available + unused)

    def resize(self, now_ms: float, size: BucketSize) -> None:
        """Changes rate and burst; available tokens above the new burst are dropped."""
        self.refill(now_ms)
        self.rate = size.rate
        self.burst = size.burst
        self.available = min(self.available, max(0.0, size.burst - self.leased))
