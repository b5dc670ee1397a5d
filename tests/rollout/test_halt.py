"""A stage halts if any group of requests has a regression, and not otherwise."""

from __future__ import annotations

import pytest

from onyxpost.rollout.analysis.decision import StageOutcome
from onyxpost.rollout.analysis.evidence import Evidence
from onyxpost.rollout.analysis.thresholds import LEVEL_LIMITS, Measure, Thresholds
from onyxpost.simulation.rollout_analysis.scenario import Scenario
from onyxpost.simulation.rollout_analysis.stage import run_stage
from tests.rollout.analysis_evidence import HEALTHY_CELL, cell, decided, evidence_of, outcome_of


def test_a_regression_that_is_reversed_in_the_sum_is_found_in_its_plan() -> None:
    """Guards against Simpson's paradox, by which a regression in each plan is hidden in the sum.

    The plan that fails more often has few of the candidate's requests and most of control's.
    """
    evidence = evidence_of([cell((50, 6, 450, 27), plan="gold"), cell((450, 5, 50, 1), plan="basic")], 40)
    overall = evidence.total_counts(Measure.FAILED_REQUESTS)
    halt = decided(evidence)
    assert overall.candidate_rate < overall.control_rate
    assert halt.outcome is StageOutcome.HALT
    assert "12.00 % of 2000 requests, control 6.00 % of 18000" in halt.reason


def test_a_regression_that_is_hidden_in_the_sum_is_found_in_its_zone() -> None:
    evidence = evidence_of([cell((250, 15, 250, 5), zone="north"), cell((250, 5, 250, 15), zone="south")], 30)
    halt = decided(evidence)
    assert halt.outcome is StageOutcome.HALT
    assert "north" in halt.reason


def test_a_regression_of_latency_alone_halts() -> None:
    evidence = evidence_of([HEALTHY_CELL], 2)
    for _ in range(20):
        evidence.update([cell((400, 2, 400, 2)), cell((100, 0, 100, 0), candidate_ms=223)])
    assert "slow requests, " in decided(evidence).reason


def test_a_regression_that_begins_late_is_found_within_a_few_snapshots() -> None:
    evidence = Evidence(Thresholds())
    for minute in range(30):
        for _ in range(6):
            evidence.update([cell((500, 3, 500, 3))])
        evidence.on_period_end()
        assert outcome_of(evidence) is not StageOutcome.HALT, minute
    for _ in range(12):
        evidence.update([cell((500, 15, 500, 3))])
    assert outcome_of(evidence) is StageOutcome.HALT


def test_groups_do_not_exceed_their_limits_and_the_overflow_is_tested_too() -> None:
    evidence = evidence_of([cell((90, 1, 90, 1), plan=f"p{i % 2}", zone=f"h{i // 2}") for i in range(600)])
    for level, limits in LEVEL_LIMITS.items():
        groups = {test.group for test in evidence.regression_tests if test.group.level is level}
        assert len(groups) <= limits.max_groups
    evidence.update([cell((500, 20, 500, 2), zone=f"h{zone}") for zone in range(400, 430)])
    assert outcome_of(evidence) is StageOutcome.HALT


def test_the_failure_rate_limit_halts_at_any_time() -> None:
    evidence = evidence_of([cell((600, 200, 600, 30))])
    assert "at or above the limit" in decided(evidence, duration_ms=0.0).reason


def test_the_failure_rate_limit_holds_if_control_is_near_it() -> None:
    assert outcome_of(evidence_of([cell((600, 200, 600, 130))])) is StageOutcome.HOLD


@pytest.mark.parametrize(("failures", "expected"), [(6, StageOutcome.ADVANCE), (15, StageOutcome.HALT)])
def test_the_last_stage_is_tested_against_control_of_the_stage_before(
    failures: int, expected: StageOutcome
) -> None:
    baseline = evidence_of([cell((50_000, 500, 50_000, 500))], 60).as_baseline()
    evidence = Evidence(Thresholds(), baseline)
    for _ in range(200):
        evidence.update([cell((1000, 2 * failures, 0, 0))])
    assert outcome_of(evidence) is expected, decided(evidence)


def test_a_plan_first_seen_in_the_last_stage_is_tested_against_all_requests_before() -> None:
    baseline = evidence_of([cell((500, 5, 500, 5))], 60).as_baseline()
    evidence = Evidence(Thresholds(), baseline)
    for _ in range(30):
        evidence.update([cell((1000, 60, 0, 0), plan="late")])
    assert outcome_of(evidence) is StageOutcome.HALT


# Short emulations follow; `onyxpost.simulation.rollout_analysis.measure` runs them at full length.


@pytest.mark.parametrize("seed", range(5))
def test_an_emulated_cluster_without_a_regression_does_not_halt(seed: int) -> None:
    healthy = Scenario(20, duration_s=60.0, bursty=True, cluster_size=5, outage=True)
    assert run_stage(healthy, seed).decision.outcome is not StageOutcome.HALT


@pytest.mark.parametrize(
    "scenario",
    [
        Scenario(20, added_failure_rate=0.02, duration_s=120.0),
        Scenario(20, latency_factor=1.2, duration_s=120.0),
        Scenario(20, added_failure_rate=0.05, affected="gold", duration_s=120.0),
    ],
)
def test_an_emulated_regression_halts(scenario: Scenario) -> None:
    assert run_stage(scenario, 1).decision.outcome is StageOutcome.HALT
