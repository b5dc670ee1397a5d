"""Runs one stage of an emulated rollout."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.rollout.analysis.decision import Decision, StageOutcome, decide
from onyxpost.rollout.analysis.evidence import Evidence
from onyxpost.rollout.analysis.thresholds import Thresholds
from onyxpost.rollout.metrics.aggregation import NodeActivity
from onyxpost.simulation.rollout_analysis.cluster import EmulatedCluster

if TYPE_CHECKING:
    from onyxpost.simulation.rollout_analysis.scenario import Scenario

PERIOD_S = 60.0
"""Interval between calls of `Evidence.on_period_end`."""


@dataclass(frozen=True, slots=True)
class StageResult:
    """The last decision of a stage, with the counters up to it.

    Attributes:
        decision: the decision to halt, or the last decision of a stage that did not halt.
        duration_s: time from the start of the stage to the decision.
        candidate_requests: requests that the candidate served up to the decision.
        candidate_failures: number of these requests that failed.
        advanced_at_s: time of the first decision to advance; 0 if there was none.
    """

    decision: Decision
    duration_s: float
    candidate_requests: int
    candidate_failures: int
    advanced_at_s: float


def run_stage(scenario: Scenario, seed: int, evidence: Evidence | None = None) -> StageResult:
    """Runs a stage until it halts or its duration is over; a decision to advance does not end it.

    Continuing after a decision to advance gives the analysis more opportunities for a false halt.
    """
    cluster = EmulatedCluster(scenario, seed)
    evidence = evidence or Evidence(Thresholds())
    activity = NodeActivity(active=scenario.nodes, stalled=0, silent=0)
    decision = Decision(StageOutcome.HOLD, "")
    requests = 0
    failures = 0
    advanced_at_s = 0.0
    while cluster.time_s < scenario.duration_s and decision.outcome is not StageOutcome.HALT:
        increments = cluster.next_increments()
        evidence.update(increments)
        requests += sum(increment.candidate.requests for increment in increments)
        failures += sum(increment.candidate.aborted for increment in increments)
        if cluster.time_s % PERIOD_S < scenario.snapshot_interval_s:
            evidence.on_period_end()
        decision = decide(evidence, activity, cluster.time_s * MS_PER_SECOND)
        if decision.outcome is StageOutcome.ADVANCE and not advanced_at_s:
            advanced_at_s = cluster.time_s
    return StageResult(decision, cluster.time_s, requests, failures, advanced_at_s)
