"""Runs many seeds in several processes, and shrinks a failing script to fewer faults."""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING

from onyxpost.simulation.deterministic.seed_run import Outcome, run_seed
from onyxpost.simulation.worker_pool import worker_pool

if TYPE_CHECKING:
    from collections.abc import Iterator

BATCH_SIZE = 25  # number of seeds in one task of a worker process


def shrink(outcome: Outcome, mutation: str = "") -> Outcome:
    """Removes faults one at a time while a run without them still violates one of the same invariants.

    Returns:
        The outcome of the run with the remaining faults.
    """
    violated = {violation.invariant for violation in outcome.violations}
    smallest_outcome = outcome
    index = 0
    while index < len(smallest_outcome.faults):
        fewer_faults = smallest_outcome.faults[:index] + smallest_outcome.faults[index + 1 :]
        candidate = run_seed(outcome.seed, fewer_faults, mutation)
        if violated & {violation.invariant for violation in candidate.violations}:
            smallest_outcome = candidate
        else:
            index += 1
    return smallest_outcome


def run_batch(seeds: list[int], mutation: str = "") -> list[Outcome]:
    """Runs seeds one after the other in this process, with the garbage collector off during each run."""
    gc.disable()
    outcomes = []
    for seed in seeds:
        outcomes.append(run_seed(seed, None, mutation))
        gc.collect(1)
    gc.enable()
    gc.collect()
    return outcomes


def run_seeds(seeds: list[int], jobs: int, mutation: str = "") -> Iterator[Outcome]:
    """Runs seeds in `jobs` processes and yields their outcomes in the order of the seeds."""
    batches = [seeds[start : start + BATCH_SIZE] for start in range(0, len(seeds), BATCH_SIZE)]
    if jobs <= 1:
        for batch in batches:
            yield from run_batch(batch, mutation)
        return
    with worker_pool(jobs) as pool:
        for outcomes in pool.map(run_batch, batches, [mutation] * len(batches)):
            yield from outcomes
