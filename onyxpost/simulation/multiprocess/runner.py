"""Runs a script in a temporary folder, stops cleanly on a signal, and keeps failed runs. I/O."""

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

MEMORY_FOLDER = Path("/dev/shm")  # keeps delays of a slow disk out of the run


def run_script(scenario: Scenario, script: FaultScript, kept: Path | None = None) -> RunResult:
    """Runs a script with real processes.

    Args:
        scenario: the scenario, with the number of nodes and duration of the script.
        script: the faults and the seed.
        kept: the folder for script, history, files and logs of a run that violated an invariant or could not
            start a process; None keeps nothing.

    Raises:
        ProcessNotReadyError: a process did not listen in time.
        KeyboardInterrupt: SIGINT or SIGTERM was received; all processes have ended.
    """
    memory = MEMORY_FOLDER if MEMORY_FOLDER.is_dir() else None
    with tempfile.TemporaryDirectory(prefix="onyxpost-", dir=memory) as name:
        folder = Path(name)
        try:
            result = asyncio.run(_run_until_signal(scenario, script, folder))
        except ProcessNotReadyError:
            _keep_run(folder, kept, script)
            raise
        if result is None:
            raise KeyboardInterrupt
        if result.violations:
            _keep_run(folder, kept, script)
        return result


def kept_folder(kept: Path, script: FaultScript) -> Path:
    """Returns the folder below `kept` in which a failed run of the script is kept."""
    return kept / f"{script.scenario}-{script.seed}"


async def _run_until_signal(scenario: Scenario, script: FaultScript, folder: Path) -> RunResult | None:
    """Returns the result, or None after SIGINT or SIGTERM; all processes have ended then."""
    task = asyncio.create_task(ScenarioRunner(scenario, script, folder).run())
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return None


def _keep_run(folder: Path, kept: Path | None, script: FaultScript) -> None:
    if kept is None:
        return
    target = kept_folder(kept, script)
    shutil.rmtree(target, ignore_errors=True)
    target.mkdir(parents=True)
    for path in folder.iterdir():
        (target / path.name).write_bytes(path.read_bytes())
