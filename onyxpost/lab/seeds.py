"""Faults scripted from a seed, played on the virtual clock; a failing script is shrunk to fewer faults."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import hashlib
import time
from collections.abc import Callable, Iterator
from random import Random
from typing import Any, NamedTuple

from onyxpost.edge.program import Program
from onyxpost.interface import Standing
from onyxpost.lab import virtual
from onyxpost.lab.cluster import Cluster
from onyxpost.lab.plants import PLANTS
from onyxpost.lab.rules import Breach
from onyxpost.lab.runs import pool_of
from onyxpost.lab.standins import AppServer

SECONDS = 4.0  # that a script lasts; then all that is owed is waited for
EDGES, SERVERS = 3, 4
PART = 25  # seeds that one process is handed at a time


class Fault(NamedTuple):
    at: float  # s
    kind: str
    whom: int
    lasts: float
    more: float


class Outcome(NamedTuple):
    seed: int
    breaches: list[Breach]
    faults: list[Fault]
    asked: int
    passed: int
    steps: int
    digest: str  # of all that happened, in its order

    @property
    def failed(self) -> bool:
        return bool(self.breaches)


SERVER_KINDS = ("drain", "crash", "hang", "fail", "busy", "drop", "slow", "break", "reset", "spoil", "cut")
EDGE_KINDS = ("kill", "term", "hup", "agent-silent", "edge-cut")
FLEET_KINDS = ("loss", "lists-late", "burst", "drain-on-reset", "cross")


def script(seed: int) -> list[Fault]:
    chance = Random(f"{seed}/script")
    faults = []
    for _ in range(chance.randint(2, 7)):
        kinds = chance.choice((SERVER_KINDS, SERVER_KINDS, EDGE_KINDS, FLEET_KINDS))
        kind = chance.choice(kinds)
        whom = chance.randrange(SERVERS if kinds is SERVER_KINDS else EDGES)
        at, lasts = chance.uniform(0.2, SECONDS - 0.5), chance.uniform(0.1, 1.5)
        faults.append(Fault(round(at, 4), kind, whom, round(lasts, 4), round(chance.random(), 6)))
    return sorted(faults)


class Play:
    """One script's run."""

    def __init__(self, seed: int, faults: list[Fault], plant: Callable[[Program], None] | None) -> None:
        self.seed, self.faults, self.plant = seed, faults, plant
        self.tasks: set[asyncio.Task[Any]] = set()
        self.history: list[str] = []
        self.asked = 0

    def spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> Outcome:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        c = self.cluster = Cluster(self.seed, EDGES, SERVERS, self.plant)
        await c.open()
        await asyncio.sleep(0.05)
        for fault in self.faults:
            loop.call_at(fault.at, self.begin, fault)
        clients = Random(f"{self.seed}/clients")
        while loop.time() < SECONDS:
            self.client(clients, c.edges[clients.randrange(EDGES)])
            await asyncio.sleep(clients.expovariate(12.0))
        while any(not task.done() for task in self.tasks):
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        c.rules.check(c.now())
        for edge in c.edges:
            edge.kill()
        digest = _digest(self.history, c)
        return Outcome(
            self.seed, list(c.rules.breaches), self.faults, c.asked, c.passed, c.rules.steps, digest
        )

    def client(self, chance: Random, edge: Any, patience: float | None = None) -> None:
        self.asked += 1
        frontend = chance.choice(("look", "post", "pay"))
        plan, customer = chance.choice((("open", 1), ("open", 2), ("tight", 3)))
        timeout = self.cluster.frontends[frontend].client_timeout
        stays = timeout * chance.uniform(0.4, 1.0) if chance.random() < 0.15 else timeout + 300.0
        units = chance.randint(1, 3)
        self.spawn(self.ask(f"t{self.asked}", edge, frontend, plan, customer, units, patience or stays))

    async def ask(self, trace: str, edge: Any, *what: Any) -> None:
        final = await self.cluster.ask(trace, edge, *what)
        self.cluster.rules.check(self.cluster.now())
        self.history.append(f"{self.cluster.now():.3f} {trace} {final}")

    # Faults

    def begin(self, fault: Fault) -> None:
        self.history.append(f"{self.cluster.now():.3f} {fault.kind} {fault.whom}")
        getattr(self, fault.kind.replace("-", "_"))(fault)

    def later(self, fault: Fault, call: Callable[..., Any], *args: Any) -> None:
        asyncio.get_running_loop().call_later(fault.lasts, call, *args)

    def server(self, fault: Fault) -> AppServer:
        return self.cluster.servers[fault.whom]

    def behave(self, fault: Fault, how: str) -> None:
        server = self.server(fault)
        server.how = how
        self.later(fault, setattr, server, "how", "serve")

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
        server.delay = 20.0 + 900.0 * fault.more
        self.later(fault, setattr, server, "delay", 20.0)

    def break_(self, fault: Fault) -> None:
        """The next connections to it break at some byte, of the req or of the answer."""
        plan = self.cluster.net.break_next[self.server(fault).host]
        for i in range(1 + int(4 * fault.lasts)):
            plan.append((int(fault.more * 97 + i) % 2, 1 + int(fault.more * 1009 + 61 * i) % 320))

    def reset(self, fault: Fault) -> None:
        self.cluster.net.reset_some(self.server(fault).host)

    def spoil(self, fault: Fault) -> None:
        self.server(fault).spoil += ["short", "twice", "noise", "long"][: 1 + int(4 * fault.more)]

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
        if server.standing is Standing.READY:
            server.standing = Standing.DRAINING
            self.cluster.change(server)
            self.later(fault, self.spawn_renew, server)

    def crash(self, fault: Fault) -> None:
        server = self.server(fault)
        self.cluster.net.die(server.host)
        self.later(fault, self.spawn_renew, server)

    def spawn_renew(self, old: AppServer) -> None:
        self.spawn(self.renew(old))

    async def renew(self, old: AppServer) -> None:
        """Another process at the address, under an id of its own."""
        c = self.cluster
        if c.servers[old.number] is not old:
            return
        c.net.die(old.host)
        old.standing = Standing.GONE
        c.change(old)
        new = c.servers[old.number] = c.server(old.number, old.life + 1)
        new.started = new.net.clock()
        c.rules.server_started(c.now(), new.id, 4.0)
        with contextlib.suppress(OSError):
            await new.open()
        c.change(new)

    def drain_on_reset(self, fault: Fault) -> None:
        """A keyed req may have run on a server, and in the same tick every node is told that it drains."""
        server = self.cluster.servers[fault.whom]
        if server.standing is not Standing.READY:
            return
        server.standing = Standing.DRAINING
        row = server.row()
        for edge in self.cluster.edges:
            for agent in edge.agents:
                agent.learn(row)
        self.cluster.net.reset_some(server.host)
        self.later(fault, self.spawn_renew, server)

    def cross(self, fault: Fault) -> None:
        """Clients leave in the very ms in which their answers are due."""
        chance = Random(f"{self.seed}/cross/{fault.at}")
        for edge in self.cluster.edges:
            for _ in range(3):
                self.client(chance, edge, 20.0 + chance.uniform(0.0, 14.0))

    def burst(self, fault: Fault) -> None:
        chance = Random(f"{self.seed}/burst/{fault.at}")
        for _ in range(12):
            self.client(chance, self.cluster.edges[chance.randrange(EDGES)])

    def loss(self, fault: Fault) -> None:
        self.cluster.net.loses = fault.more
        self.later(fault, setattr, self.cluster.net, "loses", 0.0)

    def lists_late(self, fault: Fault) -> None:
        self.cluster.lateness = fault.more
        self.later(fault, setattr, self.cluster, "lateness", 0.0)

    def agent_silent(self, fault: Fault) -> None:
        for agent in self.cluster.edges[fault.whom].agents:
            agent.silent = True
            self.later(fault, setattr, agent, "silent", False)

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
            self.spawn(edge.stop())

    def hup(self, fault: Fault) -> None:
        edge = self.cluster.edges[fault.whom]
        if edge.program is not None:
            edge.agent = 1 - edge.agent
            edge.net.reread()


setattr(Play, "break", Play.break_)


def _digest(history: list[str], cluster: Cluster) -> str:
    told = [*history, *map(str, cluster.logged), *map(str, cluster.rules.breaches)]
    return hashlib.sha256("\n".join(told).encode()).hexdigest()[:16]


def play(seed: int, faults: list[Fault] | None = None, plant: str = "") -> Outcome:
    """The collector rests meanwhile: tasks of a killed node that it finds would be told as a fault."""
    chosen, collects = script(seed) if faults is None else faults, gc.isenabled()
    gc.disable()
    try:
        return virtual.run(Play(seed, chosen, PLANTS[plant]).run())  # type: ignore[no-any-return]
    finally:
        if collects:
            gc.enable()


def shrunk(outcome: Outcome, plant: str = "") -> Outcome:
    """Faults are left out while the same rule still breaks without them."""
    rules = {breach.rule for breach in outcome.breaches}
    best, at = outcome, 0
    while at < len(best.faults):
        fewer = best.faults[:at] + best.faults[at + 1 :]
        tried = play(outcome.seed, fewer, plant)
        if rules & {breach.rule for breach in tried.breaches}:
            best = tried
        else:
            at += 1
    return best


# Many seeds


def part(seeds: list[int], plant: str) -> list[Outcome]:
    gc.disable()
    found = []
    for seed in seeds:
        found.append(play(seed, None, plant))
        gc.collect(1)
    gc.enable()
    gc.collect()
    return found


def many(seeds: list[int], jobs: int, plant: str = "") -> Iterator[Outcome]:
    parts = [seeds[at : at + PART] for at in range(0, len(seeds), PART)]
    if jobs <= 1:
        for one in parts:
            yield from part(one, plant)
        return
    with pool_of(jobs) as pool:
        for found in pool.map(part, parts, [plant] * len(parts)):
            yield from found


def timed(seeds: list[int], jobs: int, plant: str = "") -> tuple[list[Outcome], float]:
    began = time.perf_counter()
    return list(many(seeds, jobs, plant)), time.perf_counter() - began



def line(outcome: Outcome) -> dict[str, Any]:
    return {
        "kind": "seed", "seed": outcome.seed, "asked": outcome.asked, "passed": outcome.passed,
        "steps": outcome.steps, "digest": outcome.digest,
        "breaches": [breach._asdict() for breach in outcome.breaches],
        "faults": [fault._asdict() for fault in outcome.faults] if outcome.failed else [],
    }  # fmt: skip
