"""`onyxpost simulate processes`: exit codes, errors for invalid input, and old names."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from onyxpost.simulation.multiprocess.leadership_mutations import LEADERSHIP_MUTATIONS, current_name

pytestmark = pytest.mark.xdist_group("quiet")  # many processes would disturb tests that measure time

COMMAND = [sys.executable, "-m", "onyxpost", "simulate", "processes"]


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs the command, and returns its exit code and output."""
    return subprocess.run([*COMMAND, *arguments], capture_output=True, text=True, timeout=60.0)


def test_interrupted_command_exits_130_and_leaves_no_process() -> None:
    with subprocess.Popen([*COMMAND, "edge-cuts", "--nodes", "3"], stderr=subprocess.PIPE) as command:
        children = Path(f"/proc/{command.pid}/task/{command.pid}/children")
        deadline_seconds = time.monotonic() + 20.0
        process_ids: list[str] = []
        while len(process_ids) < 3 and time.monotonic() < deadline_seconds:
            process_ids = children.read_text().split()
            time.sleep(0.02)
        command.send_signal(signal.SIGINT)
        _, errors = command.communicate(timeout=20.0)
    assert (command.returncode, len(process_ids)) == (130, 3)
    assert errors == b"interrupted: 0 of 1 seeds were finished\n"
    for process_id in process_ids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(int(process_id), 0)
            pytest.fail(f"process {process_id} is still running after the command was interrupted")


def test_option_out_of_range_is_refused_in_one_line_with_exit_2() -> None:
    refusal = run_command("edge-cuts", "--nodes", "99")
    assert (refusal.returncode, refusal.stderr.count("\n")) == (2, 1)
    assert "99 nodes given, expected 1 to 64 (name a shipped scenario" in refusal.stderr


def test_unknown_mutation_is_refused_with_the_known_ones() -> None:
    refusal = run_command("edge-cuts", "--mutation", "nothing")
    assert (refusal.returncode, refusal.stderr.count("\n")) == (2, 1)
    assert "unknown mutation 'nothing'; known are " in refusal.stderr
    for mutation in LEADERSHIP_MUTATIONS:
        assert mutation in refusal.stderr


def test_mutation_of_leadership_is_refused_where_no_roles_are_led() -> None:
    refusal = run_command("edge-cuts", "--mutation", "ignore-lease-expiry")
    assert refusal.returncode == 2
    assert "'ignore-lease-expiry' needs the environment 'leadership', not 'edge'" in refusal.stderr


@pytest.mark.parametrize(
    ("arguments", "old", "current"),
    [
        (["duties-cuts"], "duties-cuts", "leadership-cuts"),
        (["leadership-cuts", "--mutation", "careless"], "careless", "ignore-fencing-tokens"),
        (
            ["leadership-cuts", "--plant", "ignore-fencing-tokens"],
            "simulate processes --plant",
            "simulate processes --mutation",
        ),
        (
            ["duties-cuts", "--plant", "careless"],
            "simulate processes --plant",
            "simulate processes --mutation",
        ),
    ],
)
def test_old_spellings_are_accepted_and_reported_in_one_line(
    arguments: list[str], old: str, current: str
) -> None:
    refusal = run_command(*arguments, "--nodes", "99")
    assert refusal.returncode == 2
    warning, reason = refusal.stderr.splitlines()
    assert warning == f"onyxpost: '{old}' is deprecated, use '{current}'"
    assert "99 nodes" in reason


@pytest.mark.parametrize(
    ("old_name", "name"),
    [
        ("careless", "ignore-fencing-tokens"),
        ("forgets", "vote-without-recovery"),
        ("overstays", "ignore-lease-expiry"),
        ("begins-anew", "drop-committed-record"),
        ("deaf-to-drains", "deaf-to-drains"),
    ],
)
def test_old_name_of_a_mutation_means_the_present_one(old_name: str, name: str) -> None:
    assert current_name(old_name) == name
