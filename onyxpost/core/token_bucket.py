"""The arithmetic of a token bucket; what its tokens stand for and who may take them is decided elsewhere."""

from __future__ import annotations

from math import inf

from onyxpost.core.units import MS_PER_SECOND


class TokenBucket:
    """Tokens that are refilled at a constant rate up to a burst.

    A bucket may owe tokens: units that were used elsewhere are taken from it even if it does not hold them.

    Attributes:
        rate: tokens a second; 0: the bucket limits nothing.
        burst: the largest number of tokens that it holds.
        tokens: tokens that it held at `refilled_at`, in ms.
    """

    def __init__(self, refilled_at: float) -> None:
        self.rate = 0.0
        self.burst = 0.0
        self.tokens = 0.0
        self.refilled_at = refilled_at
        self._min_tokens = -inf

    def configure(self, rate: float, burst: float, max_debt_ms: float = inf) -> None:
        """Sets rate and burst; a debt of more than `max_debt_ms` of refilling is forgiven."""
        self.rate = rate
        self.burst = burst
        self._min_tokens = -inf if max_debt_ms == inf else -rate * max_debt_ms / MS_PER_SECOND

    def refill(self, now: float) -> None:
        """Adds the tokens since the last refill."""
        elapsed_seconds = (now - self.refilled_at) / MS_PER_SECOND
        self.refilled_at = now
        self.tokens = min(self.burst, max(self.tokens, self._min_tokens) + self.rate * elapsed_seconds)

    def consume(self, tokens: float) -> None:
        """Takes tokens, even more than the bucket holds; a negative number gives them back."""
        self.tokens -= tokens

    def holds(self, tokens: float) -> bool:
        """Returns whether so many tokens can be taken without a debt."""
        return not self.rate or self.tokens >= tokens

    def is_full(self) -> bool:
        """Returns whether refilling adds nothing."""
        return not self.rate or self.tokens >= self.burst

    def wait_ms(self, tokens: float) -> float:
        """Returns the time until the bucket holds so many tokens, if nothing is taken meanwhile."""
        return max(0.0, (tokens - self.tokens) / self.rate * MS_PER_SECOND) if self.rate else 0.0
