"""Records of the simulations: drawn fault scripts, refused commands, results and saved fault scripts.

`record` writes the records to files. `simulation_meanings` reads the output of the simulations and
`command_line` runs commands; after a rename in the program, only these two modules change.
"""

from __future__ import annotations

import tempfile
from hashlib import sha256
from pathlib import Path
from typing import Any

from tests.compatibility import command_cases, command_line, simulation_command_cases, simulation_meanings
from tests.compatibility.simulation_meanings import ScriptDraw

KEPT_SEEDS = range(1, 4)  # seeds of the scripts that are recorded completely
DIGEST_SEEDS = range(50)  # seeds of the scripts that are recorded as digests
SIZES: tuple[tuple[int | None, float | None], ...] = (
    (1, None), (2, None), (3, 4.0), (7, 60.0), (64, 600.0), (None, 2.0),
)  # fmt: skip
SIZE_SEED = 11
MUTATION = "deaf-to-drains"
DETERMINISTIC_KEPT_SEEDS = range(10)
DETERMINISTIC_DIGEST_SEEDS = range(400)

ALL_KINDS = (
    "delay lose duplicate reorder cut groups servers-cut reset stall stop kill term all-killed alone bridge"
    " voters-killed late-act drain slow"
)
OWN_SCENARIOS = {
    f"every-kind-{stage}.toml": f'about = "each kind of fault"\nstage = "{stage}"\nnodes = 6\n'
    + f"seconds = 12.0\nlease_s = 1.0\nduties = {roles}\n[faults]\n"
    + "".join(f"{kind} = {{ per_minute = 22.0, lasts_s = [0.3, 1.7] }}\n" for kind in ALL_KINDS.split())
    for stage, roles in (("edge", 0), ("duties", 3))
}
# Runs of real processes whose only fault exposes a mutation: (scenario, nodes, seconds, mutation, faults).
KEPT_RUNS: dict[str, tuple[str, int, float, str, str]] = {
    "edge": (
        "edge-cuts", 3, 2.5, "deaf-to-drains",
        '[{"at": 0.3, "kind": "drain", "whom": "s0", "lasts": 1.9}]',
    ),
    "leadership": (
        "duties-stalls", 5, 5.0, "careless",
        '[{"at": 2.0, "kind": "late-act", "whom": "h0", "lasts": 1.3}]',
    ),
}  # fmt: skip
LOAD_SAMPLES = [
    (0.1, 5.0, "passed"),
    (0.9, 80.25, "passed"),
    (1.2, 7.0, "denied"),
    (3.0, 1500.0, "timed out"),
]


# --- drawn scripts ----------------------------------------------------------------------------------------


def digests(texts: list[bytes]) -> dict[str, str]:
    """Returns the digest of each script by seed; the seeds are consecutive and start at 0."""
    return {str(seed): sha256(text).hexdigest() for seed, text in enumerate(texts)}


def drawn_for(scenario: str) -> dict[str, Any]:
    """Returns scripts of one scenario: for many seeds, for other sizes, and with a mutation."""
    drawn = simulation_meanings.drawn_script
    sizes = []
    for nodes, seconds in SIZES:
        script = drawn(ScriptDraw(scenario, SIZE_SEED, nodes, seconds))
        sizes.append({"nodes": nodes, "seconds": seconds, "script": sha256(script).hexdigest()})
    return {
        "whole": {str(seed): drawn(ScriptDraw(scenario, seed)).decode() for seed in KEPT_SEEDS},
        "digests": digests([drawn(ScriptDraw(scenario, seed)) for seed in DIGEST_SEEDS]),
        "sizes": sizes,
        "mutation": drawn(ScriptDraw(scenario, SIZE_SEED, 3, 4.0, MUTATION)).decode(),
    }


def fault_script_records() -> dict[str, Any]:
    """Returns scripts for real processes by scenario, and scripts of the deterministic simulation by seed."""
    records: dict[str, Any] = {name: drawn_for(name) for name in simulation_meanings.shipped_scenarios()}
    with tempfile.TemporaryDirectory() as folder:
        for name, text in OWN_SCENARIOS.items():
            path = Path(folder, name)
            path.write_text(text, encoding="utf-8")
            records[name] = drawn_for(str(path))
    line = simulation_meanings.deterministic_line
    return {
        "real processes": records,
        "own scenarios": OWN_SCENARIOS,
        "deterministic": {
            "whole": {str(seed): line(seed).decode() for seed in DETERMINISTIC_KEPT_SEEDS},
            "digests": digests([line(seed) for seed in DETERMINISTIC_DIGEST_SEEDS]),
        },
    }


# --- commands ---------------------------------------------------------------------------------------------


def command_records() -> dict[str, Any]:
    """Returns each command with its exit code and refusal."""
    records = {}
    for name, command in command_cases.commands().items():
        case = command.case()
        with tempfile.TemporaryDirectory() as folder:
            records[name] = case | command_line.run_case(case, Path(folder))
    return records


# --- results and saved scripts ----------------------------------------------------------------------------


def run_lab(arguments: list[str], expected_exit_code: int) -> None:
    """Runs a command whose results are recorded; raises SystemExit if its exit code is another."""
    result = command_line.run(["lab", *arguments])
    if result.exit_code != expected_exit_code:
        raise SystemExit(f"{arguments}: expected exit code {expected_exit_code}, got {result}")


def kept_run(folder: Path, name: str) -> dict[str, Any]:
    """Returns the given script, saved script and results of a run of real processes with a violation.

    Raises:
        SystemExit: the run found no violation.
    """
    scenario, nodes, seconds, mutation, faults = KEPT_RUNS[name]
    given = (
        f'{{"scenario": "{scenario}", "seed": 3, "nodes": {nodes}, "seconds": {seconds},'
        f' "plant": "{mutation}", "version": 1, "faults": {faults}}}'
    )
    script = folder / f"{name}.json"
    out = folder / f"{name}.jsonl"
    kept = folder / name
    script.write_text(given, encoding="utf-8")
    arguments = ["rig", "--replay", str(script), "--kept", str(kept), "--out", str(out)]
    result = command_line.run_process(["lab", *arguments])
    if result.exit_code != 1:
        raise SystemExit(f"{arguments}: expected exit code 1, got {result}")
    kept_script = (kept / f"{scenario}-3" / "script.json").read_text(encoding="utf-8")
    return {
        "given": given,
        "kept": kept_script,
        "results": out.read_text(encoding="utf-8"),
        "scenario": simulation_meanings.replayed_scenario(kept_script.encode()),
    }


def build_result_records() -> dict[str, Any]:
    """Returns files that commands of this build wrote, and the values read from them."""
    with tempfile.TemporaryDirectory() as folder_path:
        folder = Path(folder_path)
        runs = {name: kept_run(folder, name) for name in KEPT_RUNS}
        scenario = folder / "short.toml"
        scenario.write_text(simulation_command_cases.SHORT_SCENARIO, encoding="utf-8")
        emulated = folder / "emulated"
        seeds = folder / "seeds"
        failed = folder / "failed"
        run_lab(["run", str(scenario), "--seeds", "1-3", "--jobs", "1", "--out", str(emulated)], 0)
        run_lab(["seeds", "--seeds", "0-3", "--jobs", "1", "--out", str(seeds)], 0)
        mutated = ["--plant", MUTATION, "--out", str(failed)]
        run_lab(["seeds", "--seeds", "2,5", "--jobs", "1", *mutated], 1)
        return {
            "real processes": runs,
            "emulator": {
                "scenario": simulation_command_cases.SHORT_SCENARIO,
                "text": emulated.read_text(encoding="utf-8"),
                "meaning": simulation_meanings.read_results(emulated),
            },
            "deterministic": {"0-3": seeds.read_text(encoding="utf-8")},
            "deterministic, mutation": {"2,5": failed.read_text(encoding="utf-8")},
            "load": simulation_meanings.load_result_lines(LOAD_SAMPLES).decode(),
        }
