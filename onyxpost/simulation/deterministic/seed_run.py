"""One script's run on the virtual clock, from its first req to the digest of all that happened."""

from __future__ import annotations

import asyncio
import gc
import hashlib
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from onyxpost.node.edge_node import EdgeNode
from onyxpost.simulation import virtual_time
from onyxpost.simulation.deterministic.cluster import PATIENT, SETTINGS, Cluster
from onyxpost.simulation.deterministic.fault_script import EDGES, SERVERS, Fault, ends, script
from onyxpost.simulation.deterministic.faults import Faults
from onyxpost.simulation.invariants import Violation
from onyxpost.simulation.mutations import PLANTS


class Outcome(NamedTuple):
    seed: int
    violations: list[Violation]
    faults: list[Fault]
    asked: int
    passed: int
    steps: int
    digest: str  # of all that happened, in its order

    @property
    def failed(self) -> bool:
        return bool(self.violations)


class Play:
    """One script's run."""

    def __init__(self, seed: int, faults: list[Fault], plant: Callable[[EdgeNode], None] | None) -> None:
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
        settings = PATIENT if any(fault.kind == "leave" for fault in self.faults) else SETTINGS
        c = self.cluster = Cluster(self.seed, EDGES, SERVERS, self.plant, settings)
        await c.open()
        await asyncio.sleep(0.05)
        faults = Faults(self)
        for fault in self.faults:
            loop.call_at(fault.at, self.begin, faults, fault)
        clients = Random(f"{self.seed}/clients")
        until = ends(self.faults)
        while loop.time() < until:
            self.client(clients, c.edges[clients.randrange(EDGES)])
            await asyncio.sleep(clients.expovariate(12.0))
        while any(not task.done() for task in self.tasks):
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        c.checker.finish(c.now())
        for edge in c.edges:
            edge.kill()
        digest = _digest(self.history, c)
        return Outcome(
            self.seed, list(c.checker.violations), self.faults, c.asked, c.passed, c.checker.steps, digest
        )

    def client(self, chance: Random, edge: Any, patience: float | None = None) -> None:
        self.asked += 1
        frontend = chance.choice(("look", "post", "pay"))
        plan, customer = chance.choice((("open", 1), ("open", 2), ("tight", 3)))
        timeout = self.cluster.frontends[frontend].client_timeout_ms
        stays = timeout * chance.uniform(0.4, 1.0) if chance.random() < 0.15 else timeout + 300.0
        units = chance.randint(1, 3)
        self.spawn(self.ask(f"t{self.asked}", edge, frontend, plan, customer, units, patience or stays))

    async def ask(self, trace: str, edge: Any, *what: Any) -> None:
        final = await self.cluster.ask(trace, edge, *what)
        self.cluster.checker.check_deadlines(self.cluster.now())
        self.history.append(f"{self.cluster.now():.3f} {trace} {final}")

    def begin(self, faults: Faults, fault: Fault) -> None:
        self.history.append(f"{self.cluster.now():.3f} {fault.kind} {fault.whom}")
        faults.begin(fault)


def _digest(history: list[str], cluster: Cluster) -> str:
    told = [*history, *map(str, cluster.logged), *map(str, cluster.checker.violations)]
    return hashlib.sha256("\n".join(told).encode()).hexdigest()[:16]


def play(seed: int, faults: list[Fault] | None = None, plant: str = "") -> Outcome:
    """The collector rests meanwhile: tasks of a killed node that it finds would be told as a fault."""
    chosen, collects = script(seed) if faults is None else faults, gc.isenabled()
    gc.disable()
    try:
        return virtual_time.run(Play(seed, chosen, PLANTS[plant]).run())
    finally:
        if collects:
            gc.enable()
