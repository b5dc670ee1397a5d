"""Measures rollout analysis on emulated clusters: `python -m onyxpost.simulation.rollout_analysis.measure`.

Prints the tables of docs/rollouts-analysis.md. Measuring all of them takes about an hour on two cores.
"""

from __future__ import annotations

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

from onyxpost.rollout.analysis.decision import StageOutcome
from onyxpost.rollout.analysis.evidence import Evidence
from onyxpost.rollout.analysis.thresholds import Thresholds
from onyxpost.simulation.rollout_analysis.scenario import Scenario
from onyxpost.simulation.rollout_analysis.stage import StageResult, run_stage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_PRINTED_REASONS = 5
ROLLOUTS_PER_TASK = 5
ROLLOUT_STAGE_S = 130.0
ROLLOUT_SNAPSHOT_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class Stage:
    """A stage of a rollout: its share of the nodes, and the candidate's share of their requests.

    A stage has at least one node.
    """

    name: str
    node_share: float
    candidate_share: float

    def nodes(self, cluster_nodes: int) -> int:
        """Returns the number of nodes in the stage, for a cluster of `cluster_nodes` nodes."""
        return max(1, int(cluster_nodes * self.node_share))


ONE_NODE = Stage("one node", node_share=0.0, candidate_share=0.5)
TENTH = Stage("a tenth", node_share=1.0, candidate_share=0.1)
HALF = Stage("half", node_share=1.0, candidate_share=0.5)
ALL = Stage("all", node_share=1.0, candidate_share=1.0)
STAGES = (ONE_NODE, TENTH, HALF, ALL)

BURSTY = Scenario(40, bursty=True, cluster_size=5)
HEALTHY_SCENARIOS = {
    "even": Scenario(40),
    "bursty": BURSTY,
    "bursty, outage": replace(BURSTY, outage=True),
    "bursty, customers unlike by 5 %": replace(BURSTY, customer_bias=0.05),
}
REGRESSIONS = {
    "0.5 points": Scenario(0, added_failure_rate=0.005),
    "2 points": Scenario(0, added_failure_rate=0.02),
    "10 points": Scenario(0, added_failure_rate=0.10),
    "latency 20 %": Scenario(0, latency_factor=1.2),
}

SMALLEST_CLUSTER = 40
SEEDS_BY_CLUSTER = {SMALLEST_CLUSTER: 40, 200: 20, 1000: 6}


@dataclass(frozen=True, slots=True)
class RolloutResult:
    """Result of a rollout of a healthy candidate.

    Attributes:
        false_halt: stage and reason of a halt; empty if the rollout did not halt.
        half_advances: whether the stage `HALF` would have advanced.
    """

    false_halt: str
    half_advances: bool


def run_rollout(scenario: Scenario, seed: int) -> RolloutResult:
    """Runs the stages of a rollout whose candidate is no worse than control, up to a halt."""
    evidence = Evidence(Thresholds())
    half_advances = False
    for index, stage in enumerate(STAGES):
        baseline = evidence.as_baseline() if stage is ALL else None
        evidence = Evidence(Thresholds(), baseline)
        stage_scenario = replace(
            scenario,
            nodes=stage.nodes(scenario.nodes),
            candidate_share=stage.candidate_share,
            has_control=baseline is None,
            duration_s=ROLLOUT_STAGE_S,
            snapshot_interval_s=ROLLOUT_SNAPSHOT_INTERVAL_S,
            outage=scenario.outage and baseline is None,
        )
        result = run_stage(stage_scenario, len(STAGES) * seed + index, evidence)
        if result.decision.outcome is StageOutcome.HALT:
            return RolloutResult(f"{stage.name}: {result.decision.reason}", half_advances=False)
        if stage is HALF:
            half_advances = bool(result.advanced_at_s)
    return RolloutResult("", half_advances)


def measure_regressions(cores: int) -> None:
    """Prints how soon regressions halt a rollout, by regression, cluster size and stage."""
    with ProcessPoolExecutor(cores) as pool:
        print("| a regression of | nodes | stage | halted | requests of the candidate until then | s |")
        print("| --- | --- | --- | --- | --- | --- |", flush=True)
        for nodes, seeds in SEEDS_BY_CLUSTER.items():
            for stage in (ONE_NODE, TENTH, HALF):
                if stage is ONE_NODE and nodes > SMALLEST_CLUSTER:
                    continue  # the size of the cluster does not affect a stage of one node
                for name, scenario in REGRESSIONS.items():
                    stage_scenario = replace(
                        scenario, nodes=stage.nodes(nodes), candidate_share=stage.candidate_share
                    )
                    results = list(pool.map(partial(run_stage, stage_scenario), range(seeds)))
                    print(f"| {name} | {nodes} | {stage.name} | {_format_halts(results)} |", flush=True)


def measure_false_halts(traffic_kinds: Iterable[str], rollouts: int, cores: int) -> None:
    """Prints how often rollouts of a healthy candidate halt, by kinds of traffic in `HEALTHY_SCENARIOS`."""
    with ProcessPoolExecutor(cores) as pool:
        print("\n| traffic | rollouts | false halts | half would advance |")
        print("| --- | --- | --- | --- |", flush=True)
        for traffic in traffic_kinds:
            run = partial(run_rollout, HEALTHY_SCENARIOS[traffic])
            results = list(pool.map(run, range(rollouts), chunksize=ROLLOUTS_PER_TASK))
            false_halts = [result.false_halt for result in results if result.false_halt]
            advancing = sum(result.half_advances for result in results)
            print(f"| {traffic} | {rollouts} | {len(false_halts)} | {advancing} |", flush=True)
            for reason in false_halts[:MAX_PRINTED_REASONS]:
                print(f"    {reason}", flush=True)


def _format_halts(results: list[StageResult]) -> str:
    """Returns table cells: the share of halted stages, their candidate requests and their durations."""
    halted = [result for result in results if result.decision.outcome is StageOutcome.HALT]
    if not halted:
        return f"0/{len(results)} | - | -"
    requests = _format_spread(result.candidate_requests for result in halted)
    durations = _format_spread(result.duration_s for result in halted)
    return f"{len(halted)}/{len(results)} | {requests} | {durations}"


def _format_spread(values: Iterable[float]) -> str:
    """Returns the median and the range from the 5th to the 95th percentile, as text."""
    format_number: Callable[[float], str] = "{:,.0f}".format
    ordered = sorted(values)
    last = len(ordered) - 1
    low = ordered[int(0.05 * last)]
    high = ordered[int(0.95 * last + 0.5)]
    return f"{format_number(statistics.median(ordered))} ({format_number(low)} to {format_number(high)})"


def main() -> None:
    """Parses the command line and prints the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rollouts", type=int, default=1000)
    parser.add_argument("--cores", type=int, default=2)
    parser.add_argument(
        "--kind", choices=list(HEALTHY_SCENARIOS), help="measure only false halts, and only with this traffic"
    )
    options = parser.parse_args()
    if options.kind:
        measure_false_halts([options.kind], options.rollouts, options.cores)
        return
    measure_regressions(options.cores)
    measure_false_halts(HEALTHY_SCENARIOS, options.rollouts, options.cores)


if __name__ == "__main__":
    main()
