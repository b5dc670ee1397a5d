"""Runs a script in a folder of its own, ends it cleanly on a signal, and keeps failing runs. I/O."""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from onyxpost.simulation.multiprocess.errors import ProcessNotReadyError
from onyxpost.simulation.multiprocess.scenario_runner import ScenarioRunner

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.fault_script import FaultScript
    from onyxpost.simulation.multiprocess.run_result import RunResult
    from onyxpost.simulation.multiprocess.scenario import Scenario

MEMORY_FOLDER = Path("/dev/shm")  # a slow disk is none of the faults


def run_script(scenario: Scenario, script: FaultScript, kept: Path | None = None) -> RunResult:
    """Runs a script with real processes.

    Args:
        scenario: with the size of the script.
        script: the faults.
        kept: where script, history, files and logs stay if an invariant was violated; None: nowhere.

    Raises:
        ProcessNotReadyError: a process does not listen in time.
        KeyboardInterrupt: SIGINT or SIGTERM arrived; no process is left.
    """
    memory = MEMORY_FOLDER if MEMORY_FOLDER.is_dir() else None
    with tempfile.TemporaryDirectory(prefix="onyxpost-", dir=memory) as name:
        folder = Path(name)
        try:
            result = asyncio.run(_run_until_signal(scenario, script, folder))
        except ProcessNotReadyError:
            _keep(folder, kept, script)
            raise
        if result is None:
            raise KeyboardInterrupt
        if result.violations:
            _keep(folder, kept, script)
        return result


def kept_folder(kept: Path, script: FaultScript) -> Path:
    """Returns the folder below `kept` in which a run of the script stays."""
    return kept / f"{script.scenario}-{script.seed}"


async def _run_until_signal(scenario: Scenario, script: FaultScript, folder: Path) -> RunResult | None:
    """Returns None after a signal; all processes are gone then."""
    task = asyncio.create_task(ScenarioRunner(scenario, script, folder).run())
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return None


def _keep(folder: Path, kept: Path | None, script: FaultScript) -> None:
    if kept is None:
        return
    target = kept_folder(kept, script)
    shutil.rmtree(target, ignore_errors=True)
    target.mkdir(parents=True)
    for path in folder.iterdir():
        (target / path.name).write_bytes(path.read_bytes())
