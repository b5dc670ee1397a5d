"""Digests of the decisions on simulated rollouts."""

from __future__ import annotations

from typing import Any

from onyxpost.rollout.analysis.decision import StageOutcome
from onyxpost.simulation.rollout_analysis.cluster import EmulatedCluster
from onyxpost.simulation.rollout_analysis.scenario import Scenario
from onyxpost.simulation.rollout_analysis.stage import run_stage
from tests.compatibility.event_digest import EventDigest, Record, wrapped

ROLLOUT_SEEDS = (1, 2, 3)


def rollout_scenarios() -> dict[str, Scenario]:
    """Returns clusters with even traffic, bursty traffic, an outage, and regressions, by case."""
    return {
        "even": Scenario(8, duration_s=180.0),
        "bursty": Scenario(8, duration_s=180.0, bursty=True, cluster_size=5),
        "outage": Scenario(8, duration_s=180.0, bursty=True, cluster_size=5, outage=True),
        "2 points worse": Scenario(8, duration_s=180.0, added_failure_rate=0.02),
        "20 % slower": Scenario(8, duration_s=180.0, latency_factor=1.2),
    }


def rollout_record(name: str, seed: int) -> Record:
    """Returns the decision on one simulated stage, and a digest of the counters on which it is based."""
    scenario = rollout_scenarios()[name]
    digest = EventDigest()
    outcomes = {StageOutcome.HALT: "halt", StageOutcome.ADVANCE: "advance", StageOutcome.HOLD: "hold"}

    def observed(original: Any, cluster: EmulatedCluster) -> Any:
        increments = original(cluster)
        for item in increments:
            stratum = item.stratum
            digest.add(cluster.time_s, item.node, stratum.frontend, stratum.plan, stratum.zone)
            for counters in (item.candidate, item.control):
                digest.add(counters.requests, counters.succeeded, counters.aborted)
                digest.add(*(value for pair in sorted(counters.latencies.items()) for value in pair))
        return increments

    with wrapped(EmulatedCluster, "next_increments", observed):
        result = run_stage(scenario, seed)
    return {
        "sha256": digest.hexdigest(),
        "events": digest.events,
        "verdict": outcomes[result.decision.outcome],
        "seconds": result.duration_s,
        "requests": result.candidate_requests,
        "failed requests": result.candidate_failures,
        "advanced at": result.advanced_at_s,
    }


def rollout_runs() -> list[tuple[str, int]]:
    """Returns scenario and seed of each recorded rollout."""
    return [(name, seed) for name in rollout_scenarios() for seed in ROLLOUT_SEEDS]
