"""A stage advances only after enough requests, time and active nodes, once a regression is excluded."""

from __future__ import annotations

from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxpost.rollout.analysis import decision
from onyxpost.rollout.analysis.decision import StageOutcome as Outcome
from onyxpost.rollout.metrics.aggregation import NodeActivity
from tests.rollout.analysis_evidence import (
    HEALTHY_CELL,
    LONG_ENOUGH_MS,
    cell,
    decided,
    evidence_of,
    outcome_of,
)


def check_holds_without_exposure(activity: NodeActivity, duration_ms: float, times: int) -> None:
    """Checks that a stage holds without enough exposure: requests, time and active nodes."""
    evidence = evidence_of([HEALTHY_CELL], times)
    is_exposed = times * 500 >= 2000 and duration_ms >= 120_000.0 and activity.active >= 8
    assert is_exposed or decided(evidence, activity, duration_ms).outcome is Outcome.HOLD


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.integers(0, 10), st.integers(0, 10), st.floats(0.0, 3e5), st.integers(0, 40))
def test_holds_without_exposure(active: int, stalled: int, duration_ms: float, times: int) -> None:
    stalled = min(stalled, 10 - active)
    check_holds_without_exposure(NodeActivity(active, stalled, 10 - active - stalled), duration_ms, times)


def test_an_advance_without_enough_requests_time_and_active_nodes_is_detected() -> None:
    with mock.patch.object(decision, "_hold_reason", return_value=None), pytest.raises(AssertionError):
        check_holds_without_exposure(NodeActivity(active=2, stalled=8, silent=0), LONG_ENOUGH_MS, 10)


def test_advances_once_a_regression_of_the_margin_is_excluded() -> None:
    assert outcome_of(evidence_of([HEALTHY_CELL], 4)) is Outcome.HOLD
    assert outcome_of(evidence_of([HEALTHY_CELL], 60)) is Outcome.ADVANCE


def test_holds_during_an_outage_of_both_sides() -> None:
    evidence = evidence_of([HEALTHY_CELL], 60)
    for _ in range(40):
        evidence.update([cell((500, 330, 500, 270))])
    assert outcome_of(evidence) is Outcome.HOLD


def test_holds_during_an_outage_in_a_few_cells() -> None:
    evidence = evidence_of([HEALTHY_CELL] * 9 + [cell((500, 300, 500, 300))], 40)
    assert "an outage" in decided(evidence).reason


def test_a_suspected_regression_holds_before_it_halts() -> None:
    evidence = evidence_of([cell((5000, 5, 5000, 5))], 10)
    reasons = []
    while outcome_of(evidence) is not Outcome.HALT:
        evidence.update([cell((50, 3, 50, 0), plan="rare"), cell((5000, 5, 5000, 5))])
        reasons.append(decided(evidence).reason)
    assert "is suspected" in reasons[-2], reasons
