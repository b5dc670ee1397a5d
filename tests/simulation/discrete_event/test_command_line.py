"""The commands that run and compare scenarios: results, exit codes, errors and interruption."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from onyxpost.cli import main
from onyxpost.simulation import results
from tests.simulation.discrete_event.small_scenario import SMALL_SCENARIO


@pytest.fixture
def scenario_file(tmp_path: Path) -> Path:
    path = tmp_path / "small.toml"
    path.write_text(SMALL_SCENARIO)
    return path


def run_command(*arguments: object) -> Result:
    """Runs a subcommand of `simulate` in this process."""
    return CliRunner().invoke(main, ["simulate", *map(str, arguments)])


def test_results_do_not_depend_on_the_number_of_processes(scenario_file: Path, tmp_path: Path) -> None:
    for jobs in (1, 2):
        out = tmp_path / f"{jobs}.jsonl"
        result = run_command("discrete-event", scenario_file, "--seeds", "1-3", "--jobs", jobs, "--out", out)
        assert result.exit_code == 0, result.output
    assert (tmp_path / "1.jsonl").read_bytes() == (tmp_path / "2.jsonl").read_bytes()


def test_constant_of_the_policy_is_overridden_for_one_run_only(scenario_file: Path, tmp_path: Path) -> None:
    options_by_run = {"before": (), "overridden": ("--with", "Window.START=0.01"), "after": ()}
    for name, options in options_by_run.items():
        result = run_command("discrete-event", scenario_file, "--jobs", 1, "--out", tmp_path / name, *options)
        assert result.exit_code == 0
    before, overridden, after = ((tmp_path / name).read_bytes() for name in options_by_run)
    assert before != overridden
    assert before == after


def test_interrupted_run_keeps_finished_seeds_and_leaves_no_process(
    scenario_file: Path, tmp_path: Path
) -> None:
    out = tmp_path / "out.jsonl"
    arguments = [
        "simulate",
        "discrete-event",
        str(scenario_file),
        "--seeds",
        "1-500",
        "--jobs",
        "2",
        "--out",
        str(out),
    ]
    with subprocess.Popen(
        [sys.executable, "-u", "-m", "onyxpost", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    ) as process:
        assert process.stdout is not None
        assert "seed 1 " in process.stdout.readline()
        process.terminate()
        _, errors = process.communicate(timeout=30.0)
        assert "the results of finished runs are kept" in errors
        assert process.returncode == 130
        assert session_ends(process.pid)
    assert b'"kind":"total"' in out.read_bytes()
    assert run_command("compare", out, out).exit_code == 0


def session_ends(process_group: int) -> bool:
    """Returns whether all processes of a group end within five seconds."""
    for _ in range(100):
        try:
            os.killpg(process_group, 0)
        except ProcessLookupError:
            return True
        time.sleep(0.05)
    return False


def test_results_are_compared_and_plotted(scenario_file: Path, tmp_path: Path) -> None:
    for name, seeds in (("a", "1-2"), ("b", "1-2"), ("c", "3-4")):
        run_command("discrete-event", scenario_file, "--seeds", seeds, "--jobs", 1, "--out", tmp_path / name)
    plot = tmp_path / "p.png"
    same = run_command("compare", tmp_path / "a", tmp_path / "b", "--plot", plot)
    assert same.exit_code == 0, same.output
    assert same.output.count("the same") == 13
    assert plot.read_bytes().startswith(b"\x89PNG")
    other = run_command("compare", tmp_path / "a", tmp_path / "c")
    assert "no difference seen" in other.output


@pytest.mark.parametrize(
    "arguments",
    [
        ("discrete-event", "no-such"),
        ("discrete-event", "small.toml", "--seeds", "5-1"),
        ("discrete-event", "small.toml", "--seeds", "99999999999"),
        ("discrete-event", "small.toml", "--nodes", "9999999"),
        ("compare", "old.jsonl", "old.jsonl"),
        ("compare", "truncated.jsonl", "truncated.jsonl"),
        ("discrete-event", "small.toml", "--with", "Theta.NONE=1"),
        ("discrete-event", "small.toml", "--with", "Theta.PERIOD"),
        ("discrete-event", "small.toml", "--with", "Gateway.arrived=3"),
        ("compare", "none", "old.jsonl"),
        ("deterministic", "--mutation", "no-such"),
        ("discrete-event", "small.toml", "--out", "no/such"),
    ],
    ids=" ".join,
)
@pytest.mark.usefixtures("scenario_file")
def test_invalid_input_is_reported_in_one_line_with_exit_code_2(
    arguments: tuple[str, ...], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    old = results.encode([{"kind": "total"}]).replace(b'"version":1', b'"version":0')
    Path("old.jsonl").write_bytes(old)
    Path("truncated.jsonl").write_text('{"kind": "to')
    result = run_command(*arguments)
    reports = [line for line in result.output.splitlines() if line.startswith("onyxpost: ")]
    assert result.exit_code == 2, result.output
    assert len(reports) == 1, result.output
    assert list(tmp_path.glob("*.part")) == []
