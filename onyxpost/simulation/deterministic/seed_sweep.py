"""Many seeds in several processes; a failing script is shrunk to fewer faults."""

from __future__ import annotations

import gc
import time
from collections.abc import Iterator
from typing import Any

from onyxpost.simulation.deterministic.seed_run import Outcome, play
from onyxpost.simulation.discrete_event.batch import pool_of

PART = 25  # seeds that one process is handed at a time


def shrunk(outcome: Outcome, plant: str = "") -> Outcome:
    """Faults are left out while the same rule still breaks without them."""
    rules = {violation.invariant for violation in outcome.violations}
    best, at = outcome, 0
    while at < len(best.faults):
        fewer = best.faults[:at] + best.faults[at + 1 :]
        tried = play(outcome.seed, fewer, plant)
        if rules & {violation.invariant for violation in tried.violations}:
            best = tried
        else:
            at += 1
    return best


def part(seeds: list[int], plant: str) -> list[Outcome]:
    gc.disable()
    found = []
    for seed in seeds:
        found.append(play(seed, None, plant))
        gc.collect(1)
    gc.enable()
    gc.collect()
    return found


def many(seeds: list[int], jobs: int, plant: str = "") -> Iterator[Outcome]:
    parts = [seeds[at : at + PART] for at in range(0, len(seeds), PART)]
    if jobs <= 1:
        for one in parts:
            yield from part(one, plant)
        return
    with pool_of(jobs) as pool:
        for found in pool.map(part, parts, [plant] * len(parts)):
            yield from found


def timed(seeds: list[int], jobs: int, plant: str = "") -> tuple[list[Outcome], float]:
    began = time.perf_counter()
    return list(many(seeds, jobs, plant)), time.perf_counter() - began


def line(outcome: Outcome) -> dict[str, Any]:
    return {
        "kind": "seed",
        "seed": outcome.seed,
        "asked": outcome.asked,
        "passed": outcome.passed,
        "steps": outcome.steps,
        "digest": outcome.digest,
        "breaches": [violation.to_record() for violation in outcome.violations],
        "faults": [fault._asdict() for fault in outcome.faults] if outcome.failed else [],
    }
