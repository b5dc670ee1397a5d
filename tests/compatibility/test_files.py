"""Files that an earlier build took mean the same, and those that it refused are refused as before."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from tests.compatibility import (
    command_line,
    command_refusals,
    inputs,
    meanings,
    recorded,
    result_meanings,
    voter_files,
)

if TYPE_CHECKING:
    from pathlib import Path

CONFIGS: dict[str, Any] = recorded.load("configs.json")
REFUSED: dict[str, Any] = recorded.load("refused-files.json")
VOTER_FILES: dict[str, Any] = recorded.load("voter-files.json")
RESULTS: dict[str, Any] = recorded.load("results.json")
SHIPPED = sorted(name for name in CONFIGS["files"] if name.startswith("example-"))


def write_files(folder: Path, files: dict[str, str]) -> None:
    """Puts recorded files into a folder."""
    for name, text in files.items():
        (folder / name).write_text(text, encoding="utf-8")


def meaning_of(path: Path) -> Any:
    """What a node's, a planner's or a rules' file means, as JSON reads it back."""
    read = meanings.read_config(path) if path.suffix == ".json" else meanings.rules(path.read_bytes())
    return json.loads(json.dumps(read))


@pytest.mark.parametrize("name", CONFIGS["files"])
def test_recorded_file_means_the_same(name: str, tmp_path: Path) -> None:
    """A file that an earlier build took is read to the recorded meaning."""
    write_files(tmp_path, CONFIGS["files"])
    assert meaning_of(tmp_path / name) == CONFIGS["meaning"][name]


@pytest.mark.parametrize("name", SHIPPED)
def test_shipped_file_means_the_same(name: str) -> None:
    """So are the examples that are shipped."""
    assert meaning_of(inputs.DEPLOY / name) == CONFIGS["meaning"][name]


@pytest.mark.parametrize("case", REFUSED)
def test_file_is_refused_with_exit_code_location_and_remedy(case: str, tmp_path: Path) -> None:
    """A bad file ends the command with one line that names the place and what to do."""
    record = REFUSED[case]
    write_files(tmp_path, record["files"])
    arguments = [argument.replace("FOLDER", str(tmp_path)) for argument in record["command"]]
    code, output = command_refusals.run_command(arguments)
    assert code == record["exit code"]
    assert output.count("\n") == 1
    assert command_refusals.error_location(output) == record["place"]
    assert output.rstrip().endswith(f"({command_line.current_wording(record['remedy'])})")


@pytest.mark.parametrize("case", VOTER_FILES["written"])
def test_voter_writes_the_recorded_file(case: str, tmp_path: Path) -> None:
    """What a voter keeps on disk has not changed by a byte."""
    assert voter_files.write_voter_file(case, tmp_path / "voter").hex() == VOTER_FILES["written"][case]


@pytest.mark.parametrize("case", VOTER_FILES["read"])
def test_voter_reads_the_recorded_file(case: str, tmp_path: Path) -> None:
    """A voter knows the same from an earlier build's file, and refuses a damaged one."""
    path = tmp_path / "voter"
    path.write_bytes(bytes.fromhex(VOTER_FILES["read"][case]["bytes"]))
    expected = VOTER_FILES["read"][case]["meaning"]
    if "refused" in expected:
        remedy = command_line.current_wording(expected["refused"]["remedy"])
        expected = {"refused": {**expected["refused"], "remedy": remedy}}
    assert voter_files.read_voter_file(path) == expected


@pytest.mark.parametrize("case", ["emulator", "real processes"])
def test_results_are_read_to_the_same_meaning(case: str, tmp_path: Path) -> None:
    """Results of an earlier build are read, and compared by the same columns."""
    path = tmp_path / "results.jsonl"
    path.write_text(RESULTS[case]["text"], encoding="utf-8")
    assert result_meanings.read_results(path) == RESULTS[case]["meaning"]


def test_real_processes_results_are_written_as_recorded() -> None:
    """The lines of a play with real processes keep their keys and values."""
    assert result_meanings.process_results().decode() == RESULTS["real processes"]["text"]


def test_emulator_results_keep_their_keys() -> None:
    """Each line of a run has the recorded keys; its figures may change with the decisions."""
    before = [json.loads(line) for line in RESULTS["emulator"]["text"].splitlines()]
    now = [json.loads(line) for line in result_meanings.emulator_results().splitlines()]
    assert [(line["kind"], list(line)) for line in now] == [(line["kind"], list(line)) for line in before]


def test_fault_script_is_written_and_read_as_recorded() -> None:
    """A kept fault script can be replayed by a later build."""
    text = RESULTS["fault script"]["text"]
    assert result_meanings.fault_script_bytes().decode() == text
    assert result_meanings.read_fault_script(text.encode()) == RESULTS["fault script"]["meaning"]
