"""Measures servers in slow start: `python -m onyxpost.simulation.slow_start.measure [--help]`.

Prints the rows of docs/results.md. On two cores, a thousand server starts take two minutes with 30 nodes and
ten minutes with 200 nodes.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from typing import TYPE_CHECKING, Any, NamedTuple

from onyxpost.core.types import SlowStartPolicy
from onyxpost.simulation.slow_start.case import SlowStartCase
from onyxpost.simulation.slow_start.emulation import REPLACEMENTS, EmulationResult, SlowStartEmulation

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

# A server counts as overloaded at 1.2 times its capacity. No operator uses such settings yet.
STRICT_POLICY = SlowStartPolicy(0.2, 10_000.0, 1.2, 1500.0)
SITUATIONS: dict[str, dict[str, Any]] = {
    "calm": {},
    "half restart, half alive": {"restarted_fraction": 0.5, "running_fraction": 0.5},
    "tight, half restart": {"restarted_fraction": 0.5, "policy": STRICT_POLICY},
    "tight, all killed at once": {
        "restarted_fraction": 1.0,
        "restart_window_ms": 1000.0,
        "policy": STRICT_POLICY,
    },
}
NODE_COUNTS = [3, 20, 30, 200]
LARGE_CLUSTER_NODES = 100  # larger clusters have `LARGE_CLUSTER_SERVERS` servers
SERVERS = 20
LARGE_CLUSTER_SERVERS = 40
HIGH_QUANTILE = 0.999
HEADER = (
    "| emulated | starts | falls | past 2 | median ratio | 99.9th | served in time |\n" + "| --- " * 7 + "|"
)


class Job(NamedTuple):
    """The parameters of one emulation, which a worker process runs."""

    case: SlowStartCase
    seed: int


def named_cases(node_counts: Sequence[int]) -> Iterator[tuple[str, SlowStartCase]]:
    """Yields a case and its name in the table, for each number of nodes and each situation."""
    for nodes in node_counts:
        servers = LARGE_CLUSTER_SERVERS if nodes > LARGE_CLUSTER_NODES else SERVERS
        for name, changes in SITUATIONS.items():
            yield f"{nodes} nodes, {name}", replace(SlowStartCase(nodes, servers=servers), **changes)


def run_job(job: Job) -> EmulationResult:
    """Runs one emulation; called in a worker process."""
    return SlowStartEmulation(job.case, job.seed).run()


def format_row(name: str, results: Sequence[EmulationResult]) -> str:
    """Returns a row of the table; the ratios are those of `WarmupLoad`."""
    loads = sorted(load for result in results for load in result.warmup_loads)
    high_ratio = loads[int(HIGH_QUANTILE * (len(loads) - 1))].ratio
    median_ratio = loads[len(loads) // 2].ratio
    overloaded = sum(load.is_overloaded for load in loads)
    above_limit = sum(load.ratio > 1.0 for load in loads)
    requests = max(1, sum(result.requests for result in results))
    served = sum(result.served_in_time for result in results) / requests
    figures = f"{len(loads)} | {overloaded} | {above_limit} | {median_ratio:.2f} | {high_ratio:.2f}"
    return f"| {name} | {figures} | {served:.3f} |"


def main() -> None:
    """Runs the emulations of the selected rows and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=NODE_COUNTS)
    parser.add_argument("--starts", type=int, default=1000)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--only", default="", help="print only rows whose names contain this text")
    options = parser.parse_args()
    print(HEADER)
    with ProcessPoolExecutor(options.jobs) as pool:
        for name, case in named_cases(options.nodes):
            if options.only in name:
                emulations = -(-options.starts // (REPLACEMENTS * case.servers_per_replacement))
                jobs = [Job(case, seed) for seed in range(emulations)]
                print(format_row(name, list(pool.map(run_job, jobs))), flush=True)


if __name__ == "__main__":
    main()
