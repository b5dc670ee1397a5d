"""Runs many seeds of one scenario in worker processes; the results do not depend on how many."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.simulation import results
from onyxpost.simulation.discrete_event.policy_overrides import PolicyOverrides, override_policy
from onyxpost.simulation.discrete_event.run_results import result_lines
from onyxpost.simulation.discrete_event.scenario import Scenario, encode_scenario
from onyxpost.simulation.discrete_event.scenario_files import decode_scenario
from onyxpost.simulation.discrete_event.world import World
from onyxpost.simulation.worker_pool import worker_pool

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence


class SeedResult(NamedTuple):
    """Results of the run of one seed.

    Attributes:
        data: encoded lines of a result file.
        duration_seconds: wall-clock duration of the run.
    """

    seed: int
    data: bytes
    duration_seconds: float


def run_seed(scenario: bytes, seed: int, overrides: PolicyOverrides) -> SeedResult:
    """Runs one seed of an encoded scenario.

    Args:
        scenario: output of `encode_scenario`.
        seed: the seed.
        overrides: constants of the policy that have other values during the run.
    """
    started_at = time.perf_counter()
    with override_policy(overrides):
        world = World(decode_scenario(scenario, "scenario"), seed)
        world.run()
    data = results.encode(result_lines(world))
    return SeedResult(seed, data, time.perf_counter() - started_at)


def run_seeds(
    scenario: Scenario, seeds: Sequence[int], jobs: int, overrides: PolicyOverrides | None = None
) -> Iterator[SeedResult]:
    """Runs seeds in `jobs` processes, and yields their results in the order of the seeds."""
    encoded = encode_scenario(scenario)
    if jobs <= 1:
        for seed in seeds:
            yield run_seed(encoded, seed, overrides or {})
        return
    with worker_pool(jobs) as pool:
        futures = [pool.submit(run_seed, encoded, seed, overrides or {}) for seed in seeds]
        for future in futures:
            yield future.result()
