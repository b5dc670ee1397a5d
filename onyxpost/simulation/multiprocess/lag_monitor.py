"""Measures scheduling lag: delays that the machine causes, not an injected fault.

Lag of the simulation is lateness of its event loop, lag of a node is the time its process waits for a core.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.multiprocess.history import LagMeasured

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.run_context import RunContext

MIN_LAG_MS = 15.0  # smaller lags are not recorded
SAMPLE_INTERVAL_MS = 25.0


async def monitor_lag(context: RunContext) -> None:
    """Records scheduling lag until the task is cancelled."""
    waited_before_ms: dict[tuple[str, int], float] = {}
    while True:
        due_ms = context.now_ms() + SAMPLE_INTERVAL_MS
        await asyncio.sleep(SAMPLE_INTERVAL_MS / MS_PER_SECOND)
        loop_lag_ms = context.now_ms() - due_ms
        if loop_lag_ms > MIN_LAG_MS:
            context.record(LagMeasured(context.now_ms(), lag_ms=round(loop_lag_ms, 1)))
        _sample_processes(context, waited_before_ms)


def _sample_processes(context: RunContext, waited_before_ms: dict[tuple[str, int], float]) -> None:
    """Records how long each node's process has waited for a core since the previous sample."""
    processes = context.processes.group
    for name in filter(processes.is_running, context.node_names):
        incarnation = name, processes.incarnations[name]
        waited_ms = processes.run_queue_wait_ms(name)
        lag_ms = waited_ms - waited_before_ms.get(incarnation, waited_ms)
        waited_before_ms[incarnation] = waited_ms
        if lag_ms > MIN_LAG_MS:
            context.record(LagMeasured(context.now_ms(), lag_ms=round(lag_ms, 1), node=name))
