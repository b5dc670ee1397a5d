"""The arithmetic of a token bucket."""

from __future__ import annotations

from math import inf

from onyxpost.core.units import MS_PER_SECOND


class TokenBucket:
    """A token bucket, refilled at a constant rate up to a burst.

    The number of tokens may be negative (a debt): units that were used at other nodes are taken from the
    bucket even if it does not hold them.

    Attributes:
        rate: tokens a second; 0 if the bucket limits nothing.
        burst: the largest number of tokens that the bucket can hold.
        tokens: the number of tokens at `refilled_at`, less those taken since.
        refilled_at: when the bucket was last refilled, in ms.
    """

    def __init__(self, refilled_at: float) -> None:
        self.rate = 0.0
        self.burst = 0.0
        self.tokens = 0.0
        self.refilled_at = refilled_at
        self._min_tokens = -inf

    def configure(self, rate: float, burst: float, max_debt_ms: float = inf) -> None:
        """Sets rate and burst; refilling cancels any debt beyond what `max_debt_ms` refills."""
        self.rate = rate
        self.burst = burst
        self._min_tokens = -inf if max_debt_ms == inf else -rate * max_debt_ms / MS_PER_SECOND

    def refill(self, now: float) -> None:
        """Adds the tokens for the time since the last refill."""
        elapsed_seconds = (now - self.refilled_at) / MS_PER_SECOND
        self.refilled_at = now
        self.tokens = min(self.burst, max(self.tokens, self._min_tokens) + self.rate * elapsed_seconds)

    def consume(self, tokens: float) -> None:
        """Takes tokens, even more than the bucket holds; a negative number returns tokens."""
        self.tokens -= tokens

    def holds(self, tokens: float) -> bool:
        """Returns whether this number of tokens can be taken without a debt."""
        return not self.rate or self.tokens >= tokens

    def is_full(self) -> bool:
        """Returns whether the bucket holds its burst or limits nothing."""
        return not self.rate or self.tokens >= self.burst

    def wait_ms(self, tokens: float) -> float:
        """Returns the time until the bucket holds this number of tokens, if none are taken meanwhile."""
        return max(0.0, (tokens - self.tokens) / self.rate * MS_PER_SECOND) if self.rate else 0.0
