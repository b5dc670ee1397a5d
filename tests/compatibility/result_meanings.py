"""Result files and fault scripts as the program writes them, and the values that the program reads from them.

The keys of these values are independent of the program's names.
"""

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

# The recorded results name this invariant, which no checker has. Result files may contain any name.
RECORDED_INVARIANT = cast("Invariant", "once")


def emulator_results() -> bytes:
    """Returns results of a short run of the discrete-event simulation, with a line for a violation added."""
    scenario = msgspec.structs.replace(resize_scenario(load_scenario("calm"), 4, 4), seconds=2.0, events=[])
    data = run_seed(encode_scenario(scenario), 1, {}).data
    lines = data.splitlines(keepends=True)
    breaches = [EmulatorBreach(RECORDED_INVARIANT, 12.5, "n0", "r1", "s-1", "ran twice").to_record()]
    broken = results.encode({"kind": "breach", **one} for one in breaches)
    return b"".join([*lines[:-1], broken, lines[-1]])


def read_results(path: Path) -> JsonObject:
    """Returns the lines and compared columns of a result file, or location and remedy of its refusal."""
    try:
        lines = results.read(path)
        compared = report.compare(report.read_runs(path), report.read_runs(path)) if is_run(lines) else []
    except OperatorError as error:
        return {"refused": {"place": error_location(str(error)), "remedy": error.remedy}}
    columns = {row.figure: [row.first.low, row.first.mean, row.first.high] for row in compared}
    return {"lines": lines, "scenarios": sorted({row.scenario for row in compared}), "columns": columns}


def is_run(lines: list[JsonObject]) -> bool:
    """Returns whether results are of the discrete-event simulation, and not of real processes."""
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
    """Returns results of a run of real processes with a violation, and of one without."""
    violation = Violation(invariant="once", seed=7, at_ms=812.5, node="n0", description="ran twice")
    played = {"cut": 1, "groups": 1}
    broken = RunResult(SCRIPT, [violation], {"requests": 120, "answers": [100, 20]}, played, 1.26)
    clean = RunResult(SCRIPT, [], {"requests": 9}, {}, 0.0)
    total = {"kind": "total", "scenario": "edge-cuts", "seeds": 2, "broken": 1}
    return results.encode([broken.to_result_line(), clean.to_result_line(), total])


def fault_script_bytes() -> bytes:
    """Returns a fault script in the form in which it is saved."""
    return encode_script(SCRIPT)


def read_fault_script(data: bytes) -> JsonObject:
    """Returns the values that the program reads from a saved fault script."""
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
