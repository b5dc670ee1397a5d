"""The exact count of a customer's usage, including units beyond the quota."""

from __future__ import annotations

from onyxpost.simulation.discrete_event.exact_quota import ExactQuota


def test_consume_returns_the_units_beyond_the_quota() -> None:
    quota = ExactQuota(2.0, 4.0)
    assert quota.consume(0.0, 3) == 0.0
    assert quota.consume(0.0, 3) == 2.0
    assert quota.consume(1000.0, 3) == 3.0
