"""Faults of the environment `leadership` only: killed acceptors, and delayed fenced calls. I/O."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.multiprocess.fault_script import ACCEPTOR_COUNT
from onyxpost.simulation.multiprocess.leadership_traffic import RESOURCE
from onyxpost.simulation.multiprocess.link import LinkBehavior

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from onyxpost.simulation.multiprocess.fault_script import Fault
    from onyxpost.simulation.multiprocess.run_context import RunContext

POLL_SECONDS = 0.01
CALL_INTERVALS_TO_WAIT = 3.0  # timeout for a leader's next call, in call intervals
NEW_LEADER_TIMEOUT_SECONDS = 3.0  # timeout for calls of new leaders, once the pause has lasted its duration
DELIVERY_SECONDS = 0.05  # time for the delayed call to arrive before its leader is resumed
FIRST_FAULT_ID = 1_000_000  # ids of delayed calls on a link; above the indexes of all faults of a script


class LeadershipFaults:
    """Injects faults of acceptors and leaders.

    Args:
        context: the run's context.
        acceptors: the nodes with an acceptor.
        leaders: by role, the node whose fenced call was accepted last; changes during the run.
        chunks_sent: by node, the number of chunks of fenced calls sent; changes during the run.
    """

    def __init__(
        self,
        context: RunContext,
        acceptors: Sequence[str],
        leaders: Mapping[str, str],
        chunks_sent: Mapping[str, int],
    ) -> None:
        self.context = context
        self.acceptors = acceptors
        self.leaders = leaders
        self.chunks_sent = chunks_sent
        self.delayed_calls = 0

    async def kill_acceptors(self, fault: Fault, lease_ms: float) -> None:
        """Kills all acceptors except the target, and starts each one again after the fault's duration.

        The kills are spread over the fraction `intensity` of a lease.
        """
        spread_seconds = fault.intensity * lease_ms / MS_PER_SECOND
        await asyncio.gather(
            *(
                self._restart(node, spread_seconds * index / ACCEPTOR_COUNT, fault.duration_seconds)
                for index, node in enumerate(self.acceptors)
                if node != fault.target
            )
        )

    async def delay_fenced_call(self, fault: Fault, call_interval_ms: float) -> None:
        """Pauses a leader while the fault proxy holds one of its fenced calls.

        The held call is delivered once calls of other nodes have been accepted for all roles of the leader,
        or after a timeout. The leader is resumed only after that.
        """
        leader = fault.target
        processes = self.context.processes.group
        roles = [role for role, node in self.leaders.items() if node == leader]
        link = self.context.proxy.links.link(leader, RESOURCE)
        sent_before = self.chunks_sent.get(leader, 0)
        self.delayed_calls += 1
        fault_id = FIRST_FAULT_ID + self.delayed_calls
        link.start_fault(fault_id, LinkBehavior(stall=True))
        try:
            call_timeout_seconds = CALL_INTERVALS_TO_WAIT * call_interval_ms / MS_PER_SECOND
            await self._wait_until(
                lambda: self.chunks_sent.get(leader, 0) > sent_before, call_timeout_seconds
            )
            if processes.pause(leader):
                await asyncio.sleep(fault.duration_seconds)
                await self._wait_until(
                    lambda: all(self.leaders[role] != leader for role in roles), NEW_LEADER_TIMEOUT_SECONDS
                )
        finally:
            link.end_fault(fault_id)
            await asyncio.sleep(DELIVERY_SECONDS)
            processes.resume(leader)

    async def _restart(self, node: str, delay_seconds: float, down_seconds: float) -> None:
        await asyncio.sleep(delay_seconds)
        if await self.context.processes.group.kill(node):
            await asyncio.sleep(down_seconds)
            await self.context.processes.start(node)

    async def _wait_until(self, condition: Callable[[], bool], timeout_seconds: float) -> None:
        end_seconds = self.context.now_seconds() + timeout_seconds
        while not condition() and self.context.now_seconds() < end_seconds:  # noqa: ASYNC110 - any condition
            await asyncio.sleep(POLL_SECONDS)
