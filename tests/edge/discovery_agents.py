"""Simulated discovery agents, and runs of a discovery client that watches them; on the virtual clock."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum
from math import inf
from random import Random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from onyxpost.edge.discovery_client import DiscoveryClient, DiscoveryOptions
from onyxpost.simulation.virtual_time import Network, run

if TYPE_CHECKING:
    from onyxpost.edge.messages import EdgeEvent
    from onyxpost.runtime.log_event import LogEvent

NODE_HOST = "n"
READ_SIZE_BYTES = 65536
MAX_ACCEPTS_PER_TURN = 16
SILENCE_SECONDS = 3600.0  # longer than any test
WATCH_EXPIRY_MS = 200.0  # time for which discovery keeps a watch without a poll
AGENT_ADDRESSES = [(f"a{index}", 1) for index in range(4)]
FIRST_AGENT = DiscoveryOptions(AGENT_ADDRESSES[0], generation=1, seed=7)

Scenario = Callable[[DiscoveryClient, Network], Awaitable[None]]


class ServingAgent(Protocol):
    """An agent to which a discovery client can connect."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves a connection until it ends."""


class Poll(NamedTuple):
    """A poll that the agent has received."""

    at: float  # ms
    long_poll_ms: float


class PostedEvent(NamedTuple):
    """An event that the discovery client has posted."""

    at: float  # ms
    event: EdgeEvent


class WatchRun(NamedTuple):
    """A discovery client after its run, with the events that it has posted and logged."""

    discovery: DiscoveryClient
    posted: list[PostedEvent]
    log: list[LogEvent]

    def events(self) -> list[EdgeEvent]:
        return [posted.event for posted in self.posted]

    def log_events(self) -> list[str]:
        return [entry.event for entry in self.log]


class Agent:
    """Answers polls at the end of the long poll, or with a change from `change_at` (ms) on.

    From `silent_at` (ms) on, connections that were opened before get no answer, or with `truncated` an answer
    without its last byte. Polls on newer connections are answered. With an `ending`, answers have no length
    and each ends its connection.
    """

    def __init__(self, silent_at: float = inf, truncated: bool = False, ending: Ending | None = None) -> None:
        self.silent_at = silent_at
        self.truncated = truncated
        self.ending = ending
        self.change_at = inf
        self.status = 200
        self.polls: list[Poll] = []
        self.has_fallen_silent = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened_at = now_ms()
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (OSError, EOFError):
                return
            long_poll_ms = 0.0
            if b"timeout_ms" in head:
                long_poll_ms = float(head.split(b"timeout_ms=")[1].split(b" ")[0])
            self.polls.append(Poll(now_ms(), long_poll_ms))
            await self.wait_for_change(head, long_poll_ms)
            answer = self.answer()
            if now_ms() >= self.silent_at >= opened_at:
                self.has_fallen_silent = True
                writer.write(answer[: -1 if self.truncated else 0])
                await asyncio.sleep(SILENCE_SECONDS)
            writer.write(answer)
            if self.ending is not None:
                end_connection(writer, self.ending)
                return

    async def wait_for_change(self, head: bytes, long_poll_ms: float) -> None:
        knows_the_change = b"since=2" in head
        knows_the_first_list = b"since=1" in head
        if not (knows_the_change or (knows_the_first_list and now_ms() < self.change_at)):
            return
        end = now_ms() + long_poll_ms
        if knows_the_first_list and self.change_at < end:
            end = self.change_at
        await asyncio.sleep(max(0.0, end - now_ms()) / 1000.0)

    def answer(self) -> bytes:
        changed = now_ms() >= self.change_at
        endpoint = b'{"instanceId":"s0","hostPort":"h:1","lifecycle":"draining"}' if changed else b""
        answer = encode_list(1 + changed, endpoint, status=self.status)
        return answer if self.ending is None else without_length(answer)


class Ending(Enum):
    """How an agent ends a connection."""

    END_OF_STREAM = "end of stream"
    RESET = "reset"


def end_connection(writer: asyncio.StreamWriter, ending: Ending) -> None:
    if ending is Ending.RESET:
        writer.transport.abort()
    else:
        writer.close()


def without_length(answer: bytes) -> bytes:
    """Returns an answer without its header Content-Length."""
    return re.sub(rb"Content-Length: \d+\r\n", b"", answer)


def encode_list(
    generation: int, endpoint: bytes = b"", *, complete: bool = False, status: int = 200
) -> bytes:
    reset = b"true" if complete else b"false"
    body = b'{"generation":%d,"reset":%s,"instances":[%s]}' % (generation, reset, endpoint)
    return b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


def now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0


def run_watch(
    agents: Sequence[ServingAgent], scenario: Scenario, options: DiscoveryOptions = FIRST_AGENT
) -> WatchRun:
    """Runs a scenario with a client that it has to start; the agents listen at `AGENT_ADDRESSES`."""

    async def main() -> WatchRun:
        network = Network(Random(1))
        posted: list[PostedEvent] = []
        log: list[LogEvent] = []
        for index, agent in enumerate(agents):
            host = network.host(f"agent{index}")
            await host.listen(agent.serve, AGENT_ADDRESSES[index], READ_SIZE_BYTES, MAX_ACCEPTS_PER_TURN)
        discovery = DiscoveryClient(
            network.host(NODE_HOST),
            options,
            lambda event: posted.append(PostedEvent(now_ms(), event)),
            log.append,
        )
        await scenario(discovery, network)
        discovery.close()
        return WatchRun(discovery, posted, log)

    return run(main())
