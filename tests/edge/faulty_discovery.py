"""Runs a watch on a discovery agent that has one fault for a limited time; on the virtual clock."""

from __future__ import annotations

import asyncio
import errno
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

from onyxpost.edge.messages import EndpointUpdate, EndpointUpdateFailed
from tests.edge.discovery_agents import (
    AGENT_ADDRESSES,
    FIRST_AGENT,
    SILENCE_SECONDS,
    encode_list,
    now_ms,
    run_watch,
)

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.edge.discovery_client import DiscoveryClient
    from onyxpost.simulation.virtual_time import Network

NEVER_MS = 1e9
FAULT_START_MS = 2500.0  # start of faults that are not present from the beginning
CHANGE_AFTER = 0.6  # fraction of the duration of the fault after which the endpoints change
RUN_AFTER_FAULT_MS = 9000.0
LATE_CONNECTION_SECONDS = 1.5
DRAINING_ENDPOINT = b'{"instanceId":"s0","hostPort":"h:1","lifecycle":"draining"}'


class Fault(Enum):
    """A fault of an agent, or of the connections to it."""

    SILENT = "silent"  # the agent sends nothing
    REFUSED = "refused"  # new connections are refused
    LATE = "late"  # new connections are established late
    OVERLOADED = "overloaded"  # polls are answered with status 503
    MALFORMED = "malformed"  # answers are malformed
    TRUNCATED = "truncated"  # answers are truncated
    RESET = "reset"  # connections are reset instead of an answer
    LOCAL_RESOURCES = "local resources"  # the node has no file descriptor left


class FaultTiming(Enum):
    """The state of a watch at which a fault begins."""

    START = "start"
    DURING_LONG_POLL = "during a long poll"
    DURING_ANSWER = "during an answer"
    BETWEEN_POLLS = "between two polls"
    AFTER_MOVE = "after a move"


CONNECTION_FAULTS = (Fault.REFUSED, Fault.LATE, Fault.LOCAL_RESOURCES)
"""Faults that affect only new connections."""

REACHED_FAULTS = (
    Fault.OVERLOADED,
    Fault.MALFORMED,
    Fault.TRUNCATED,
    Fault.RESET,
    Fault.LOCAL_RESOURCES,
)
"""Faults during which discovery is up, so that it may have a change."""


class Poll(NamedTuple):
    """A poll and the time at which it is due to be answered; times in ms."""

    received_at: float
    since: int
    due: float


class FaultyAgent:
    """An agent that has a change from `change_at` on, and a fault from `begins_at` to `ends_at` (ms).

    A poll that is open at any time during the fault never gets a valid answer, not even after the fault.

    Attributes:
        has_occurred: whether the fault has affected a poll or a connection.
        final_end_at: the end of the fault in ms, including a postponement.
    """

    def __init__(
        self, fault: Fault, timing: FaultTiming | None, begins_at: float, ends_at: float, change_at: float
    ) -> None:
        """Creates an agent; with a `timing` of None, the fault is not postponed."""
        self.fault = fault
        self.timing = timing
        self.begins_at = begins_at
        self.ends_at = ends_at
        self.change_at = change_at
        self.has_occurred = False
        self.final_end_at = ends_at
        # Whether the next answer closes its connection, so that the next poll needs a new one.
        self._closes_after_answer = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the polls of a connection until the fault affects it."""
        if self.fault is Fault.LATE and self.has_occurred:  # the late connection has no fault
            self.begins_at = NEVER_MS
            self.ends_at = NEVER_MS
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (OSError, EOFError):
                return
            poll = self._decode(head)
            if self.timing is FaultTiming.BETWEEN_POLLS and poll.received_at < self.begins_at <= poll.due:
                self._postpone_fault(poll.due)
            if poll.received_at < self.begins_at <= poll.due and self.timing is FaultTiming.DURING_ANSWER:
                await _sleep_until(self.begins_at)
                writer.write(self._answer(poll)[:-1])
                await self._fail(writer, has_begun=True)
                return
            if self.begins_at <= poll.due and poll.received_at < self.ends_at:
                await _sleep_until(self.begins_at)
                await self._fail(writer, has_begun=False)
                return
            await _sleep_until(poll.due)
            writer.write(self._answer(poll))
            if self._closes_after_answer:
                self._closes_after_answer = False
                writer.close()

    def _decode(self, head: bytes) -> Poll:
        received_at = now_ms()
        query = head.split(b" ")[1].partition(b"?")[2].decode()
        parameters = dict(part.split("=") for part in query.split("&")) if query else {}
        since = int(parameters.get("since", 0))
        due = received_at + float(parameters.get("timeout_ms", 0))
        if since == 0:
            due = received_at
        elif since == 1:
            due = max(received_at, min(due, self.change_at))
        return Poll(received_at, since, due)

    def _postpone_fault(self, answered_at: float) -> None:
        """Postpones the fault until after an answer, so that the next poll arrives during the fault."""
        delay_ms = answered_at + 0.001 - self.begins_at
        self.timing = None
        self.begins_at += delay_ms
        self.ends_at += delay_ms
        self.change_at += delay_ms
        self.final_end_at = self.ends_at
        self._closes_after_answer = self.fault in CONNECTION_FAULTS

    def _answer(self, poll: Poll) -> bytes:
        has_changed = now_ms() >= self.change_at
        endpoint = DRAINING_ENDPOINT if has_changed and poll.since < 2 else b""
        answer = encode_list(2 if has_changed else 1, endpoint)
        if self._closes_after_answer:
            answer = answer.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        return answer

    async def _fail(self, writer: asyncio.StreamWriter, *, has_begun: bool) -> None:
        """Applies the fault to a connection; `has_begun` is whether a part of an answer was sent."""
        if self.fault is Fault.LATE:
            await asyncio.sleep(SILENCE_SECONDS)
        self.has_occurred = True
        if self.fault is Fault.SILENT:
            await asyncio.sleep(SILENCE_SECONDS)
        elif self.fault is Fault.OVERLOADED and not has_begun:
            writer.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
            await asyncio.sleep(0.01)
        elif self.fault is Fault.MALFORMED:
            writer.write(b"}" if has_begun else b"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\n[]")
            await asyncio.sleep(0.01)
        elif self.fault is Fault.TRUNCATED and not has_begun:
            writer.write(self._answer(Poll(now_ms(), 1, now_ms()))[:-9])
        if self.fault is Fault.TRUNCATED:
            writer.close()
        else:
            writer.transport.abort()


class FaultRun(NamedTuple):
    """The observed effects of a fault; times in ms."""

    has_occurred: bool
    changes_at: list[float]  # times at which a change was posted
    stale_at: list[float]  # times at which the list was posted as stale
    fault_ended_at: float


def run_with_fault(fault: Fault, timing: FaultTiming, duration_ms: float, *, shared: bool) -> FaultRun:
    """Watches an agent whose endpoints change during a fault."""
    begins_at = 0.0 if timing is FaultTiming.START else FAULT_START_MS
    ends_at = begins_at + duration_ms
    faulty = FaultyAgent(fault, timing, begins_at, ends_at, begins_at + CHANGE_AFTER * duration_ms)
    agents = [faulty]
    if timing is FaultTiming.AFTER_MOVE:
        agents.insert(0, FaultyAgent(fault, None, NEVER_MS, NEVER_MS, NEVER_MS))
    faulty_index = len(agents) - 1

    async def scenario(discovery: DiscoveryClient, network: Network) -> None:
        loop = asyncio.get_running_loop()
        _inject_connection_faults(network, faulty, AGENT_ADDRESSES[faulty_index])
        if fault in CONNECTION_FAULTS and timing is not FaultTiming.BETWEEN_POLLS:
            loop.call_at(begins_at / 1000.0, network.reset_connections, f"agent{faulty_index}")
        discovery.start()
        if timing is FaultTiming.AFTER_MOVE:
            await asyncio.sleep(begins_at / 1000.0)
            discovery.change_address(AGENT_ADDRESSES[1])
        await _sleep_until(ends_at + RUN_AFTER_FAULT_MS)

    posted = run_watch(agents, scenario, replace(FIRST_AGENT, is_shared_service=shared)).posted
    return FaultRun(
        has_occurred=faulty.has_occurred or fault is Fault.REFUSED,
        changes_at=[at for at, event in posted if isinstance(event, EndpointUpdate) and event.endpoints],
        stale_at=[at for at, event in posted if isinstance(event, EndpointUpdateFailed) and event.is_stale],
        fault_ended_at=faulty.final_end_at,
    )


def _inject_connection_faults(network: Network, faulty: FaultyAgent, faulty_address: Address) -> None:
    """Makes new connections to the agent fail or be late during its fault."""
    original_dial = network.dial

    async def dial(host: str, address: Address, buffer_limit_bytes: int) -> Any:
        if address == faulty_address and faulty.begins_at <= now_ms() < faulty.ends_at:
            if faulty.fault is Fault.REFUSED:
                raise ConnectionRefusedError("no listener")
            if faulty.fault is Fault.LOCAL_RESOURCES:
                faulty.has_occurred = True
                raise OSError(errno.EMFILE, "too many open files")
            if faulty.fault is Fault.LATE:
                faulty.has_occurred = True
                await asyncio.sleep(LATE_CONNECTION_SECONDS)
        return await original_dial(host, address, buffer_limit_bytes)

    network.dial = dial  # type: ignore[method-assign]  # replaced for this instance only


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - now_ms()) / 1000.0)
