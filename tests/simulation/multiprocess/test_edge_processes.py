"""Runs edge nodes as real processes.

The invariants must hold under faults. A mutation must violate its invariant, also when its kept script is run
again.
"""

from __future__ import annotations

import json
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from onyxpost.simulation.invariants import Invariant
from onyxpost.simulation.multiprocess.fault_script import Fault, FaultScript, decode_script
from onyxpost.simulation.multiprocess.runner import run_script
from onyxpost.simulation.multiprocess.scenario import load_scenario, with_size

if TYPE_CHECKING:
    from pathlib import Path

    from onyxpost.simulation.multiprocess.run_result import RunResult

pytestmark = pytest.mark.xdist_group("quiet")  # many processes would disturb tests that measure time

SEED = 3
MIN_SUCCEEDED = 60


def run(script: FaultScript, kept: Path | None = None) -> RunResult:
    """Runs a script with the load of `edge-cuts`."""
    return run_script(with_size(load_scenario("edge-cuts"), script.nodes, script.seconds), script, kept)


def count_of(result: RunResult, outcome: str) -> int:
    """Returns how many requests had the outcome."""
    count = result.counts[outcome]
    assert isinstance(count, int)
    return count


def test_nodes_that_are_partitioned_paused_and_killed_violate_no_invariant(tmp_path: Path) -> None:
    faults = [
        Fault(0.5, "cut", "n0>n1", 2.0),
        Fault(0.6, "cut", "s1>n3", 0.5),
        Fault(0.8, "stop", "n1", 1.4),
        Fault(1.0, "kill", "n2", 0.3),
        Fault(1.2, "drain", "s2", 0.6),
    ]
    result = run(FaultScript("edge-cuts", SEED, 5, 4.5, faults), tmp_path)
    assert result.violations == [], f"worst lag {result.worst_lag_ms} ms; history in {tmp_path}"
    assert result.faults == {"cut": 2, "drain": 1, "kill": 1, "stop": 1}
    counts = result.counts
    assert count_of(result, "passed") > MIN_SUCCEEDED, counts
    unsuccessful = [count_of(result, outcome) for outcome in ("timed_out", "cut", "refused")]
    assert sum(unsuccessful) > 0, counts


def test_mutation_is_found_and_its_kept_script_finds_it_again(tmp_path: Path) -> None:
    script = FaultScript("edge-cuts", SEED, 3, 2.5, [Fault(0.3, "drain", "s0", 1.9)], "deaf-to-drains")
    result = run(script, tmp_path)
    assert Invariant.DRAIN_NOTIFIED in {violation.invariant for violation in result.violations}
    kept = tmp_path / "edge-cuts-3" / "script.json"
    assert decode_script(kept.read_bytes(), "") == script

    results = tmp_path / "results.jsonl"
    command = [
        sys.executable,
        "-m",
        "onyxpost",
        "simulate",
        "processes",
        "--replay",
        str(kept),
        "--out",
        str(results),
    ]
    replay = subprocess.run(command, capture_output=True, timeout=60.0)
    assert replay.returncode == 1, replay.stderr
    seed_line, total_line = map(json.loads, results.read_text().splitlines())
    assert (seed_line["kind"], seed_line["seed"], seed_line["plant"]) == ("seed", SEED, "deaf-to-drains")
    assert Invariant.DRAIN_NOTIFIED in {violation["rule"] for violation in seed_line["breaches"]}
    assert (total_line["kind"], total_line["seeds"], total_line["broken"]) == ("total", 1, 1)
