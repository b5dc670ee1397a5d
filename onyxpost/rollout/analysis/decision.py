"""Decides whether a stage halts, advances or holds. No I/O.

A stage holds as long as the evidence is insufficient for another outcome.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from onyxpost.rollout.analysis.thresholds import Measure

if TYPE_CHECKING:
    from onyxpost.rollout.analysis.evidence import Evidence
    from onyxpost.rollout.analysis.paired_counts import PairedCounts
    from onyxpost.rollout.metrics.aggregation import NodeActivity

SUSPICION_FACTOR = 10.0
"""A stage holds once its e-value exceeds the halt threshold divided by this factor."""

MAX_PRINTED_LOG_E_VALUE = 60.0
"""Limit on the logarithm of a printed e-value; the exponential of a very large one would overflow."""


class StageOutcome(StrEnum):
    """The outcome of a stage: the rollout halts, advances to the next stage, or holds at this stage."""

    HALT = "halt"
    ADVANCE = "advance"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class Decision:
    """An outcome, and the reason in one line with figures, for the record and the log."""

    outcome: StageOutcome
    reason: str


def decide(evidence: Evidence, activity: NodeActivity, stage_duration_ms: float) -> Decision:
    """Returns the decision on a stage.

    The probabilities of a false halt by e-values and of a false advance do not exceed their limits, however
    often this is called.

    Args:
        evidence: the evidence of the stage so far.
        activity: the activity of the nodes in the stage.
        stage_duration_ms: the time since the stage began.
    """
    if reason := _halt_reason(evidence):
        return Decision(StageOutcome.HALT, reason)
    if reason := _hold_reason(evidence, activity, stage_duration_ms):
        return Decision(StageOutcome.HOLD, reason)
    failures = evidence.total_counts(Measure.FAILED_REQUESTS)
    return Decision(StageOutcome.ADVANCE, f"{Measure.FAILED_REQUESTS}: {_format_rates(failures)}")


def log_halt_threshold(evidence: Evidence) -> float:
    """Returns the logarithm of the e-value at which a stage halts."""
    thresholds = evidence.thresholds
    return math.log(thresholds.stages / thresholds.max_false_halt_probability)


def _format_rates(counts: PairedCounts) -> str:
    control = f"control {100 * counts.control_rate:.2f} % of {counts.control_requests:.0f}"
    return f"{_format_candidate_rate(counts)}, {control}"


def _format_candidate_rate(counts: PairedCounts) -> str:
    return f"{100 * counts.candidate_rate:.2f} % of {counts.candidate_requests:.0f} requests"


def _halt_reason(evidence: Evidence) -> str | None:
    limit_reason = _failure_rate_limit_reason(evidence)
    if limit_reason is not None:
        return limit_reason
    if not evidence.regression_tests or evidence.log_e_value() < log_halt_threshold(evidence):
        return None
    group_name, measure = evidence.strongest_regression()
    counts = evidence.total_counts(measure, group_name)
    e_value = math.exp(min(evidence.log_e_value(), MAX_PRINTED_LOG_E_VALUE))
    rates = _format_rates(counts)
    if evidence.baseline is not None:
        max_rate = evidence.baseline.max_failure_rate(group_name, measure)
        rates = f"{_format_candidate_rate(counts)}, baseline at most {100 * max_rate:.2f} %"
    return (
        f"{measure}, {group_name}: {rates}; "
        f"e-value {e_value:.3g}, halts at {math.exp(log_halt_threshold(evidence)):.3g}"
    )


def _failure_rate_limit_reason(evidence: Evidence) -> str | None:
    limit = evidence.thresholds.failure_rate_limit
    recent = evidence.recent_failures
    smaller_request_count = min(recent.candidate_requests, recent.control_requests)
    if smaller_request_count < evidence.thresholds.failure_rate_limit_min_requests:
        return None
    if recent.candidate_rate < limit or recent.control_rate >= limit / 2:
        return None
    return f"{Measure.FAILED_REQUESTS} at or above the limit of {100 * limit:.0f} %: {_format_rates(recent)}"


def _hold_reason(evidence: Evidence, activity: NodeActivity, stage_duration_ms: float) -> str | None:
    thresholds = evidence.thresholds
    if stage_duration_ms < thresholds.min_duration_ms:
        return (
            f"the stage has lasted {stage_duration_ms / 1000:.0f} s, "
            f"expected at least {thresholds.min_duration_ms / 1000:.0f} s"
        )
    if not activity.active or activity.active < thresholds.min_active_fraction * activity.expected:
        inactive = f"{activity.stalled} stalled, {activity.silent} silent"
        return f"only {activity.active} of {activity.expected} nodes are active ({inactive})"
    requests = _requests_per_side(evidence)
    if requests < thresholds.min_requests:
        return f"one side has only {requests:.0f} requests, expected at least {thresholds.min_requests}"
    if _has_outage(evidence):
        return (
            f"an outage: recent failure rates are {_format_rates(evidence.recent_failures)}, "
            f"limit {100 * thresholds.outage_failure_rate:g} %; "
            f"{evidence.recent_outage_requests:.0f} recent requests in cells with an outage, "
            f"limit {100 * thresholds.max_outage_fraction:g} % of {evidence.recent_failures.requests:.0f}"
        )
    if evidence.regression_tests:
        log_e_value = evidence.log_e_value()
        if log_e_value > log_halt_threshold(evidence) - math.log(SUSPICION_FACTOR):
            return (
                f"a regression is suspected: e-value {math.exp(log_e_value):.3g}, "
                f"halts at {math.exp(log_halt_threshold(evidence)):.3g}"
            )
    return _inferiority_reason(evidence)


def _requests_per_side(evidence: Evidence) -> float:
    counts = evidence.total_counts(Measure.FAILED_REQUESTS)
    if evidence.baseline is not None:
        return counts.candidate_requests
    return min(counts.candidate_requests, counts.control_requests)


def _has_outage(evidence: Evidence) -> bool:
    thresholds = evidence.thresholds
    recent = evidence.recent_failures
    if max(recent.candidate_rate, recent.control_rate) >= thresholds.outage_failure_rate:
        return True
    return evidence.recent_outage_requests > thresholds.max_outage_fraction * recent.requests


def _inferiority_reason(evidence: Evidence) -> str | None:
    """Returns the reason to hold if the candidate may still be worse by a measure's margin, else None.

    The reason names the first such measure. The last stage has no control and is not tested for
    non-inferiority.
    """
    if evidence.baseline is not None:
        return None
    required_log_value = -math.log(evidence.thresholds.max_false_advance_probability)
    for measure, margin in evidence.thresholds.non_inferiority_margins.items():
        test = evidence.non_inferiority_tests.get(measure)
        if test is None or test.log_value() < required_log_value:
            counts = evidence.total_counts(measure)
            return (
                f"{measure} may still be {100 * margin:.1f} percentage points worse than control: "
                f"{_format_rates(counts)}"
            )
    return None
