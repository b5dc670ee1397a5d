"""Runs of leader election with real processes that are repeated until they gave the occasion for a judgement.

A run takes place in real time. On a busy machine an election may take longer than the fault that calls for
it, and then the run shows nothing: neither a violation nor that there is none. Such a run is repeated with
all times longer, at most `MAX_ATTEMPTS` times in all. One that gave the occasion is judged as it is.
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

MAX_ATTEMPTS = 3  # with all times multiplied by 1, 2, 3
NODES = 5
SEED = 3
STARTUP_TIMEOUT_SECONDS = 60.0


class ScriptFailedError(Exception):
    """A run ended without a result; the message has what its processes wrote to standard error."""


class LeadershipRun(NamedTuple):
    """A script and the occasion that it must give.

    Attributes:
        mutation: that is injected; empty: none.
        invariant: that must find the mutation; empty: none.
        lease_seconds: of the roles.
        seconds: duration.
        faults: the script.
        has_occasion: whether a history and the result line of the run can be judged.
    """

    mutation: str
    invariant: str
    lease_seconds: float
    seconds: float
    faults: Sequence[Fault]
    has_occasion: Callable[[Sequence[HistoryEvent], dict[str, Any]], bool]

    def stretched(self, factor: int) -> LeadershipRun:
        """The same run with all times multiplied."""
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


class Attempt(NamedTuple):
    """One run: its result line, and whether it gave the occasion."""

    result: dict[str, Any]
    had_occasion: bool

    @property
    def violated_invariants(self) -> set[str]:
        """Names of the invariants that were violated."""
        return {violation["rule"] for violation in self.result["breaches"]}


def run_until_occasion(run: LeadershipRun) -> list[Attempt]:
    """Returns all attempts; the last gave the occasion or found the mutation, or they were `MAX_ATTEMPTS`."""
    attempts: list[Attempt] = []
    for factor in range(1, MAX_ATTEMPTS + 1):
        attempts.append(run_once(run.stretched(factor)))
        if attempts[-1].had_occasion or run.invariant in attempts[-1].violated_invariants:
            break
    return attempts


def run_once(run: LeadershipRun) -> Attempt:
    """Runs the script in a process of its own."""
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
        return Attempt(result, run.has_occasion(read_history(folder / HISTORY_FILE), result))


def run_in_process(scenario: Path, folder: Path, timeout_seconds: float) -> None:
    """Runs the script of the folder in a process of its own.

    Raises:
        ScriptFailedError: the process failed or did not end in time; with what it and its nodes wrote.
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
        raise ScriptFailedError(f"no end in {timeout_seconds} s\n{node_errors(folder)}") from error
    if process.returncode != 0:
        raise ScriptFailedError(f"exit status {process.returncode}\n{process.stdout}{node_errors(folder)}")


def node_errors(folder: Path) -> str:
    """What the nodes wrote to standard error, each text with the name of its file."""
    texts = {path.name: path.read_text(errors="replace") for path in sorted(folder.glob("*.err"))}
    return "".join(f"--- {name}\n{text}" for name, text in texts.items() if text)
