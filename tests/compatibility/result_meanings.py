"""Result files and fault scripts: written as the program writes them, and read with neutral keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import msgspec

from onyxpost.errors import OperatorError
from onyxpost.simulation import report, results
from onyxpost.simulation.discrete_event.batch import run_seed
from onyxpost.simulation.discrete_event.scenario import encode_scenario
from onyxpost.simulation.discrete_event.scenario_files import load_scenario, resize_scenario
from onyxpost.simulation.invariants.records import Invariant
from onyxpost.simulation.invariants.records import Violation as EmulatorBreach
from onyxpost.simulation.multiprocess.checker import Violation
from onyxpost.simulation.multiprocess.fault_script import Fault, FaultScript, decode_script, encode_script
from onyxpost.simulation.multiprocess.run_result import RunResult
from tests.compatibility.command_refusals import error_location

if TYPE_CHECKING:
    from pathlib import Path

    from tests.compatibility.json_types import JsonObject

# The recorded results name this invariant, which no checker has; result files may hold any name.
RECORDED_INVARIANT = cast("Invariant", "once")


def emulator_results() -> bytes:
    """A short run of the emulator with few nodes, and two broken rules as it would write them."""
    scenario = msgspec.structs.replace(resize_scenario(load_scenario("calm"), 4, 4), seconds=2.0, events=[])
    data = run_seed(encode_scenario(scenario), 1, {}).data
    lines = data.splitlines(keepends=True)
    breaches = [EmulatorBreach(RECORDED_INVARIANT, 12.5, "n0", "r1", "s-1", "ran twice").to_record()]
    broken = results.encode({"kind": "breach", **one} for one in breaches)
    return b"".join([*lines[:-1], broken, lines[-1]])


def read_results(path: Path) -> JsonObject:
    """Results by line and as the comparison reads them, or the place and remedy of their refusal."""
    try:
        lines = results.read(path)
        compared = report.compare(report.read_runs(path), report.read_runs(path)) if is_run(lines) else []
    except OperatorError as error:
        return {"refused": {"place": error_location(str(error)), "remedy": error.remedy}}
    columns = {row.figure: [row.first.low, row.first.mean, row.first.high] for row in compared}
    return {"lines": lines, "scenarios": sorted({row.scenario for row in compared}), "columns": columns}


def is_run(lines: list[JsonObject]) -> bool:
    """Of the emulator, not of real processes."""
    return any(line["kind"] == "run" for line in lines)


FAULTS = [
    Fault(
        start_seconds=1.5,
        kind="groups",
        target="all",
        duration_seconds=0.5,
        groups=(("n0", "n1"), ("n1", "n2")),
    ),
    Fault(start_seconds=2.25, kind="cut", target="n0>s1", duration_seconds=1.0, intensity=0.25),
]
SCRIPT = FaultScript("edge-cuts", 7, 3, 4.0, FAULTS, mutation="")


def process_results() -> bytes:
    """Results of a play with real processes."""
    violation = Violation(invariant="once", seed=7, at_ms=812.5, node="n0", description="ran twice")
    played = {"cut": 1, "groups": 1}
    broken = RunResult(SCRIPT, [violation], {"requests": 120, "answers": [100, 20]}, played, 1.26)
    clean = RunResult(SCRIPT, [], {"requests": 9}, {}, 0.0)
    total = {"kind": "total", "scenario": "edge-cuts", "seeds": 2, "broken": 1}
    return results.encode([broken.to_result_line(), clean.to_result_line(), total])


def fault_script_bytes() -> bytes:
    """A kept fault script."""
    return encode_script(SCRIPT)


def read_fault_script(data: bytes) -> JsonObject:
    """The meaning of a kept fault script."""
    read = decode_script(data, "script")
    faults = [
        {
            "at s": fault.start_seconds,
            "kind": fault.kind,
            "target": fault.target,
            "duration s": fault.duration_seconds,
            "intensity": fault.intensity,
            "groups": [list(group) for group in fault.groups],
        }
        for fault in read.faults
    ]
    return {
        "scenario": read.scenario,
        "seed": read.seed,
        "nodes": read.nodes,
        "seconds": read.seconds,
        "planted bug": read.mutation,
        "version": read.version,
        "faults": faults,
    }
