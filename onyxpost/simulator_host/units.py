"""Converts times between the simulator's protocol (microseconds) and the decision code (milliseconds)."""

from __future__ import annotations

from onyxpost.core.units import US_PER_MS


def to_millis(microseconds: float) -> float:
    """Converts to milliseconds without rounding."""
    return microseconds / US_PER_MS


def to_micros(milliseconds: float) -> int:
    """Converts to microseconds, rounded to an integer."""
    return round(milliseconds * US_PER_MS)
