"""Builds cells of counters, and the evidence of a stage and decisions on the stage from these cells."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.rollout.analysis.decision import Decision, StageOutcome, decide
from onyxpost.rollout.analysis.evidence import Evidence
from onyxpost.rollout.analysis.thresholds import Thresholds
from onyxpost.rollout.metrics.aggregation import CounterIncrement, NodeActivity, Stratum
from onyxpost.rollout.metrics.protocol import RequestCounters

if TYPE_CHECKING:
    from random import Random

ALL_ACTIVE = NodeActivity(active=10, stalled=0, silent=0)
LONG_ENOUGH_MS = 200_000.0


def cell(
    counts: tuple[int, int, int, int],
    *,
    plan: str = "gold",
    zone: str = "north",
    candidate_ms: int = 103,
    control_ms: int = 103,
) -> CounterIncrement:
    """A cell; `counts` are requests and aborted requests of the candidate, then those of control."""
    requests, failures, control_requests, control_failures = counts
    sides = [
        RequestCounters(
            requests=total,
            succeeded=total - aborted,
            aborted=aborted,
            latencies={latency_ms: total - aborted},
        )
        for total, aborted, latency_ms in (
            (requests, failures, candidate_ms),
            (control_requests, control_failures, control_ms),
        )
    ]
    return CounterIncrement("n1", Stratum("web", plan, zone), *sides)


HEALTHY_CELL = cell((500, 2, 500, 2))


def decided(
    evidence: Evidence, activity: NodeActivity = ALL_ACTIVE, duration_ms: float = LONG_ENOUGH_MS
) -> Decision:
    return decide(evidence, activity, duration_ms)


def outcome_of(evidence: Evidence) -> StageOutcome:
    return decided(evidence).outcome


def evidence_of(cells: list[CounterIncrement], repetitions: int = 1) -> Evidence:
    evidence = Evidence(Thresholds())
    for _ in range(repetitions):
        evidence.update(cells)
    return evidence


def halts(evidence: Evidence) -> bool:
    return outcome_of(evidence) is StageOutcome.HALT


def random_failures(rng: Random, requests: int, rate: float) -> int:
    return sum(rng.random() < rate for _ in range(requests))
