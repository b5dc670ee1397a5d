"""Fault scripts and results of the simulations, as bytes that the program itself writes or with neutral keys.

As `meanings` for files: a rename changes the Python names here, never a recorded value.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from onyxpost.simulation import deterministic, results
from onyxpost.simulation.deterministic.fault_script import draw_script as draw_deterministic_faults
from onyxpost.simulation.invariants import Violation
from onyxpost.simulation.load.options import LoadOptions
from onyxpost.simulation.load.results import LoadResults
from onyxpost.simulation.multiprocess import scenario as scenarios
from onyxpost.simulation.multiprocess.fault_script import decode_script, encode_script
from tests.compatibility import result_meanings

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORDED_ENVIRONMENTS = {"edge": "edge", "leadership": "duties"}  # by their name today


class ScriptDraw(NamedTuple):
    """What a script for real processes is drawn from."""

    scenario: str  # the name of a shipped one, or the path of a file
    seed: int
    nodes: int | None = None  # None: the scenario's own
    seconds: float | None = None
    mutation: str = ""


def drawn_script(draw: ScriptDraw) -> bytes:
    """The script that `lab rig` plays, as it is kept; under the name by which the scenario was asked for."""
    scenario = scenarios.with_size(scenarios.load_scenario(draw.scenario), draw.nodes, draw.seconds)
    script = scenarios.draw_script(scenario, draw.seed, draw.mutation)
    return encode_script(msgspec.structs.replace(script, scenario=Path(draw.scenario).stem))


def shipped_scenarios() -> list[str]:
    """Names of the scenarios for real processes."""
    return scenarios.shipped_scenarios()


def rewritten_script(data: bytes) -> bytes:
    """A kept script, read and written again."""
    return encode_script(decode_script(data, "script"))


def replayed_scenario(data: bytes) -> dict[str, Any]:
    """The scenario that a kept script is played in."""
    script = decode_script(data, "script")
    scenario = scenarios.with_size(scenarios.load_scenario(script.scenario), script.nodes, script.seconds)
    return {
        "stage": RECORDED_ENVIRONMENTS[scenario.environment],
        "nodes": scenario.nodes,
        "seconds": scenario.seconds,
        "servers": scenario.servers,
        "roles": scenario.roles,
        "lease s": scenario.lease_seconds,
        "rate": scenario.load.rate,
        "customers": scenario.load.customers,
    }


def deterministic_line(seed: int) -> bytes:
    """The line of `lab seeds --out` for a seed that failed: the only one with the faults that were drawn."""
    violation = Violation(result_meanings.RECORDED_INVARIANT, 12.5, "n0", "t1", "s-1", "ran twice")
    outcome = deterministic.Outcome(seed, [violation], draw_deterministic_faults(seed), 9, 8, 7, "0" * 16)
    return results.encode([outcome.to_record()])


def load_result_lines(samples: Iterable[tuple[float, float, str]]) -> bytes:
    """Results of `lab load --out`; a sample is when a request was due in s, ms to its answer, and its end."""
    load_results = LoadResults()
    for due_seconds, latency_ms, outcome in samples:
        load_results.add(due_seconds, latency_ms, outcome)
    load_results.connections_opened = 3
    load_results.late_requests = 1
    options = LoadOptions(rate=50.0, seconds=2.0, customers=20, connections=200, seed=1)
    return results.encode(load_results.to_lines(options))


def read_results(path: Path) -> dict[str, Any]:
    """Results by line and as the comparison reads them."""
    return result_meanings.read_results(path)
