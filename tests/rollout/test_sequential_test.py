"""The sequential test is valid at every evaluation, also if failures come in clusters."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxpost.rollout.analysis.evidence import Evidence
from onyxpost.rollout.analysis.overdispersion import Overdispersion
from onyxpost.rollout.analysis.paired_counts import PairedCounts
from onyxpost.rollout.analysis.sequential_test import (
    STAKES,
    EProcess,
    non_inferiority_log_gains,
    regression_log_gains,
)
from onyxpost.rollout.analysis.thresholds import LEVEL_LIMITS, MEASURE_WEIGHTS, Measure, Thresholds
from tests.rollout.analysis_evidence import cell, halts, random_failures

if TYPE_CHECKING:
    from collections.abc import Callable


def binomial_probability(trials: int, successes: int, rate: float) -> float:
    return math.comb(trials, successes) * rate**successes * (1.0 - rate) ** (trials - successes)


@settings(max_examples=80, deadline=None, derandomize=True)
@given(
    st.integers(1, 25),
    st.integers(1, 25),
    st.floats(0.0, 0.5),
    st.floats(0.0, 0.2),
    st.integers(1, 3),
    st.booleans(),
)
def test_mean_gain_does_not_exceed_one_under_the_null_hypothesis(
    requests: int,
    control_requests: int,
    control_rate: float,
    tolerance: float,
    cluster_size: int,
    is_regression_test: bool,
) -> None:
    """The exact mean over all outcomes, with failures in clusters of the size that the test is given."""
    means = [0.0] * len(STAKES)
    candidate_rate = control_rate * 1.05 + tolerance if is_regression_test else control_rate + tolerance
    for failures in range(requests + 1):
        for control_failures in range(control_requests + 1):
            counts = PairedCounts(requests, failures, control_requests, control_failures).scaled(cluster_size)
            gains = (
                regression_log_gains(counts, tolerance, 0.05, cluster_size)
                if is_regression_test
                else non_inferiority_log_gains(counts, tolerance, cluster_size)
            )
            probability = binomial_probability(requests, failures, candidate_rate) * binomial_probability(
                control_requests, control_failures, control_rate
            )
            means = [mean + probability * math.exp(gain) for mean, gain in zip(means, gains, strict=True)]
    assert max(means) <= 1.0 + 1e-9, means


def test_releasing_the_reserve_keeps_the_value() -> None:
    test = EProcess()
    for _ in range(50):
        test.release_reserve()
    assert abs(test.log_value()) < 1e-9


def test_weights_of_measures_and_levels_sum_to_one() -> None:
    assert abs(sum(MEASURE_WEIGHTS.values()) - 1.0) < 1e-9
    assert abs(sum(limits.weight for limits in LEVEL_LIMITS.values()) - 1.0) < 1e-9


def count_false_halts(halts: Callable[[Evidence], bool], cluster_size: int = 1) -> int:
    """Counts halts in 40 stages with equal failure rates of both sides, each evaluated 40 times."""
    false_halts = 0
    for seed in range(40):
        rng = Random(seed)
        evidence = Evidence(Thresholds())
        for _ in range(40):
            failures, control_failures = (
                cluster_size * random_failures(rng, 100, 0.05 / cluster_size) for _ in range(2)
            )
            evidence.update([cell((100, failures, 100, control_failures))])
            if halts(evidence):
                false_halts += 1
                break
    return false_halts


def z_test_halts(evidence: Evidence) -> bool:
    """A z-test of fixed sample size at a level of 5 %, which is not valid if it is evaluated repeatedly."""
    counts = evidence.total_counts(Measure.FAILED_REQUESTS)
    pooled = (counts.candidate_failures + counts.control_failures) / counts.requests
    error = math.sqrt(2 * pooled * (1 - pooled) / counts.candidate_requests)
    return counts.candidate_rate - counts.control_rate > 1.645 * error


def test_evaluation_after_every_snapshot_causes_no_false_halts() -> None:
    assert count_false_halts(halts) == 0


def test_false_halts_of_a_test_of_fixed_sample_size_are_detected() -> None:
    assert count_false_halts(z_test_halts) > 4


def test_clustered_failures_cause_no_false_halts() -> None:
    assert count_false_halts(halts, cluster_size=10) == 0


@pytest.mark.parametrize(
    ("size", "regression", "low", "high"), [(1, 0.0, 1.0, 1.2), (6, 0.0, 4.0, 8.0), (1, 0.1, 1.0, 1.6)]
)
def test_cluster_size_is_estimated_and_not_inflated_by_a_regression(
    size: int, regression: float, low: float, high: float
) -> None:
    rng = Random(1)
    estimate = Overdispersion()
    for _ in range(300):
        failures = size * random_failures(rng, 100, 0.05 / size + regression)
        control_failures = size * random_failures(rng, 100, 0.05 / size)
        estimate.observe("s", PairedCounts(100, failures, 100, control_failures))
    assert low <= estimate.cluster_size(1.0) <= high
