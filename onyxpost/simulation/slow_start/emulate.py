"""Servers that start at once under the reqs of many nodes, each a whole gateway; every start is counted.

A server counts what reaches it and goes on, also where it would have fallen: each start gives one figure.
Times are ms. All is drawn from the seed: the same seed does the same.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt
from random import Random
from typing import Any, NamedTuple

from onyxpost.core.events import AttemptFinished, EndpointsUpdated, Event, RequestArrived, TimerFired
from onyxpost.core.options import GatewayOptions
from onyxpost.core.types import (
    AttemptResult,
    DeduplicationScope,
    EndpointState,
    EndpointStatus,
    Frontend,
    GatewayLimits,
    Idempotency,
    Plan,
    SlowStartPolicy,
)
from onyxpost.policy.gateway import Gateway
from onyxpost.simulation.discrete_event.event_queue import Clockwork

EPOCH = 1_700_000_000_000.0
LEAVES = 5000.0  # a client's time-out
FRONTEND = Frontend(
    "f", 1000.0, LEAVES, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.0, 1.0, 0.0, 0.0, False
)
PLAN = Plan("p", 0.0, 0.0, 0, 1.0, 0.0, 0.0)
ALLOWED = GatewayLimits(2, False, False, False, 500.0, 0.0)
COLD = SlowStartPolicy(0.2, 10_000.0, 2.0, 1500.0)
SETTLING, STEP = 8000.0, 6500.0  # before the first servers are replaced, and until the last are


@dataclass(frozen=True, slots=True)
class Case:
    """`load`: reqs sent by all, as a share of what all servers do when warm."""

    nodes: int
    servers: int = 20
    rate: float = 10.0  # reqs of mean work that a warm server does in a second
    load: float = 0.6
    replaced: float = 0.6  # share of the servers that are replaced
    restarts: float = 0.0  # share of the nodes that are killed once while the servers warm up
    within: float = 16_500.0  # ms from the first step on in which they are
    alive: float = 1.0  # share of the nodes in the settings that there are
    rule: SlowStartPolicy = COLD


class Start(NamedTuple):
    """Its worst moment: reqs in the window over N + 2 sqrt N + 2; `fell`: past N + 3 sqrt N + 3."""

    ratio: float
    fell: bool


class Server:
    def __init__(self, sid: str, started: float, case: Case) -> None:
        self.id, self.started, self.case, self.free = sid, started, case, 0.0
        self.standing, self.came, self.worst, self.fell = EndpointState.READY, list[float](), 0.0, False

    def row(self) -> EndpointStatus:
        started = EPOCH + self.started if self.started else 0.0
        return EndpointStatus(self.id, "h0", 0, self.standing, 1.0, started)

    def take(self, now: float, work: float) -> float:
        """When its answer is there; one req after the other, so that a server sent too much is late."""
        rule, age = self.case.rule, now - self.started
        warmth = 1.0 if not self.started else min(1.0, max(rule.initial_fraction, age / rule.warmup_ms))
        if self.started and age < rule.warmup_ms:
            self.came = [at for at in self.came if at > now - rule.overload_window_ms] + [now]
            able = self.case.rate * warmth * rule.overload_multiple * rule.overload_window_ms / 1000.0
            self.worst = max(self.worst, len(self.came) / (able + 2.0 * sqrt(able) + 2.0))
            self.fell = self.fell or len(self.came) > able + 3.0 * sqrt(able) + 3.0
        self.free = max(now, self.free) + work / warmth
        return self.free + 20.0


class Node:
    """The host and writer of one gateway for each of its lives."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.life, self.seq = world, number, 0, 0
        self.known: dict[str, Server] = {s.id: s for s in world.servers}
        self.live()

    def live(self) -> None:
        self.life += 1
        seed = self.world.chance.getrandbits(48)
        options = GatewayOptions(
            seed=seed,
            node_index=self.number,
            node_count=self.world.case.nodes,
            tick_ms=2.0,
            frontends=[FRONTEND],
            plans=[PLAN],
            slow_start=self.world.case.rule,
            limits=ALLOWED,
            polls_endpoints=False,
        )
        self.gateway = Gateway(self.world.now(), options)
        self.handle(EndpointsUpdated(True, [s.row() for s in self.known.values()]))

    def handle(self, event: Event) -> None:
        self.gateway.handle(self.world.now(), [event], self)

    def told(self, servers: list[Server]) -> None:
        self.known |= {s.id: s for s in servers}
        self.handle(EndpointsUpdated(False, [s.row() for s in servers]))
        self.known = {i: s for i, s in self.known.items() if s.standing is EndpointState.READY}

    def ask(self) -> None:
        self.seq += 1
        key = f"c{self.world.chance.randrange(2000)}"
        leaves = self.world.now() + LEAVES
        self.handle(RequestArrived(f"{self.seq}", leaves, "f", key, "p", 1, self.world.case.nodes, 0))

    def ended(self, life: int, req: str, number: int, result: AttemptResult, waited: float) -> None:
        if life == self.life:
            self.world.served += result is AttemptResult.OK and waited <= FRONTEND.latency_objective_ms
            self.handle(AttemptFinished(req, number, result, waited, result is AttemptResult.OK, 0))

    def woken(self, life: int) -> None:
        if life == self.life:
            self.handle(TimerFired(0))

    # The module's writer

    def start_attempt(self, req: str, server: str, until: float, begin_before: float) -> None:
        now = self.world.clock.now
        number = len(self.gateway.state.requests[req].attempts) - 1
        waited = self.known[server].take(now, self.world.work()) - now
        result = AttemptResult.OK if waited <= until else AttemptResult.EXPIRED
        waited = min(waited, until)
        self.world.clock.after(waited, self.ended, self.life, req, number, result, waited)

    def start_timer(self, after: float, token: int) -> None:
        self.world.clock.after(after, self.woken, self.life)

    def __getattr__(self, name: str) -> Any:
        """Denials, log lines and what is told to peers: nothing here takes them in."""
        return lambda *said: None


class World:
    def __init__(self, case: Case, seed: int) -> None:
        self.case, self.clock, self.chance = case, Clockwork(), Random(f"cold/{seed}")
        self.asked = self.served = 0
        self.servers = [Server(f"s{i}", 0.0, case) for i in range(case.servers)]
        self.started: list[Server] = []
        chance, numbers = self.chance, list(range(case.nodes))
        chance.shuffle(numbers)
        self.nodes = [Node(self, n) for n in numbers[: max(1, round(case.alive * case.nodes))]]
        # One in eight sees four times what the others do, and no two see the same.
        self.weights = [
            chance.uniform(0.5, 1.5) * (4.0 if chance.random() < 0.125 else 1.0) for _ in self.nodes
        ]
        for part in (0, 1):
            self.clock.at(SETTLING + STEP * part, self.replace, part)
        for node in self.nodes:
            if chance.random() < case.restarts:
                self.clock.at(SETTLING + chance.uniform(0.0, case.within), node.live)
        self.clock.after(self.pause(), self.arrival)

    def now(self) -> float:
        return EPOCH + self.clock.now

    def work(self) -> float:
        return self.chance.uniform(0.5, 1.5) * 1000.0 / self.case.rate

    def pause(self) -> float:
        return self.chance.expovariate(self.case.load * self.case.servers * self.case.rate / 1000.0)

    def arrival(self) -> None:
        self.asked += 1
        self.chance.choices(self.nodes, self.weights)[0].ask()
        self.clock.after(self.pause(), self.arrival)

    def replace(self, part: int) -> None:
        """Half of those to be replaced go, and as many start; each node is told at a time of its own."""
        many = round(self.case.replaced * self.case.servers / 2)
        old = self.servers[many * part : many * (part + 1)]
        new = [Server(f"t{part}.{i}", self.clock.now, self.case) for i in range(many)]
        self.started += new
        for server in old:
            server.standing = EndpointState.GONE
        for node in self.nodes:
            self.clock.after(self.chance.uniform(20.0, 400.0), node.told, [*old, *new])

    def play(self) -> list[Start]:
        self.clock.run(SETTLING + STEP + self.case.rule.warmup_ms)
        return [Start(s.worst, s.fell) for s in self.started]
