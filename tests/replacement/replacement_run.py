"""Replaces processes by new ones at the same address, under requests that must not run twice.

`python -m tests.replacement.replacement_run CASE --seeds 0-4` plays a case and prints a line for each seed.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import tempfile
import time
from collections import Counter
from enum import StrEnum
from pathlib import Path
from random import Random, SystemRandom
from time import monotonic
from typing import TYPE_CHECKING, Any, NamedTuple

import h11

from onyxpost.core.types import EndpointState
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.runtime.socket_transport import SocketTransport
from onyxpost.simulation.free_ports import ANY_PORT, find_restartable_ports
from onyxpost.simulation.http_client import HttpClient, RequestFields, outcome_of
from onyxpost.simulation.settings import DEPLOYMENT_SETTINGS
from onyxpost.simulation.stubs import AppServer, DiscoveryAgent
from onyxpost.simulation.stubs.observer import AttemptKey, ServerIdentity
from tests.memory.memory_run import running_node

if TYPE_CHECKING:
    from onyxpost.simulation.stubs.discovery_agent import EndpointsResponse

SERVER_COUNT = 5
RATE_PER_SECOND = 60.0
REPLACE_EVERY_SECONDS = 0.4
DISCOVERY_DELAY_SECONDS = 0.3
TIMEOUT_MS = 1_200.0
ANSWER_SLACK_SECONDS = 0.55
# After a change that discovery's new process knows, the old servers may get attempts for this long.
KNOWN_AFTER_SECONDS = 6.0
DRAIN_GRACE_SECONDS = 0.15


class Case(StrEnum):
    """What is replaced at its address."""

    SERVERS = "servers"  # app servers by others, of the other zone
    AGENT = "agent"  # discovery's agent by one that counts its generations anew


class ReplacementResult(NamedTuple):
    """What was seen in one run.

    Attributes:
        outcomes: number of requests by outcome.
        violations: what must not happen, in words.
        replacements: number of processes that were replaced.
    """

    outcomes: Counter[str]
    violations: list[str]
    replacements: int


class Executions:
    """Observes which server executed which request; implements `RequestObserver`."""

    def __init__(self) -> None:
        self.by_trace: dict[str, list[ServerIdentity]] = {}
        self.latest_by_server: dict[str, float] = {}
        self.writers: dict[str, set[asyncio.StreamWriter]] = {}

    def on_attempt_received(
        self, writer: asyncio.StreamWriter, trace_id: str, server: ServerIdentity
    ) -> AttemptKey:
        self.by_trace.setdefault(trace_id, []).append(server)
        self.latest_by_server[server.id] = monotonic()
        self.writers.setdefault(server.id, set()).add(writer)
        return AttemptKey(server.id, len(self.by_trace[trace_id]) - 1)

    def on_attempt_not_executed(self, attempt: AttemptKey, trace_id: str) -> None:
        self.by_trace[trace_id].pop()

    def on_endpoints_sent(self, node_index: int, rows: list[dict[str, Any]]) -> None:
        pass


class RestartedAgent(DiscoveryAgent):
    """An agent that answers a watch for a generation that it does not know with the whole list."""

    async def wait_for_update(self, head: bytes) -> EndpointsResponse:
        since = int(head.split(b"since=")[1].split(b"&")[0]) if b"since=" in head else 0
        return await super().wait_for_update(
            head.replace(b"since", b"from") if since > self.generation else head
        )


class ReplacementRun:
    """One run: app servers, discovery's agent, requests, and what replaces them."""

    def __init__(self, case: Case, seed: int, seconds: float) -> None:
        self.case = case
        self.seconds = seconds
        self.rng = Random(seed)
        self.executions = Executions()
        self.transport = SocketTransport()
        self.servers: list[AppServer] = []
        self.agent = DiscoveryAgent(self.transport, self.executions, 0, ANY_PORT)
        self.outcomes: Counter[str] = Counter()
        self.violations: list[str] = []
        self.replacements = 0
        self.request_count = 0

    async def run(self) -> ReplacementResult:
        """Plays the run on a real edge node."""
        for index in range(SERVER_COUNT):
            server = self._new_server(index, 0, ANY_PORT)
            await self._open(server)
            self.servers.append(server)
        await self._open_agent()
        for server in self.servers:
            self.agent.update_endpoint(server.endpoint_row())
        self.agent.generation += 1000
        port = find_restartable_ports(1, SystemRandom())[0]
        with tempfile.TemporaryDirectory() as folder:
            async with running_node(self._node_fields(port), Path(folder)):
                sending = asyncio.create_task(self._send_all(port))
                await self._replace_all()
                await sending
        self._check_executions()
        for server in self.servers:
            self._close(server)
        self._close_agent()
        return ReplacementResult(self.outcomes, self.violations, self.replacements)

    def _node_fields(self, port: int) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": "{}:{}".format(*self.agent.address),
            "seed": f"{self.rng.getrandbits(32):x}",
            "known": {"generation": self.agent.generation, "instances": list(self.agent.endpoints.values())},
            "settings": DEPLOYMENT_SETTINGS | {"ordinal": 0, "n_instances": 1},
        }

    # Processes

    def _new_server(self, index: int, incarnation: int, address: tuple[str, int]) -> AppServer:
        zone = "ab"[(index + incarnation) % 2]
        server = AppServer(self.transport, self.executions, index, incarnation, address, zone)
        server.latency_ms = 40.0
        return server

    async def _open(self, server: AppServer) -> None:
        await server.open()
        assert server.listener is not None
        server.address = server.listener.sockets[0].getsockname()

    def _close(self, server: AppServer) -> None:
        """Closes the listener of a server and resets its connections, as the death of its process does."""
        assert server.listener is not None
        server.listener.close()
        for writer in self.executions.writers.pop(server.id, ()):
            writer.transport.abort()

    async def _open_agent(self) -> None:
        await self.agent.open()
        assert self.agent.listener is not None
        self.agent.address = self.agent.listener.sockets[0].getsockname()

    def _close_agent(self) -> None:
        assert self.agent.listener is not None
        self.agent.listener.close()
        for writer in list(self.agent.writers):
            writer.transport.abort()

    async def _replace_all(self) -> None:
        replace = self._replace_server if self.case is Case.SERVERS else self._replace_agent
        until = monotonic() + self.seconds
        pending = []
        while monotonic() < until:
            await asyncio.sleep(REPLACE_EVERY_SECONDS if self.case is Case.SERVERS else self.seconds / 3)
            pending.append(asyncio.create_task(replace()))
            self.replacements += 1
        await asyncio.gather(*pending)

    async def _replace_server(self) -> None:
        index = self.rng.randrange(SERVER_COUNT)
        old = self.servers[index]
        new = self._new_server(index, old.incarnation + 1, old.address)
        new.started_at_ms = time.time() * MS_PER_SECOND
        self.servers[index] = new
        self._close(old)
        await self._open(new)
        await asyncio.sleep(DISCOVERY_DELAY_SECONDS)
        old.state = EndpointState.GONE
        self.agent.update_endpoint(old.endpoint_row())
        self.agent.update_endpoint(new.endpoint_row())

    async def _replace_agent(self) -> None:
        """Replaces the agent by one with a lower generation, whose list lacks a server that still answers."""
        self._close_agent()
        address = self.agent.address
        removed = self.rng.choice([row for row in self.agent.endpoints if len(self.agent.endpoints) > 2])
        rows = [row for row in self.agent.endpoints.values() if row["instanceId"] != removed]
        self.agent = RestartedAgent(self.transport, self.executions, 0, address)
        await self._open_agent()
        for row in rows:
            self.agent.update_endpoint(row)
        known_at = monotonic() + KNOWN_AFTER_SECONDS + DRAIN_GRACE_SECONDS
        await asyncio.sleep(KNOWN_AFTER_SECONDS + 2.0)
        if self.executions.latest_by_server.get(removed, 0.0) > known_at:
            self.violations.append(f"{removed} got a request though the new agent does not list it")

    # Requests

    async def _send_all(self, port: int) -> None:
        extra_seconds = KNOWN_AFTER_SECONDS + 2.0 if self.case is Case.AGENT else 1.0
        until = monotonic() + self.seconds + extra_seconds
        tasks = []
        while monotonic() < until:
            self.request_count += 1
            tasks.append(asyncio.create_task(self._send(port, self.request_count)))
            await asyncio.sleep(1.0 / RATE_PER_SECOND)
        await asyncio.gather(*tasks)

    async def _send(self, port: int, number: int) -> None:
        frontend = ("look", "post", "pay")[number % 3]
        trace_id = f"{frontend}-{number}"
        fields = RequestFields(trace_id, "open", number % 50, 900.0 if frontend == "look" else TIMEOUT_MS, 1)
        headers = fields.headers()
        if frontend != "look":
            headers.append(("Content-Length", "0"))
        if frontend == "post":
            headers.append(("Idempotency-Key", trace_id))
        method = "GET" if frontend == "look" else "POST"
        request = h11.Request(method=method, target=f"/{frontend}/{number}", headers=headers)
        outcome = "lost"
        with contextlib.suppress(OSError, h11.ProtocolError, TimeoutError):
            async with asyncio.timeout(fields.timeout_ms / MS_PER_SECOND + ANSWER_SLACK_SECONDS):
                client = await HttpClient.connect(("127.0.0.1", port))
                answer = await client.exchange(request)
                client.close()
                outcome = outcome_of(answer.status)
                if answer.status == 200 and answer.body != b"page of " + trace_id.encode():
                    self.violations.append(f"{trace_id} got the answer of another request")
        self.outcomes[outcome] += 1
        if outcome == "lost":
            self.violations.append(f"{trace_id} got no answer")
        if outcome == "denied" and frontend == "pay" and self.executions.by_trace.get(trace_id):
            self.violations.append(f"{trace_id} was rejected though it ran")

    def _check_executions(self) -> None:
        for trace_id, servers in self.executions.by_trace.items():
            is_fragile = trace_id.startswith("pay")
            is_keyed = trace_id.startswith("post")
            if is_fragile and len(servers) > 1:
                self.violations.append(f"{trace_id} ran {len(servers)} times")
            if is_keyed and len({server.zone for server in servers}) > 1:
                names = ", ".join(f"{server.id} in {server.zone}" for server in servers)
                self.violations.append(f"{trace_id} ran in two zones: {names}")


def play(case: Case, seed: int, seconds: float) -> ReplacementResult:
    """Plays one run."""
    return asyncio.run(ReplacementRun(case, seed, seconds).run())


def main() -> None:
    """Plays a case for some seeds, and prints a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("case", type=Case)
    parser.add_argument("--seeds", default="0-4")
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    for seed in range(int(first), int(last or first) + 1):
        result = play(options.case, seed, options.seconds)
        print(seed, result.replacements, dict(result.outcomes), result.violations[:10], flush=True)


if __name__ == "__main__":
    main()
