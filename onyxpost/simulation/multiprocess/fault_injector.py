"""Injects the faults of a script, each at its start time. I/O."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from onyxpost.simulation.multiprocess.fault_script import LINK_SEPARATOR, link_ends
from onyxpost.simulation.multiprocess.history import FaultStarted
from onyxpost.simulation.multiprocess.link_faults import affected_links, behavior_of

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.fault_script import Fault
    from onyxpost.simulation.multiprocess.run_context import RunContext
    from onyxpost.simulation.multiprocess.scenario_environment import Environment


class FaultInjector:
    """Injects the faults of one run.

    Attributes:
        injected: the number of faults started, by kind.
    """

    def __init__(self, context: RunContext, environment: Environment) -> None:
        self.context = context
        self.environment = environment
        self.injected: Counter[str] = Counter()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts a task for each fault of the script."""
        faults = enumerate(self.context.script.faults)
        self._tasks = [asyncio.create_task(self._run(index, fault)) for index, fault in faults]

    def cancel(self) -> None:
        """Cancels all faults; does not wait until they have ended."""
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Cancels all faults and waits until they have ended; raises the first exception of a fault."""
        self.cancel()
        for outcome in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome

    async def _run(self, index: int, fault: Fault) -> None:
        await self.context.sleep_until(fault.start_seconds)
        self.injected[fault.kind] += 1
        target = LINK_SEPARATOR.join(map(self.environment.resolve_target, link_ends(fault.target)))
        self.context.record(
            FaultStarted(
                self.context.now_ms(),
                index=index,
                kind=fault.kind,
                target=target,
                duration_seconds=fault.duration_seconds,
            )
        )
        await self._inject(index, msgspec.structs.replace(fault, target=target))

    async def _inject(self, index: int, fault: Fault) -> None:
        match fault.kind:
            case "stop":
                await self._pause(fault)
            case "kill":
                await self._kill(fault)
            case "term":
                await self._terminate(fault)
            case "all-killed":
                await self._kill_all(fault)
            case "reset":
                self.context.proxy.tcp.reset(*link_ends(fault.target))
            case "drain" | "slow" | "late-act" | "voters-killed":
                await self.environment.inject_fault(fault)
            case _:
                await self._impair_links(index, fault)

    async def _pause(self, fault: Fault) -> None:
        processes = self.context.processes.group
        if processes.pause(fault.target):
            await asyncio.sleep(fault.duration_seconds)
            processes.resume(fault.target)

    async def _kill(self, fault: Fault) -> None:
        processes = self.context.processes
        if await processes.group.kill(fault.target):
            await asyncio.sleep(fault.duration_seconds)
            await processes.start(fault.target)

    async def _terminate(self, fault: Fault) -> None:
        processes = self.context.processes
        if not processes.is_serving(fault.target):
            return  # a process that is still starting would not exit with 0
        await processes.group.terminate(fault.target)
        await asyncio.sleep(fault.duration_seconds)
        await processes.start(fault.target)

    async def _kill_all(self, fault: Fault) -> None:
        processes = self.context.processes
        await processes.kill_all()
        await asyncio.sleep(fault.duration_seconds)
        await processes.start_all()

    async def _impair_links(self, index: int, fault: Fault) -> None:
        context = self.context
        servers = [f"s{server}" for server in range(context.scenario.servers)]
        behavior = behavior_of(fault)
        links = [
            context.proxy.links.link(*ends) for ends in affected_links(fault, context.node_names, servers)
        ]
        for link in links:
            link.start_fault(index, behavior)
        await asyncio.sleep(fault.duration_seconds)
        for link in links:
            link.end_fault(index)
