"""Results and fault scripts written by the recorded build are read and reproduced unchanged.

A changed key or order in a result file makes earlier results unreadable or incomparable. A changed script
replays faults other than those that exposed a violation.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from tests.compatibility import command_line, record_simulations, recorded, simulation_meanings

if TYPE_CHECKING:
    from pathlib import Path

BUILD: dict[str, Any] = recorded.load("build-results.json")
RUNS: dict[str, Any] = BUILD["real processes"]
# Keys whose values depend on log lines, whose wording may change.
UNPINNED_KEYS = ("digest", "modes")


def pinned_lines(text: str) -> list[dict[str, Any]]:
    """Returns the lines of a result file without the keys that depend on the wording of log lines."""
    lines: list[dict[str, Any]] = [json.loads(line) for line in text.splitlines()]
    return [{key: value for key, value in line.items() if key not in UNPINNED_KEYS} for line in lines]


def new_results(arguments: list[str], out: Path, exit_code: int) -> str:
    """Returns the results that a command of the current build writes to `out`."""
    result = command_line.run(["lab", *arguments, "--jobs", "1", "--out", str(out)])
    assert result.exit_code == exit_code, result
    return out.read_text(encoding="utf-8")


@pytest.mark.parametrize("case", RUNS)
def test_kept_script_of_a_real_run_is_written_again_byte_for_byte(case: str) -> None:
    kept = RUNS[case]["kept"]
    assert simulation_meanings.rewritten_script(kept.encode()).decode() == kept


@pytest.mark.parametrize("case", RUNS)
def test_script_without_optional_keys_is_kept_as_recorded(case: str) -> None:
    given = RUNS[case]["given"].encode()
    assert simulation_meanings.rewritten_script(given).decode() == RUNS[case]["kept"]


@pytest.mark.parametrize("case", RUNS)
def test_kept_script_is_replayed_in_the_recorded_scenario(case: str) -> None:
    kept = RUNS[case]["kept"].encode()
    assert simulation_meanings.replayed_scenario(kept) == RUNS[case]["scenario"]


@pytest.mark.parametrize("case", RUNS)
def test_results_of_a_real_run_are_read_to_their_lines(case: str, tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    path.write_text(RUNS[case]["results"], encoding="utf-8")
    lines = [json.loads(line) for line in RUNS[case]["results"].splitlines()]
    assert simulation_meanings.read_results(path) == {"lines": lines, "scenarios": [], "columns": {}}


def test_emulator_results_are_read_to_the_same_meaning(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    path.write_text(BUILD["emulator"]["text"], encoding="utf-8")
    assert simulation_meanings.read_results(path) == BUILD["emulator"]["meaning"]


def test_emulator_results_of_the_recorded_build_equal_those_of_this_one(tmp_path: Path) -> None:
    scenario = tmp_path / "short.toml"
    scenario.write_text(BUILD["emulator"]["scenario"], encoding="utf-8")
    now = new_results(["run", str(scenario), "--seeds", "1-3"], tmp_path / "out.jsonl", 0)
    assert pinned_lines(now) == pinned_lines(BUILD["emulator"]["text"])
    assert [list(json.loads(line)) for line in now.splitlines()] == [
        list(json.loads(line)) for line in BUILD["emulator"]["text"].splitlines()
    ]


def test_recorded_and_new_emulator_results_are_compared_as_the_same(tmp_path: Path) -> None:
    scenario, before, now = (tmp_path / name for name in ("short.toml", "before.jsonl", "now.jsonl"))
    scenario.write_text(BUILD["emulator"]["scenario"], encoding="utf-8")
    before.write_text(BUILD["emulator"]["text"], encoding="utf-8")
    new_results(["run", str(scenario), "--seeds", "1-3"], now, 0)
    result = command_line.run(["lab", "compare", str(before), str(now)])
    assert result.exit_code == 0
    assert result.output.count(command_line.current_wording("the same")) == len(
        BUILD["emulator"]["meaning"]["columns"]
    )


@pytest.mark.parametrize(
    ("case", "options", "exit_code"),
    [("deterministic", [], 0), ("deterministic, mutation", ["--plant", record_simulations.MUTATION], 1)],
)
def test_deterministic_results_are_written_as_recorded(
    case: str, options: list[str], exit_code: int, tmp_path: Path
) -> None:
    for seeds, text in BUILD[case].items():
        now = new_results(["seeds", "--seeds", seeds, *options], tmp_path / "out.jsonl", exit_code)
        assert pinned_lines(now) == pinned_lines(command_line.current_wording(text))
        assert [list(json.loads(line)) for line in now.splitlines()] == [
            list(json.loads(line)) for line in text.splitlines()
        ]


def test_deterministic_results_are_no_runs_to_compare(tmp_path: Path) -> None:
    path = tmp_path / "results.jsonl"
    path.write_text(BUILD["deterministic"]["0-3"], encoding="utf-8")
    result = command_line.run(["lab", "compare", str(path), str(path)])
    assert result.exit_code == 2
    assert command_line.current_wording("no run's totals in it") in result.error


def test_load_results_are_written_as_recorded() -> None:
    assert simulation_meanings.load_result_lines(record_simulations.LOAD_SAMPLES).decode() == BUILD["load"]
