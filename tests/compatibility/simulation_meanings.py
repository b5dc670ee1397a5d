"""Fault scripts and results of the simulations, as the program writes them and as plain JSON.

The keys of this JSON are independent of the program's names. A rename in the program changes the Python names
in this module, never a recorded value.
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

RECORDED_ENVIRONMENTS = {"edge": "edge", "leadership": "duties"}  # recorded name by current name


class ScriptDraw(NamedTuple):
    """Parameters from which a fault script for real processes is drawn.

    Attributes:
        scenario: the name of a shipped scenario, or the path of a scenario file.
        seed: the seed of the draw.
        nodes: the number of nodes; None for the scenario's own number.
        seconds: the duration; None for the scenario's own duration.
        mutation: the mutation that the nodes run with; "" for none.
    """

    scenario: str
    seed: int
    nodes: int | None = None
    seconds: float | None = None
    mutation: str = ""


def drawn_script(draw: ScriptDraw) -> bytes:
    """Returns the script that `lab rig` runs, as the program saves it, with the scenario's requested name."""
    scenario = scenarios.with_size(scenarios.load_scenario(draw.scenario), draw.nodes, draw.seconds)
    script = scenarios.draw_script(scenario, draw.seed, draw.mutation)
    return encode_script(msgspec.structs.replace(script, scenario=Path(draw.scenario).stem))


def shipped_scenarios() -> list[str]:
    """Returns the names of the shipped scenarios for real processes."""
    return scenarios.shipped_scenarios()


def rewritten_script(data: bytes) -> bytes:
    """Returns a saved script after it was decoded and encoded again."""
    return encode_script(decode_script(data, "script"))


def replayed_scenario(data: bytes) -> dict[str, Any]:
    """Returns the scenario in which a saved script is replayed."""
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
    """Returns the line of `lab seeds --out` for a seed with a violation.

    Only lines of seeds with a violation contain the drawn faults.
    """
    violation = Violation(result_meanings.RECORDED_INVARIANT, 12.5, "n0", "t1", "s-1", "ran twice")
    outcome = deterministic.Outcome(seed, [violation], draw_deterministic_faults(seed), 9, 8, 7, "0" * 16)
    return results.encode([outcome.to_record()])


def load_result_lines(samples: Iterable[tuple[float, float, str]]) -> bytes:
    """Returns results of `lab load --out`.

    A sample is the time at which a request was due in s, its latency in ms, and its outcome.
    """
    load_results = LoadResults()
    for due_seconds, latency_ms, outcome in samples:
        load_results.add(due_seconds, latency_ms, outcome)
    load_results.connections_opened = 3
    load_results.late_requests = 1
    options = LoadOptions(rate=50.0, seconds=2.0, customers=20, connections=200, seed=1)
    return results.encode(load_results.to_lines(options))


def read_results(path: Path) -> dict[str, Any]:
    """Returns the lines and compared columns of a result file, or location and remedy of its refusal."""
    return result_meanings.read_results(path)
