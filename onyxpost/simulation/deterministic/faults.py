"""How each fault is begun, and ended after its time."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from onyxpost.core.types import EndpointState
from onyxpost.simulation.deterministic.cluster import ZONES, Cluster
from onyxpost.simulation.deterministic.discovery_agent import FailingAgent
from onyxpost.simulation.deterministic.fault_script import EDGES, SERVERS, Fault
from onyxpost.simulation.stubs import AppServer, Malformation, ServerBehavior
from onyxpost.simulation.virtual_time import PlannedBreak


class Playing(Protocol):
    """The run that faults are put into."""

    seed: int
    cluster: Cluster

    def spawn(self, coroutine: Any) -> None: ...
    def client(self, chance: Random, edge: Any, patience: float | None = None) -> None: ...


class Faults:
    """One method a kind, by its name."""

    def __init__(self, playing: Playing) -> None:
        self.playing, self.seed, self.cluster = playing, playing.seed, playing.cluster

    def begin(self, fault: Fault) -> None:
        getattr(self, fault.kind.replace("-", "_"))(fault)

    def later(self, fault: Fault, call: Callable[..., Any], *args: Any) -> None:
        asyncio.get_running_loop().call_later(fault.lasts, call, *args)

    def server(self, fault: Fault) -> AppServer:
        return self.cluster.servers[fault.whom]

    def behave(self, fault: Fault, how: str) -> None:
        server = self.server(fault)
        server.behavior = ServerBehavior(how)
        self.later(fault, setattr, server, "behavior", ServerBehavior.SERVE)

    def hang(self, fault: Fault) -> None:
        self.behave(fault, "hang")

    def fail(self, fault: Fault) -> None:
        self.behave(fault, "fail")

    def busy(self, fault: Fault) -> None:
        self.behave(fault, "busy")

    def drop(self, fault: Fault) -> None:
        self.behave(fault, "drop")

    def slow(self, fault: Fault) -> None:
        server = self.server(fault)
        server.latency_ms = 20.0 + 900.0 * fault.more
        self.later(fault, setattr, server, "latency_ms", 20.0)

    def break_(self, fault: Fault) -> None:
        """The next connections to it break at some byte, of the req or of the answer."""
        plan = self.cluster.net.planned_breaks[self.server(fault).host]
        for i in range(1 + int(4 * fault.lasts)):
            plan.append(PlannedBreak(int(fault.more * 97 + i) % 2, 1 + int(fault.more * 1009 + 61 * i) % 320))

    def reset(self, fault: Fault) -> None:
        self.cluster.net.reset_connections(self.server(fault).host)

    def spoil(self, fault: Fault) -> None:
        self.server(fault).malformations += [*Malformation][: 1 + int(4 * fault.more)]

    def cut(self, fault: Fault) -> None:
        self.cut_off(fault, self.server(fault).host)

    def edge_cut(self, fault: Fault) -> None:
        """Cut off from app servers and peers; its clients and its agent are on its own machine's side."""
        self.cut_off(fault, self.cluster.servers[0].host)
        self.cut_off(fault, self.cluster.servers[1].host)

    def cut_off(self, fault: Fault, host: str) -> None:
        self.cluster.net.cut_off.add(host)
        self.later(fault, self.cluster.net.cut_off.discard, host)

    def drain(self, fault: Fault) -> None:
        server = self.server(fault)
        if server.state is EndpointState.READY:
            server.state = EndpointState.DRAINING
            self.cluster.change(server)
            self.later(fault, self.spawn_renew, server)

    def crash(self, fault: Fault) -> None:
        server = self.server(fault)
        self.cluster.net.kill_host(server.host)
        self.later(fault, self.spawn_renew, server)

    def spawn_renew(self, old: AppServer) -> None:
        self.playing.spawn(self.renew(old))

    async def renew(self, old: AppServer) -> None:
        """Another process at the address, under an id of its own."""
        c = self.cluster
        if c.servers[old.index] is not old:
            return
        c.net.kill_host(old.host)
        old.state = EndpointState.GONE
        c.change(old)
        new = c.servers[old.index] = c.server(old.index, old.incarnation + 1)
        new.started_at_ms = new.transport.clock()
        c.server_started(new)
        with contextlib.suppress(OSError):
            await new.open()
        c.change(new)

    def drain_on(self, fault: Fault) -> None:
        """Of each zone the server that served most: they stay up, draining, to the end."""
        ready = [server for server in self.cluster.servers if server.state is EndpointState.READY]
        for zone in ZONES:
            of_zone = [server for server in ready if server.zone == zone]
            if of_zone:
                server = max(of_zone, key=lambda one: one.served_count)
                server.state = EndpointState.DRAINING
                self.cluster.change(server)

    def cold_burst(self, fault: Fault) -> None:
        """Two servers come back cold, and many clients at once a little later."""
        for number in (fault.whom, (fault.whom + 1) % SERVERS):
            self.spawn_renew(self.cluster.servers[number])
        asyncio.get_running_loop().call_later(0.3 + 0.5 * fault.more, self.burst, fault)

    def leave(self, fault: Fault) -> None:
        """Many clients that go early, while all servers' connections come up late (`PATIENT`)."""
        chance, net = Random(f"{self.seed}/leave/{fault.at}"), self.cluster.net
        for server in self.cluster.servers:
            net.reset_connections(server.host)
            net.connect_delays[server.host] = 0.25 + 0.33 * fault.more
            self.later(fault, net.connect_delays.pop, server.host, 0.0)
        for _ in range(16):
            edge = self.cluster.edges[chance.randrange(EDGES)]
            self.playing.client(chance, edge, chance.uniform(10.0, 60.0))

    def drain_on_reset(self, fault: Fault) -> None:
        """A keyed req may have run on a server, and in the same tick every node is told that it drains."""
        server = self.cluster.servers[fault.whom]
        if server.state is not EndpointState.READY:
            return
        server.state = EndpointState.DRAINING
        row = server.endpoint_row()
        for edge in self.cluster.edges:
            for agent in edge.agents:
                agent.update_endpoint(row)
        self.cluster.net.reset_connections(server.host)
        self.later(fault, self.spawn_renew, server)

    def cross(self, fault: Fault) -> None:
        """Clients leave in the very ms in which their answers are due."""
        chance = Random(f"{self.seed}/cross/{fault.at}")
        for edge in self.cluster.edges:
            for _ in range(3):
                self.playing.client(chance, edge, 20.0 + chance.uniform(0.0, 14.0))

    def burst(self, fault: Fault) -> None:
        chance = Random(f"{self.seed}/burst/{fault.at}")
        for _ in range(12):
            self.playing.client(chance, self.cluster.edges[chance.randrange(EDGES)])

    def loss(self, fault: Fault) -> None:
        self.cluster.net.datagram_loss = fault.more
        self.later(fault, setattr, self.cluster.net, "datagram_loss", 0.0)

    def lists_late(self, fault: Fault) -> None:
        self.cluster.lateness = fault.more
        self.later(fault, setattr, self.cluster, "lateness", 0.0)

    def agent_silent(self, fault: Fault) -> None:
        for agent in self.cluster.edges[fault.whom].agents:
            agent.is_silent = True
            self.later(fault, agent.speak)

    def watch_silent(self, fault: Fault) -> None:
        for agent in self.cluster.edges[fault.whom].agents:
            agent.hush()

    def watch_reset(self, fault: Fault) -> None:
        for agent in self.cluster.edges[fault.whom].agents:
            agent.reset()

    def agent_late(self, fault: Fault) -> None:
        """Its connections end, and come up late again; some later than a node waits for one."""
        net, host = self.cluster.net, f"agent{fault.whom}"
        net.connect_delays[host] = 0.05 + 1.2 * fault.more
        self.later(fault, net.connect_delays.pop, host, 0.0)
        self.watch_reset(fault)

    def agent_refuse(self, fault: Fault) -> None:
        self.agent_fails(fault, "refuse")

    def agent_busy(self, fault: Fault) -> None:
        self.agent_fails(fault, "busy")

    def agent_cut(self, fault: Fault) -> None:
        self.agent_fails(fault, "cut")

    def agent_fails(self, fault: Fault, how: str) -> None:
        for agent in self.cluster.edges[fault.whom].agents:
            if agent.how != how:
                agent.fail(how)
                self.later(fault, self.spawn_mend, agent, how)

    def spawn_mend(self, agent: FailingAgent, how: str) -> None:
        self.playing.spawn(agent.mend(how))

    def kill(self, fault: Fault) -> None:
        edge = self.cluster.edges[fault.whom]
        if edge.program is not None:
            edge.kill()
            self.later(fault, self.revive, edge)

    def revive(self, edge: Any) -> None:
        if edge.program is None:
            edge.start()

    def term(self, fault: Fault) -> None:
        edge = self.cluster.edges[fault.whom]
        if edge.program is not None:
            self.playing.spawn(edge.stop())

    def hup(self, fault: Fault) -> None:
        edge = self.cluster.edges[fault.whom]
        if edge.program is not None:
            edge.move()


setattr(Faults, "break", Faults.break_)
