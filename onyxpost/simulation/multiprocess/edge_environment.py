"""The stage `edge`: edge nodes that gossip, stand-in app servers, a discovery for each, open-loop load."""

from __future__ import annotations

import asyncio
import re
import time
from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import Any

import msgspec

from onyxpost.config import deployment
from onyxpost.core.types import EndpointState
from onyxpost.runtime.socket_transport import SocketTransport
from onyxpost.simulation.deterministic.cluster import LARGEST, SETTINGS, ZONES
from onyxpost.simulation.multiprocess.checker import Event, Judge, faults
from onyxpost.simulation.multiprocess.edge_invariants import Edge
from onyxpost.simulation.multiprocess.fault_proxy import base
from onyxpost.simulation.multiprocess.fault_script import Fault
from onyxpost.simulation.multiprocess.load_generator import Asking
from onyxpost.simulation.multiprocess.scenario_environment import Counts, Ground, text
from onyxpost.simulation.stubs import AppServer, AttemptKey, DiscoveryAgent, NullObserver, ServerIdentity

TRACE = re.compile(rb"x-trace-id: ([^\r\n]+)", re.IGNORECASE)
STANDINGS = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.GONE}
LATE = 0.2  # s within which each discovery hears of a change
CORES = 4.0
DELAY = 20.0  # ms


class EdgeStage(NullObserver):
    def __init__(self, ground: Ground) -> None:
        self.ground, self.net = ground, SocketTransport()
        self.chance = Random(f"{ground.seed}/stage")
        settings = SETTINGS | {"ordinal": 0, "n_instances": ground.scenario.nodes}
        self.told = deployment.decode_deployment(settings)
        self.servers = {i: self.server(i, 0) for i in range(ground.scenario.servers)}
        self.agents = [DiscoveryAgent(self.net, self, i, ("127.0.0.1", 0)) for i in ground.numbers]
        self.rows: dict[tuple[int, str], str] = {}  # where each node finds each life of a server
        self.files: list[dict[str, Any]] = []
        self.reach = 0
        ground.hear = self.heard

    def server(self, number: int, life: int) -> AppServer:
        server = AppServer(self.net, self, number, life, ("127.0.0.1", 0), ZONES[number % len(ZONES)])
        server.latency_ms = DELAY
        return server

    async def listen(self, server: AppServer) -> None:
        await server.open()
        assert server.listener is not None
        self.ground.addresses[server.host] = server.listener.sockets[0].getsockname()
        for i in self.ground.numbers:
            self.rows[i, server.id] = text(await self.ground.relays.tcp(f"n{i}", server.host))

    async def open(self) -> None:
        for server in self.servers.values():
            await self.listen(server)
        peers = await self.ground.peers()
        for i, agent in enumerate(self.agents):
            for server in self.servers.values():
                agent.update_endpoint(self.row(i, server))
            await agent.open()
            assert agent.listener is not None
            self.ground.addresses[f"d{i}"] = agent.listener.sockets[0].getsockname()
            discovery = text(await self.ground.relays.tcp(f"n{i}", f"d{i}"))
            self.files.append(
                {
                    "name": f"n{i}",
                    "listen": text(self.ground.addresses[f"n{i}"]),
                    "discovery": discovery,
                    "seed": f"{self.ground.seed * 1000 + i:x}",
                    "limits": {"sockets": 512},
                    "peer_listen": text(self.ground.addresses[f"n{i}/udp"]),
                    "peers": peers[i],
                    "known": {"generation": agent.generation, "instances": list(agent.endpoints.values())},
                    "settings": SETTINGS | {"ordinal": i, "n_instances": self.ground.scenario.nodes},
                }
            )

    def file(self, number: int) -> dict[str, Any]:
        return self.files[number]

    def row(self, node: int, server: AppServer) -> dict[str, Any]:
        return server.endpoint_row() | {"hostPort": self.rows[node, server.id]}

    async def beside(self, seconds: float) -> None:
        await Asking(self.ground, self.told.frontends, LARGEST).run(seconds)

    # What is heard

    def heard(self, a: str, b: str, data: bytes, passed: bool) -> None:
        if b.startswith("s") and not passed and (trace := TRACE.search(data)):
            server, life = (int(part) for part in b[1:].split("."))
            self.ground.record(
                "sent",
                node=a,
                trace=trace[1].decode(),
                server=f"s{server}-{life}",
                zone=ZONES[server % len(ZONES)],
                cell=server % 2,
            )
        elif a.startswith("d") and passed and b"\r\n\r\n" in data:
            try:
                rows = msgspec.json.decode(data.split(b"\r\n\r\n", 1)[1])["instances"]
            except (msgspec.DecodeError, KeyError, TypeError):
                return
            for row in rows:
                standing = STANDINGS[row["lifecycle"]].value
                self.ground.record("told", node=base(b), server=row["instanceId"], standing=standing)

    def on_attempt_received(
        self, writer: asyncio.StreamWriter, trace_id: str, server: ServerIdentity
    ) -> AttemptKey:
        self.reach += 1
        self.ground.record(
            "reached",
            trace=trace_id,
            server=server.id,
            zone=server.zone,
            cell=server.cell,
            number=self.reach,
            work=DELAY,
        )
        return AttemptKey(server.id, self.reach)

    def on_attempt_not_executed(self, attempt: AttemptKey, trace_id: str) -> None:
        self.ground.record("never ran", trace=trace_id, server=attempt.sender, number=attempt.attempt_index)

    # Faults of app servers

    def whom(self, place: str) -> str:
        return place

    async def fault(self, fault: Fault) -> None:
        server = self.servers[int(fault.whom[1:])]
        if fault.kind == "slow":
            server.latency_ms = DELAY + 900.0 * fault.more
            await asyncio.sleep(fault.lasts)
            server.latency_ms = DELAY
        elif fault.kind == "drain" and server.state is EndpointState.READY:
            server.state = EndpointState.DRAINING
            await self.spread(server)
            await asyncio.sleep(fault.lasts)
            await self.renew(server)

    async def spread(self, server: AppServer) -> None:
        """Each discovery hears of it in its time."""
        late = sorted((self.chance.uniform(0.0, LATE), i) for i in self.ground.numbers)
        gone = 0.0
        for after, i in late:
            await asyncio.sleep(after - gone)
            gone = after
            self.agents[i].update_endpoint(self.row(i, server))

    async def renew(self, old: AppServer) -> None:
        """Another process under an id and an address of its own takes its place."""
        assert old.listener is not None
        old.listener.close()
        old.state = EndpointState.GONE
        self.ground.relays.reset_all(base(old.host), old.host)
        new = self.server(old.index, old.incarnation + 1)
        new.started_at_ms = time.time() * 1000.0
        self.ground.record("server", server=new.id, capacity=CORES, call=DELAY)
        await self.listen(new)
        self.servers[old.index] = new
        await self.spread(old)
        await self.spread(new)

    # The end

    def judges(self) -> Sequence[Judge]:
        t = self.told
        return faults, Edge(t.frontends, t.plans, t.slow_start, t.drain_grace_ms, LARGEST)

    def counts(self, events: Sequence[Event]) -> Counts:
        events = self.ground.events
        finals = Counter(e["final"] for e in events if e["event"] == "answered")
        kinds = Counter(e["event"] for e in events)
        late = sum(e["event"] == "gone" and e["how"] == "timed out" for e in events)
        return {
            "asked": kinds["asked"],
            **{f: finals[f] for f in ("passed", "denied", "aborted")},
            "cut": kinds["gone"] - late,
            "timed_out": late,
            "refused": kinds["refused"],
            "sent": kinds["sent"],
            "reached": kinds["reached"],
        }

    async def close(self) -> None:
        for server in self.servers.values():
            if server.listener is not None:
                server.listener.close()
        for agent in self.agents:
            if agent.listener is not None:
                agent.listener.close()
            for writer in list(agent.writers):
                writer.transport.abort()
