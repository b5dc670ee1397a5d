"""Runs a scenario once: start, faults and load, recovery, shutdown, check. I/O."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import msgspec

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.multiprocess.checker import check_history
from onyxpost.simulation.multiprocess.environments import create_environment
from onyxpost.simulation.multiprocess.fault_injector import FaultInjector
from onyxpost.simulation.multiprocess.fault_script import encode_script
from onyxpost.simulation.multiprocess.history import HistoryRecord, LagMeasured
from onyxpost.simulation.multiprocess.lag_monitor import monitor_lag
from onyxpost.simulation.multiprocess.node_log import read_node_logs
from onyxpost.simulation.multiprocess.run_context import RunContext
from onyxpost.simulation.multiprocess.run_result import RunResult

if TYPE_CHECKING:
    from pathlib import Path

    from onyxpost.simulation.multiprocess.fault_script import FaultScript
    from onyxpost.simulation.multiprocess.history import HistoryEvent
    from onyxpost.simulation.multiprocess.scenario import Scenario

RECOVERY_SECONDS = 1.0  # time without faults before all nodes are terminated
POLL_SECONDS = 0.02
SCRIPT_FILE = "script.json"
HISTORY_FILE = "events.jsonl"


class ScenarioRunner:
    """Runs a script once, and writes the nodes' files and logs, the script and the history to the folder."""

    def __init__(self, scenario: Scenario, script: FaultScript, folder: Path) -> None:
        self.script = script
        self.folder = folder
        self.context = RunContext(scenario, script, folder)
        self.environment = create_environment(self.context)
        self.injector = FaultInjector(self.context, self.environment)

    async def run(self) -> RunResult:
        """Runs the script, and checks the history.

        Raises:
            ProcessNotReadyError: a process did not listen in time.
        """
        lag_monitor: asyncio.Task[None] | None = None
        try:
            await self._start_nodes()
            lag_monitor = asyncio.create_task(monitor_lag(self.context))
            self.injector.start()
            await self.environment.run_load(self.script.seconds)
            await self.context.sleep_until(self.script.seconds)
            await self._recover()
            await self.context.processes.terminate_all()
            return self._check()
        finally:
            # Errors that the event loop reports from here on are caused by the shutdown itself.
            asyncio.get_running_loop().set_exception_handler(_ignore_error)
            if lag_monitor is not None:
                lag_monitor.cancel()
            self.injector.cancel()
            await self.context.processes.group.kill_all()
            await self.environment.close()
            await self.context.close()

    async def _start_nodes(self) -> None:
        await self.environment.open()
        try:
            async with asyncio.TaskGroup() as group:
                for name in self.context.node_names:
                    group.create_task(self.context.processes.start(name))
        except ExceptionGroup as group_error:
            raise group_error.exceptions[0] from None
        self.context.start_clock()

    async def _recover(self) -> None:
        """Ends all faults, starts nodes that were killed, and waits for `RECOVERY_SECONDS` without faults."""
        processes = self.context.processes
        while processes.group.terminating:  # noqa: ASYNC110 - ends within the stop timeout
            await asyncio.sleep(POLL_SECONDS)
        await self.injector.stop()
        self.context.proxy.links.heal()
        for name in self.context.node_names:
            processes.group.resume(name)
        await processes.start_all()
        await asyncio.sleep(RECOVERY_SECONDS)

    def _check(self) -> RunResult:
        records = self._history()
        events = [record.event for record in records if record.event is not None]
        violations = check_history(events, self.environment.invariants(), self.script.seed)
        (self.folder / SCRIPT_FILE).write_bytes(encode_script(self.script))
        lines = b"".join(msgspec.json.encode(record.line) + b"\n" for record in records)
        (self.folder / HISTORY_FILE).write_bytes(lines)
        return RunResult(
            self.script,
            violations,
            self.environment.count(events),
            dict(sorted(self.injector.injected.items())),
            max((event.lag_ms for event in events if isinstance(event, LagMeasured)), default=0.0),
        )

    def _history(self) -> list[HistoryRecord]:
        """Returns the records of the simulation and of the nodes' logs, in order of time."""
        unix_offset_ms = (time.time() - time.monotonic()) * MS_PER_SECOND
        started_at_ms = self.context.started_at_seconds * MS_PER_SECOND
        recorded = [HistoryRecord(_to_line(event), event) for event in self.context.events]
        logged = read_node_logs(self.folder, started_at_ms, unix_offset_ms)
        return sorted(recorded + logged, key=lambda record: float(record.line["t"]))


def _to_line(event: HistoryEvent) -> dict[str, Any]:
    line: dict[str, Any] = msgspec.to_builtins(event)
    return line


def _ignore_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Ignores an error that the event loop reports."""
