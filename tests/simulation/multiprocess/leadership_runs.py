"""Runs leader election with real processes, and repeats runs that are inconclusive.

Runs take place in real time. On a busy machine an election may take longer than the fault that requires it.
Such a run shows neither a violation nor that there is none, because it does not meet the precondition of its
test. It is repeated with all times longer, up to `MAX_RUNS` runs in all. The result of a run that meets the
precondition counts, whatever it is.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from onyxpost.simulation.multiprocess.fault_script import Fault, FaultScript, encode_script
from onyxpost.simulation.multiprocess.runner import MEMORY_FOLDER
from onyxpost.simulation.multiprocess.scenario_runner import HISTORY_FILE
from tests.simulation.multiprocess.history_file import read_history
from tests.simulation.multiprocess.run_script import INPUT_FILE, RESULT_FILE

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent

MAX_RUNS = 3  # with all times multiplied by 1, 2 and 3
NODES = 5
SEED = 3
STARTUP_TIMEOUT_SECONDS = 60.0


class ScriptFailedError(Exception):
    """A run ended without a result; the message contains the standard error of its processes."""


class LeadershipRun(NamedTuple):
    """A script and the precondition that its run must meet.

    Attributes:
        mutation: the injected mutation; empty for none.
        invariant: the invariant that must find the mutation; empty for none.
        lease_seconds: lease of the roles.
        seconds: duration of the run.
        faults: the faults of the script.
        is_conclusive: whether a run with this history and result line meets the precondition.
    """

    mutation: str
    invariant: str
    lease_seconds: float
    seconds: float
    faults: Sequence[Fault]
    is_conclusive: Callable[[Sequence[HistoryEvent], dict[str, Any]], bool]

    def scaled(self, factor: int) -> LeadershipRun:
        """Returns the same run with all times multiplied by the factor."""
        faults = [
            msgspec.structs.replace(
                fault,
                start_seconds=fault.start_seconds * factor,
                duration_seconds=fault.duration_seconds * factor,
            )
            for fault in self.faults
        ]
        return self._replace(
            lease_seconds=self.lease_seconds * factor, seconds=self.seconds * factor, faults=faults
        )


class RunOutcome(NamedTuple):
    """The result line of one run, and whether the run met the precondition."""

    result: dict[str, Any]
    was_conclusive: bool

    @property
    def violated_invariants(self) -> set[str]:
        """The names of the violated invariants."""
        return {violation["rule"] for violation in self.result["breaches"]}


def run_until_conclusive(run: LeadershipRun) -> list[RunOutcome]:
    """Repeats a run until it meets the precondition or finds the mutation, and returns all outcomes.

    There are at most `MAX_RUNS` outcomes, and the last one may be inconclusive.
    """
    outcomes: list[RunOutcome] = []
    for factor in range(1, MAX_RUNS + 1):
        outcomes.append(run_once(run.scaled(factor)))
        if outcomes[-1].was_conclusive or run.invariant in outcomes[-1].violated_invariants:
            break
    return outcomes


def run_once(run: LeadershipRun) -> RunOutcome:
    """Runs the script once, in its own process."""
    memory = MEMORY_FOLDER if MEMORY_FOLDER.is_dir() else None
    with tempfile.TemporaryDirectory(dir=memory) as name:
        folder = Path(name)
        scenario = folder / "scenario.toml"
        scenario.write_text(
            f'about = "leaders"\nstage = "leadership"\nlease_s = {run.lease_seconds}\nduties = 3\n'
        )
        script = FaultScript("scenario", SEED, NODES, run.seconds, sorted(run.faults), run.mutation)
        (folder / INPUT_FILE).write_bytes(encode_script(script))
        run_in_process(scenario, folder, run.seconds + STARTUP_TIMEOUT_SECONDS)
        result: dict[str, Any] = msgspec.json.decode((folder / RESULT_FILE).read_bytes())
        return RunOutcome(result, run.is_conclusive(read_history(folder / HISTORY_FILE), result))


def run_in_process(scenario: Path, folder: Path, timeout_seconds: float) -> None:
    """Runs the script in the folder in its own process.

    Raises:
        ScriptFailedError: the process failed or did not end in time; with the output of process and nodes.
    """
    command = [sys.executable, "-m", "tests.simulation.multiprocess.run_script", str(scenario), str(folder)]
    try:
        process = subprocess.run(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=timeout_seconds,
        )
    except subprocess.TimeoutExpired as error:
        raise ScriptFailedError(
            f"the run did not end within {timeout_seconds} s\n{node_errors(folder)}"
        ) from error
    if process.returncode != 0:
        raise ScriptFailedError(f"exit status {process.returncode}\n{process.stdout}{node_errors(folder)}")


def node_errors(folder: Path) -> str:
    """Returns what the nodes wrote to standard error, each text after the name of its file."""
    texts = {path.name: path.read_text(errors="replace") for path in sorted(folder.glob("*.err"))}
    return "".join(f"--- {name}\n{text}" for name, text in texts.items() if text)
