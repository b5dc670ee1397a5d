"""Times of the simulator's protocol, which are microseconds, and of the decision code, in milliseconds."""

from __future__ import annotations

from onyxpost.core.units import US_PER_MS


def to_millis(microseconds: float) -> float:
    """Returns milliseconds, with fractions."""
    return microseconds / US_PER_MS


def to_micros(milliseconds: float) -> int:
    """Returns whole microseconds."""
    return round(milliseconds * US_PER_MS)
