"""Fault scripts and results of the simulations, as bytes that the program itself writes or with neutral keys.

As `meanings` for files: a rename changes the Python names here, never a recorded value.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from onyxpost.simulation import deterministic, load, results
from onyxpost.simulation.deterministic.fault_script import draw_script as draw_deterministic_faults
from onyxpost.simulation.invariants import Violation
from onyxpost.simulation.multiprocess import fault_script
from onyxpost.simulation.multiprocess import scenario as scenarios
from tests.compatibility import meanings


class ScriptDraw(NamedTuple):
    """What a script for real processes is drawn from."""

    scenario: str  # the name of a shipped one, or the path of a file
    seed: int
    nodes: int | None = None  # None: the scenario's own
    seconds: float | None = None
    mutation: str = ""


def drawn_script(draw: ScriptDraw) -> bytes:
    """The script that `lab rig` plays, as it is kept; under the name by which the scenario was asked for."""
    scenario = scenarios.sized(scenarios.load(draw.scenario), draw.nodes, draw.seconds)
    script = scenarios.scripted(scenario, draw.seed, draw.mutation)
    return fault_script.encode(msgspec.structs.replace(script, scenario=Path(draw.scenario).stem))


def shipped_scenarios() -> list[str]:
    """Names of the scenarios for real processes."""
    return scenarios.shipped()


def rewritten_script(data: bytes) -> bytes:
    """A kept script, read and written again."""
    return fault_script.encode(fault_script.decode(data, "script"))


def replayed_scenario(data: bytes) -> dict[str, Any]:
    """The scenario that a kept script is played in."""
    script = fault_script.decode(data, "script")
    scenario = scenarios.sized(scenarios.load(script.scenario), script.nodes, script.seconds)
    return {
        "stage": scenario.stage,
        "nodes": scenario.nodes,
        "seconds": scenario.seconds,
        "servers": scenario.servers,
        "roles": scenario.duties,
        "lease s": scenario.lease_s,
        "rate": scenario.load.rate,
        "customers": scenario.load.customers,
    }


def deterministic_line(seed: int) -> bytes:
    """The line of `lab seeds --out` for a seed that failed: the only one with the faults that were drawn."""
    violation = Violation("once", 12.5, "n0", "t1", "s-1", "ran twice")
    outcome = deterministic.Outcome(seed, [violation], draw_deterministic_faults(seed), 9, 8, 7, "0" * 16)
    return results.encode([outcome.to_record()])


def load_results(samples: Iterable[tuple[float, float, str]]) -> bytes:
    """Results of `lab load --out`; a sample is when a request was due in s, ms to its answer, and its end."""
    counts = load.Counts()
    for due, took_ms, final in samples:
        counts.add(due, took_ms, final)
    counts.opened = 3
    counts.late_sent = 1
    options = load.Load(rate=50.0, seconds=2.0, customers=20, connections=200, seed=1)
    return results.encode(counts.lines(options))


def read_results(path: Path) -> dict[str, Any]:
    """Results by line and as the comparison reads them."""
    return meanings.read_results(path)
