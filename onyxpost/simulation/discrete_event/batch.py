"""Runs many seeds of one scenario on several processes; the results do not depend on their number."""

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
    """Results of one seed.

    Attributes:
        data: result lines, encoded.
        duration_seconds: real time that the run took.
    """

    seed: int
    data: bytes
    duration_seconds: float


def run_seed(scenario: bytes, seed: int, overrides: PolicyOverrides) -> SeedResult:
    """Runs one seed of a scenario that `encode_scenario` wrote."""
    started_at = time.perf_counter()
    with override_policy(overrides):
        world = World(decode_scenario(scenario, "scenario"), seed)
        world.run()
    data = results.encode(result_lines(world))
    return SeedResult(seed, data, time.perf_counter() - started_at)


def run_seeds(
    scenario: Scenario, seeds: Sequence[int], jobs: int, overrides: PolicyOverrides | None = None
) -> Iterator[SeedResult]:
    """Runs seeds on `jobs` processes; results come in the order of the seeds, each once it is there."""
    encoded = encode_scenario(scenario)
    if jobs <= 1:
        for seed in seeds:
            yield run_seed(encoded, seed, overrides or {})
        return
    with worker_pool(jobs) as pool:
        futures = [pool.submit(run_seed, encoded, seed, overrides or {}) for seed in seeds]
        for future in futures:
            yield future.result()
