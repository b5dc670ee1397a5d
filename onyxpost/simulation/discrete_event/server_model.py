"""App servers of the emulator: cores, queues, connections, cold starts, and the ways in which they fail."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from onyxpost.core.types import AttemptResult, EndpointState, EndpointStatus, SlowStartPolicy
from onyxpost.simulation.discrete_event.event_queue import Clockwork
from onyxpost.simulation.discrete_event.scenario import Fleet
from onyxpost.simulation.invariants import InvariantChecker

QUICK = 2.0  # ms in which a server fails a req or turns it away


class Flight(Protocol):
    """One attempt, as a server sees it."""

    work: float
    over: bool

    def back(self, result: AttemptResult) -> None: ...
    def name(self) -> tuple[str, str]: ...


class Server:
    def __init__(
        self,
        clock: Clockwork,
        checker: InvariantChecker,
        fleet: Fleet,
        cold: SlowStartPolicy,
        chance: Random,
        sid: str,
        zone: int,
        cell: int,
        speed: float,
        started: float,
    ) -> None:
        self.clock, self.checker, self.fleet, self.cold, self.chance = clock, checker, fleet, cold, chance
        self.id, self.zone, self.cell, self.speed, self.started = sid, zone, cell, speed, started
        self.standing, self.alive, self.fell = EndpointState.READY, True, False
        self.slow, self.fails, self.loses, self.hung = 1.0, 0.0, 0.0, False
        self.waiting: deque[Flight] = deque()
        self.holds: dict[Flight, None] = {}  # waiting, running or hung
        self.running = self.connections = self.handshakes = self.refused = 0
        self.on_death: list[Callable[[Server], None]] = []
        if started > 0.0:
            checker.on_server_started(started, sid, fleet.cores * speed)

    def row(self, epoch: float) -> EndpointStatus:
        started = epoch + self.started if self.started > 0.0 else 0.0
        return EndpointStatus(self.id, f"h{self.zone}", self.cell, self.standing, 1.0, started)

    def warmth(self) -> float:
        age = self.clock.now - self.started
        if self.started <= 0.0 or age >= self.cold.warmup_ms:
            return 1.0
        return max(self.cold.initial_fraction, age / self.cold.warmup_ms)

    def connect(self) -> bool:
        if not self.alive or self.connections >= self.fleet.connections:
            self.refused += 1
            return False
        self.connections += 1
        self.handshakes += 1
        return True

    def take(self, flight: Flight) -> None:
        """A req's last byte is here."""
        if self.standing is EndpointState.DRAINING or len(self.waiting) >= self.fleet.queue:
            self.clock.after(QUICK, flight.back, AttemptResult.FULL)
            return
        node, req = flight.name()
        if not self.checker.on_work_received(self.clock.now, self.id, flight.work, node, req):
            self.fell = True
            self.die()
            flight.back(AttemptResult.LOST)
            return
        if self.fails and self.chance.random() < self.fails:
            self.clock.after(QUICK, flight.back, AttemptResult.ERROR)
            return
        self.holds[flight] = None
        if self.hung:
            return
        if self.running < self.fleet.cores:
            self.start(flight)
        else:
            self.waiting.append(flight)

    def start(self, flight: Flight) -> None:
        self.running += 1
        self.clock.after(flight.work * self.slow / (self.speed * self.warmth()), self.ran, flight)

    def ran(self, flight: Flight) -> None:
        if not self.alive:
            return
        self.running -= 1
        if flight in self.holds:
            del self.holds[flight]
            lost = bool(self.loses) and self.chance.random() < self.loses
            flight.back(AttemptResult.LOST if lost else AttemptResult.OK)
        while self.waiting and self.running < self.fleet.cores:
            following = self.waiting.popleft()
            if following in self.holds:
                self.start(following)

    def drop(self, flight: Flight) -> None:
        """The node gave up: what waits is dropped, what runs runs on."""
        self.holds.pop(flight, None)

    def hang(self, hung: bool) -> None:
        if hung and not self.hung:  # what runs is lost with the rest
            self.waiting.clear()
        self.hung = hung

    def die(self) -> None:
        if not self.alive:
            return
        self.alive = False
        self.checker.on_server_removed(self.id)
        held, self.holds = list(self.holds), {}
        self.waiting.clear()
        self.connections = self.running = 0
        for told in self.on_death:
            told(self)
        for flight in held:
            flight.back(AttemptResult.LOST)

    def as_dict(self) -> dict[str, Any]:
        return {"server": self.id, "zone": self.zone, "handshakes": self.handshakes, "fell": self.fell}
