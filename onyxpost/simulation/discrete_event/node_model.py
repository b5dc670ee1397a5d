"""Edge nodes of the emulator: the real module, with connections and messages that take emulated time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from onyxpost.core.events import (
    AttemptFinished,
    EndpointsUpdated,
    Event,
    PeerMessageReceived,
    RequestArrived,
    RequestCancelled,
    TimerFired,
)
from onyxpost.core.options import GatewayOptions
from onyxpost.core.types import AttemptResult, Frontend
from onyxpost.policy.gateway import Gateway
from onyxpost.simulation.discrete_event.event_queue import Clockwork
from onyxpost.simulation.discrete_event.server_model import Server

if TYPE_CHECKING:
    from onyxpost.simulation.discrete_event.world import World

TICK = 2.0  # ms by which an answer leaves before the client's time is up
REST_SHARE = 0.75  # of the servers' keep-alive after which an idle connection is not used again


class Held:
    """A client's try that a node took."""

    __slots__ = ("ask", "done", "final", "flights", "leaves", "reached", "rid", "sent_any")

    def __init__(self, rid: str, ask: Any, leaves: float, final: Callable[[str, float], None]) -> None:
        self.rid, self.ask, self.leaves, self.final = rid, ask, leaves, final
        self.done = self.sent_any = False
        self.flights: list[Flight | None] = []
        self.reached = 0


class Flight:
    """One attempt between a node and a server. It has one end."""

    __slots__ = (
        "began",
        "held",
        "life",
        "linked",
        "node",
        "number",
        "over",
        "place",
        "server",
        "work",
        "written",
    )

    def __init__(self, node: Node, held: Held, number: int, server: Server) -> None:
        self.node, self.held, self.number, self.server = node, held, number, server
        self.life, self.began = node.life, node.clock.now
        self.over = self.linked = self.written = False  # linked: it holds a connection
        self.place = -1  # among those that reached a server
        self.work = held.ask.work

    def name(self) -> tuple[str, str]:
        return self.node.name, self.held.rid

    def begin(self, give_up_after: float) -> None:
        node, world = self.node, self.node.world
        self.node.clock.after(give_up_after, self.expire)
        one_way = world.one_way(node.zone, self.server.zone)
        if node.pooled(self.server):
            self.linked = True
            node.clock.after(one_way, self.arrive)
        elif not world.reach(node.zone, self.server.zone):
            node.clock.after(world.scenario.links.connect_timeout_ms, self.end, AttemptResult.NO_CONNECTION)
        else:
            node.clock.after(2.0 * one_way, self.connect)

    def connect(self) -> None:
        if self.over or not self.server.connect():
            self.end(AttemptResult.NO_CONNECTION)
            return
        self.linked = True
        self.node.opened += 1
        handshake = self.node.world.scenario.fleet.handshake_ms
        self.work += handshake  # the server's cores pay for it
        self.node.clock.after(handshake, self.arrive)

    def arrive(self) -> None:
        if self.over:
            return
        node, server, held = self.node, self.server, self.held
        if not server.alive:
            self.end(AttemptResult.NO_CONNECTION)
            return
        self.written = True
        if not node.world.reach(node.zone, server.zone):
            return  # silence: its time-out ends it
        self.place, held.reached = held.reached, held.reached + 1
        node.world.sent_on(held, node, server)
        server.take(self)

    def back(self, result: AttemptResult) -> None:
        """The server is done with it; the answer still has its way to go."""
        node, server = self.node, self.server
        if not node.world.reach(node.zone, server.zone):
            return
        node.clock.after(node.world.one_way(node.zone, server.zone), self.end, result)

    def expire(self) -> None:
        if not self.over:
            self.end(AttemptResult.EXPIRED if self.written else AttemptResult.NO_CONNECTION)

    def cancel(self) -> None:
        if not self.over:
            self.over = True
            self.give_back()
            self.node.later(self, AttemptResult.CANCELLED if self.written else AttemptResult.UNUSED)

    def end(self, result: AttemptResult) -> None:
        if not self.over and self.node.life == self.life:
            self.over = True
            if result in (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL):
                self.linked = False
                self.node.keep(self.server)
            else:
                self.give_back()
            self.node.ended(self, result)

    def give_back(self) -> None:
        self.server.drop(self)
        if self.linked and self.server.alive:
            self.server.connections -= 1
        self.linked = False


class Node:
    """One edge node: the host and writer of one gateway for each of its lives."""

    world: World
    clock: Clockwork
    name: str
    zone: int
    life: int
    alive: bool
    opened: int
    gateway: Gateway

    def __init__(self, world: World, number: int, zone: int) -> None:
        self.world, self.clock, self.number, self.zone = world, world.clock, number, zone
        self.name = f"n{number}"
        self.life = 0
        self.alive = False
        self.chance = Random(f"{world.seed}/node/{number}")
        self.known: dict[str, Server] = {}
        self.rows: dict[str, Any] = {}
        self.pending: dict[str, Any] = {}  # rows not told yet
        self.flushing = False
        self.idle: dict[str, list[float]] = {}
        self.taken = 0
        self.opened = self.messages = self.message_bytes = self.unheard = 0
        self.heard_in: list[float] = []
        self.held: dict[str, Held] = {}
        self.after_round: list[Event] = []

    # Lives

    def start(self) -> None:
        self.life += 1
        self.alive = True
        self.idle, self.held, self.after_round = {}, {}, []
        w = self.world
        if w.planning is not None:
            w.planning.node_started(self)
        options = GatewayOptions(
            seed=self.chance.getrandbits(48),
            node_index=self.number,
            node_count=len(w.nodes),
            tick_ms=TICK,
            frontends=w.frontends,
            plans=w.plans,
            slow_start=w.cold,
            limits=w.scenario.allowed(),
            polls_endpoints=False,
        )
        self.gateway = Gateway(self.now(), options)
        self.handle(EndpointsUpdated(True, list(self.rows.values())))
        for server, row in self.rows.items():
            w.checker.on_endpoint_notified(self.clock.now, self.name, server, row.state)

    def kill(self) -> None:
        self.alive = False
        for held in self.held.values():
            for flight in held.flights:
                if flight is not None and not flight.over:
                    flight.over = True
                    flight.give_back()
        for server, links in self.idle.items():
            if (known := self.known.get(server)) is not None and known.alive:
                known.connections -= len(links)
        self.idle = {}
        self.world.checker.on_node_killed(self.clock.now, self.name)
        holding, self.held = list(self.held.values()), {}
        for held in holding:
            if not held.done:
                held.final("cut", 0.0)

    def now(self) -> float:
        return self.world.epoch + self.clock.now

    def handle(self, *events: Event) -> None:
        self.gateway.handle(self.now(), events, self)
        while self.after_round:
            later, self.after_round = self.after_round, []
            self.gateway.handle(self.now(), later, self)

    # What comes in

    def ask(self, ask: Any, frontend: Frontend, patience: float, final: Callable[[str, float], None]) -> str:
        self.taken += 1
        rid = f"{self.life}.{self.taken}"
        held = self.held[rid] = Held(rid, ask, self.clock.now + patience - TICK, final)
        customer = ask.customer
        self.world.checker.on_request_received(
            self.clock.now, self.name, rid, frontend, customer.key, ask.units, self.clock.now + patience
        )
        self.handle(
            RequestArrived(
                rid,
                self.world.epoch + held.leaves,
                frontend.name,
                customer.key,
                customer.plan.name,
                ask.units,
                customer.spread,
                customer.first,
            )
        )
        return rid

    def client_left(self, rid: str) -> None:
        held = self.held.get(rid)
        if held is not None and not held.done and self.alive:
            held.done = True
            self.world.checker.on_client_disconnected(self.clock.now, self.name, rid)
            self.handle(RequestCancelled(rid))
            self.forget(held)

    def ended(self, flight: Flight, result: AttemptResult) -> None:
        held = flight.held
        held.flights[flight.number] = None
        settled = held.done
        if flight.place >= 0:
            self.world.checker.on_attempt_ended(
                self.clock.now, self.name, held.rid, flight.place, result.never_executed
            )
        if result is AttemptResult.OK and not settled:
            settled = True
            self.answer(held, "passed", 0.0)
        waited = self.clock.now - flight.began
        self.handle(AttemptFinished(held.rid, flight.number, result, waited, settled, 0))
        self.forget(held)

    def later(self, flight: Flight, result: AttemptResult) -> None:
        held = flight.held
        held.flights[flight.number] = None
        if flight.place >= 0:
            self.world.checker.on_attempt_ended(
                self.clock.now, self.name, held.rid, flight.place, result.never_executed
            )
        waited = self.clock.now - flight.began
        self.after_round.append(AttemptFinished(held.rid, flight.number, result, waited, held.done, 0))

    def hear(self, life: int, peer: int, body: str) -> None:
        """A node takes in so many messages a second; the others are lost."""
        if not self.alive:
            return
        now = self.clock.now
        self.heard_in = [at for at in self.heard_in if at > now - 1000.0]
        if len(self.heard_in) >= self.world.scenario.links.peer_intake:
            self.unheard += 1
            return
        self.heard_in.append(now)
        self.handle(PeerMessageReceived(peer, body))

    def list_change(self, server: Server, late: float) -> None:
        """What changes until the next telling is told with it."""
        self.pending[server.id] = server
        if not self.flushing:
            self.flushing = True
            self.clock.after(late, self.flush)

    def flush(self) -> None:
        self.flushing = False
        if not self.alive:
            self.flushing = True
            self.clock.after(200.0, self.flush)
            return
        servers, self.pending = list(self.pending.values()), {}
        rows = []
        for server in servers:
            row = server.row(self.world.epoch)
            rows.append(row)
            self.world.checker.on_endpoint_notified(self.clock.now, self.name, server.id, row.state)
            if row.state.value == "gone":
                self.rows.pop(server.id, None)
                self.known.pop(server.id, None)
                self.idle.pop(server.id, None)
            else:
                self.rows[server.id], self.known[server.id] = row, server
        self.handle(EndpointsUpdated(False, rows))

    # Connections

    def pooled(self, server: Server) -> bool:
        links = self.idle.get(server.id)
        if not links:
            return False
        fresh = self.clock.now - REST_SHARE * self.world.scenario.fleet.keep_alive_ms
        last = links.pop()
        if last >= fresh and server.alive:
            return True
        if server.alive:
            server.connections -= len(links) + 1
        links.clear()
        return False

    def keep(self, server: Server) -> None:
        if server.alive and server.id in self.known:
            self.idle.setdefault(server.id, []).append(self.clock.now)
        elif server.alive and server.connections:
            server.connections -= 1

    def sweep(self) -> None:
        fresh = self.clock.now - REST_SHARE * self.world.scenario.fleet.keep_alive_ms
        for sid, links in list(self.idle.items()):
            kept = [at for at in links if at >= fresh]
            server = self.known.get(sid)
            if server is not None and server.alive:
                server.connections -= len(links) - len(kept)
            if kept:
                self.idle[sid] = kept
            else:
                del self.idle[sid]

    # The module's writer

    def start_attempt(self, req: str, server: str, give_up_after: float, begin_before: float) -> None:
        held = self.held[req]
        number = len(held.flights)
        known = self.known.get(server)
        until = min(give_up_after, held.leaves - self.clock.now)
        if known is None or held.done or until <= 0.0:
            held.flights.append(None)
            self.after_round.append(AttemptFinished(req, number, AttemptResult.UNUSED, 0.0, held.done, 0))
            return
        flight = Flight(self, held, number, known)
        held.flights.append(flight)
        self.world.count("attempts")
        flight.begin(until)

    def answer(self, held: Held, final: str, retry_after: float) -> None:
        if not held.done:
            held.done = True
            self.world.checker.on_final_answer(self.clock.now, self.name, held.rid, final)
            held.final(final, retry_after)

    def reject(self, req: str, retry_after: float) -> None:
        if held := self.held.get(req):
            self.answer(held, "denied", retry_after)
            self.forget(held)

    def abort(self, req: str) -> None:
        if held := self.held.get(req):
            self.answer(held, "aborted", 0.0)
            self.forget(held)

    def forget(self, held: Held) -> None:
        if held.done and all(flight is None for flight in held.flights):
            if self.held.pop(held.rid, None) is not None:
                self.world.checker.forget_request(self.name, held.rid)

    def cancel_attempt(self, req: str, number: int) -> None:
        held = self.held.get(req)
        flight = held.flights[number] if held is not None and number < len(held.flights) else None
        if flight is not None:
            flight.cancel()

    def send_peer_message(self, peer: int, body: str) -> None:
        self.messages += 1
        self.message_bytes += len(body)
        self.world.message(self, peer, body)

    def start_timer(self, after: float, token: int) -> None:
        self.clock.after(after, self.woken, self.life, token)

    def woken(self, life: int, token: int) -> None:
        if self.alive and life == self.life:
            self.handle(TimerFired(token))

    def log(self, line: str) -> None:
        self.world.node_log(self, line)

    def watch_endpoints(self) -> None:
        pass

    def report_units_spent(self, customer: int, plan: str, units: int, lease: int) -> None:
        self.world.spend(self, customer, plan, units, lease)

    def return_lease(self, lease: int, units: int) -> None:
        self.world.unused(self, lease, units)
