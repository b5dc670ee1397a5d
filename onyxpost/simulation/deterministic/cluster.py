"""A small installation on the virtual clock: whole edge nodes, app servers, discovery, clients, the rules.

Everything but the edge nodes is a stand-in of ours that speaks the published protocol. Whatever happens is
told to the rules checker at the moment in which it happens.
"""

from __future__ import annotations

import asyncio
import contextlib
from random import Random
from typing import Any

import h11

from onyxpost.core.types import Idempotency
from onyxpost.edge.messages import LIFECYCLE_STATES
from onyxpost.node import config as nodes
from onyxpost.node.edge_node import EdgeNode
from onyxpost.node.node_config import NodeConfig
from onyxpost.runtime.http1 import encode_message
from onyxpost.simulation.deterministic.discovery_agent import FailingAgent
from onyxpost.simulation.invariants import ANSWERS, InvariantChecker
from onyxpost.simulation.invariants.endpoint_knowledge import COUNTS
from onyxpost.simulation.settings import SETTINGS as SETTINGS
from onyxpost.simulation.settings import SLOW_CONNECT_SETTINGS as SLOW_CONNECT_SETTINGS
from onyxpost.simulation.stubs import AppServer, AttemptKey, ServerIdentity
from onyxpost.simulation.virtual_time import EPOCH, Hosted, Network

# Servers as small as the load: 5 calls a second each, of which 4 are allowed in a second once it has started.
CALL, CAPACITY = 20.0, 0.1  # ms of work of a call; ms of work in one ms
MOVED = 4000.0  # ms after SIGHUP from which on what the new agent holds counts
SLACK = 60.0  # ms beside each limit: the protocol's 50 and the way of a message
LARGEST = 3
ZONES = ("a", "b")


class Lines:
    """A node's log: an exception in it is a failure of the run."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.cluster, self.name = cluster, name

    def write(self, at: float, event: str, fields: dict[str, Any], level: int = 0) -> None:
        self.cluster.logged.append((round(at - EPOCH, 3), self.name, event))
        if event in ("fault", "overdue"):
            cause = str(fields.get("cause", fields.get("request", "")))[-300:]
            self.cluster.checker.record_violation(ANSWERS, at - EPOCH, self.name, "", "", f"{event}: {cause}")


class Edge:
    """One edge node's place: its lives follow each other at one address."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        self.cluster, self.number, self.name = cluster, number, f"n{number}"
        self.listen, self.peer = (f"10.0.0.{number}", 8081), (f"10.3.0.{number}", 7946)
        self.agents = [
            FailingAgent(cluster.net.host(f"agent{number}"), cluster, number, (f"10.2.{at}.{number}", 8500))
            for at in (0, 1)
        ]
        self.agent = 0
        self.life = 0
        self.program: EdgeNode | None = None
        self.task: asyncio.Task[int] | None = None
        self.net: Hosted

    def told(self) -> NodeConfig:
        settings = self.cluster.settings | {"ordinal": self.number, "n_instances": len(self.cluster.edges)}
        return nodes.decode(
            {
                "name": self.name,
                "listen": "{}:{}".format(*self.listen),
                "discovery": "{}:{}".format(*self.agents[self.agent].address),
                "seed": f"{self.cluster.seed * 1000 + self.number * 100 + self.life:x}",
                "limits": {"sockets": 256},
                "peer_listen": "{}:{}".format(*self.peer),
                "peers": ["{}:{}".format(*edge.peer) for edge in self.cluster.edges],
                "known": {"generation": self.agents[self.agent].generation, "instances": self.known()},
                "settings": settings,
            }
        )

    @property
    def named(self) -> FailingAgent:
        """The agent that the node's file names."""
        return self.agents[self.agent]

    def move(self) -> None:
        """SIGHUP: the file names the other agent, whose news counts from a while later on."""
        self.agent = 1 - self.agent
        self.named.counts_from = self.cluster.now() + MOVED
        self.cluster.checker.on_discovery_replaced(self.name)
        self.cluster.held(self.named, list(self.named.endpoints.values()))
        self.net.reread()

    def known(self) -> list[dict[str, Any]]:
        return [row for row in self.agents[self.agent].endpoints.values() if row["lifecycle"] != "removed"]

    def start(self) -> None:
        self.life += 1
        self.net = self.cluster.net.host(f"{self.name}.{self.life}")
        self.named.counts_from = 0.0
        self.cluster.on_endpoints_sent(self.number, self.known())
        program = self.program = EdgeNode(self.told(), Lines(self.cluster, self.name), self.told, self.net)  # type: ignore[arg-type]
        if self.cluster.plant is not None:
            self.cluster.plant(program)
        self.task = asyncio.get_running_loop().create_task(program.run())

    async def stop(self) -> None:
        """SIGTERM; the next life starts when this one has gone."""
        task, net = self.task, self.net
        if task is None:
            return
        net.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(3.0):
                await asyncio.shield(task)
        if self.task is task:
            if not task.done():
                at = self.cluster.now()
                self.cluster.checker.record_violation(
                    ANSWERS, at, self.name, "", "", "still there 3 s after SIGTERM"
                )
            self.kill()
            self.start()

    def kill(self) -> None:
        """Outright: what it held is no longer its duty."""
        self.cluster.checker.on_node_killed(self.cluster.now(), self.name)
        if self.task is not None:
            self.task.cancel()
        if self.program is not None:
            for task in self.program.servers.tasks.values():
                task.cancel()
            self.program.discovery.close()
            self.program.events.post = lambda event: None  # type: ignore[method-assign]
            self.program.events.inbox.clear()
            self.program.sweep = lambda: None  # type: ignore[method-assign]
        self.cluster.net.die(self.net.name)
        self.program = self.task = None


class Cluster:
    def __init__(
        self, seed: int, edges: int, servers: int, plant: Any = None, settings: dict[str, Any] = SETTINGS
    ) -> None:
        self.seed, self.plant, self.settings = seed, plant, settings
        self.net = Network(Random(f"{seed}/net"))
        self.checker: InvariantChecker
        self.logged: list[tuple[float, str, str]] = []
        self.edges: list[Edge] = []
        self.edges += [Edge(self, number) for number in range(edges)]
        self.servers = [self.server(number, 0) for number in range(servers)]
        self.lateness = 0.0
        self.asked = self.passed = self.denied = self.aborted = self.left = 0
        told = self.edges[0].told().deployment
        self.frontends = {f.name: f for f in told.frontends}
        self.plans = told.plans
        self.checker = InvariantChecker(
            grace=settings["rules"]["drain_grace_us"] / 1000.0,
            cold=told.slow_start,
            plans=told.plans,
            slack=SLACK,
            largest=LARGEST,
        )
        self.meta: dict[str, tuple[str, str]] = {}  # by trace: the plan, the node that last took it

    def server(self, number: int, life: int) -> AppServer:
        address, zone = (f"10.1.0.{number}", 9000), ZONES[number % len(ZONES)]
        server = AppServer(self.net.host(""), self, number, life, address, zone)
        server.transport = self.net.host(server.host)
        return server

    def now(self) -> float:
        return self.net.loop.time() * 1000.0

    async def open(self) -> None:
        for server in self.servers:
            await server.open()
        for edge in self.edges:
            for agent in edge.agents:
                for server in self.servers:
                    agent.endpoints[server.id] = server.endpoint_row()
                await agent.open()
            edge.start()

    # Told to the rules

    def on_attempt_received(
        self, writer: asyncio.StreamWriter, trace_id: str, server: ServerIdentity
    ) -> AttemptKey:
        node = str(writer.transport.other.name).split(".")[0]  # type: ignore[attr-defined]
        plan = self.meta.get(trace_id, ("", ""))[0]
        self.checker.on_attempt_sent(
            self.now(), node, trace_id, server.id, server.zone, server.cell, plan, self.now()
        )
        self.checker.on_call_received(self.now(), server.id, node, trace_id)
        taken = self.checker.requests.get((node, trace_id))
        return AttemptKey(node, len(taken.sent) - 1 if taken is not None else 0)

    def on_attempt_not_executed(self, attempt: AttemptKey, trace_id: str) -> None:
        self.checker.on_attempt_ended(self.now(), attempt.sender, trace_id, attempt.attempt_index, True)

    def on_endpoints_sent(self, node_index: int, rows: list[dict[str, Any]]) -> None:
        for row in rows:
            self.checker.on_endpoint_notified(
                self.now(), f"n{node_index}", row["instanceId"], LIFECYCLE_STATES[row["lifecycle"]]
            )

    def held(self, agent: FailingAgent, rows: list[dict[str, Any]]) -> None:
        """What the named agent has counts as told at once; after a call that may have failed, in a while."""
        edge = self.edges[agent.node_index]
        if edge.program is None or agent is not edge.named or not agent.reachable:
            return
        now = self.now()
        within = max(COUNTS if agent.disturbed else 0.0, agent.counts_from - now)
        if within <= 0.0:
            self.on_endpoints_sent(agent.node_index, rows)
            return
        for row in rows:
            standing = LIFECYCLE_STATES[row["lifecycle"]]
            self.checker.on_discovery_updated(now, edge.name, row["instanceId"], standing, within)

    def server_started(self, server: AppServer) -> None:
        self.checker.on_server_started(self.now(), server.id, CAPACITY, CALL)

    def change(self, server: AppServer) -> None:
        """Each node's agents hear of it in their time."""
        row = server.endpoint_row()
        for edge in self.edges:
            for agent in edge.agents:
                late = self.lateness + self.net.chance.uniform(0.01, 0.2)
                self.net.loop.call_later(late, agent.update_endpoint, row)

    # Clients

    async def ask(
        self, trace: str, edge: Edge, frontend: str, plan: str, customer: int, units: int, patience: float
    ) -> str:
        f = self.frontends[frontend]
        method = "GET" if f.idempotency is Idempotency.IDEMPOTENT else "POST"
        headers = [
            ("Host", "b"),
            ("X-Trace-Id", trace),
            ("Plan", plan),
            ("Cookie", f"key={customer:016x}"),
            ("X-Expires-In", f"{f.client_timeout_ms:.0f}m"),
            ("Quota-Info", f"units={units},spread={len(self.edges)},first=0"),
        ]
        if method == "POST":
            headers += [("Idempotency-Key", trace), ("Content-Length", "2")]
        http = h11.Connection(h11.CLIENT)
        head = h11.Request(method=method, target=f"/{frontend}/1", headers=headers)
        request = encode_message(http, head, b"xx" if method == "POST" else b"")
        try:
            reader, writer, *_ = await self.net.dial("client", edge.listen, 65536)
        except OSError:
            return "refused"
        began, life = self.now(), edge.life
        self.asked += 1
        self.meta[trace] = plan, edge.name
        self.checker.on_request_received(
            began, edge.name, trace, f, f"{customer:x}", units, began + f.client_timeout_ms
        )
        writer.write(request)
        try:
            async with asyncio.timeout(patience / 1000.0):
                final = await self.heard(http, reader, trace)
        except TimeoutError:
            writer.transport.abort()
            self.left += 1
            self.checker.on_client_disconnected(self.now(), edge.name, trace)
            return "left"
        except (OSError, h11.ProtocolError) as err:
            if edge.life == life and edge.program is not None:
                self.checker.record_violation(
                    ANSWERS, self.now(), edge.name, trace, "", f"no whole answer: {err!r}"
                )
            return "cut"
        writer.close()
        if edge.life == life and edge.program is not None:
            self.checker.on_final_answer(self.now(), edge.name, trace, final)
        setattr(self, final, getattr(self, final) + 1)
        return final

    async def heard(self, http: h11.Connection, reader: asyncio.StreamReader, trace: str) -> str:
        body, status = b"", 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                if not data and not status:
                    raise ConnectionResetError("closed without an answer")
                http.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise h11.RemoteProtocolError(f"{event!r}")
        if status == 200 and body != b"page of " + trace.encode():
            raise h11.RemoteProtocolError(f"passed {body!r}")
        return "passed" if status == 200 else "denied" if status in (429, 503) else "aborted"
