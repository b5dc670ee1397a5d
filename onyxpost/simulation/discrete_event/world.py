"""The emulator: one world of app servers, zones, lists, customers and edge nodes, played from a seed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from random import Random
from typing import Any

from onyxpost.core.types import EndpointState, Frontend, Plan
from onyxpost.simulation.discrete_event import scenario as s
from onyxpost.simulation.discrete_event.event_queue import Clockwork
from onyxpost.simulation.discrete_event.node_model import Held, Node
from onyxpost.simulation.discrete_event.planner_model import PlannerModel
from onyxpost.simulation.discrete_event.server_model import Server
from onyxpost.simulation.invariants import AttemptRecord, InvariantChecker
from onyxpost.simulation.virtual_time import EPOCH

SLACK = 50.0  # ms that the checker allows beside each limit
TOP = 10.0  # s of the worst stretch that the totals name


class Quota:
    """A customer's true use: what all nodes together sent on, each try once."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, 0.0

    def fill(self, now: float) -> float:
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / 1000.0)
        self.at = now
        return self.level

    def draw(self, now: float, units: int) -> float:
        """The part of them that is beyond the quota."""
        over = min(float(units), max(0.0, units - self.fill(now)))
        self.level = max(-self.rate, self.level - units)
        return over


class Customer:
    def __init__(self, key: str, plan: Plan, asks: float, first: int, spread: int) -> None:
        self.key, self.plan, self.asks, self.first, self.spread = key, plan, asks, first, spread
        self.quota = Quota(plan.rate, plan.burst)
        self.ideal = Quota(plan.rate, plan.burst)  # one count that sees all and lets in all that it holds
        self.weights: list[float] = []
        self.times = 1.0


class Ask:
    """A client's req with all its tries."""

    __slots__ = ("customer", "first_at", "frontend", "trial", "tries", "units", "within", "work")

    def __init__(self, customer: Customer, frontend: Frontend, units: int, work: float, at: float) -> None:
        self.customer, self.frontend, self.units, self.work = customer, frontend, units, work
        self.first_at = at
        self.within = False  # sent on while its quota held it
        self.tries = self.trial = 0


class World:
    def __init__(self, scenario: s.Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.clock, self.epoch = Clockwork(), EPOCH
        self.cold = scenario.cold.rule()
        self.frontends = [work.frontend() for work in scenario.work]
        self.works = {work.name: work for work in scenario.work}
        self.plans = self._plans()
        self.checker = InvariantChecker(
            drain_grace_ms=scenario.drain_grace_ms,
            slow_start=self.cold,
            plans=self.plans,
            tolerance_ms=SLACK,
            max_request_units=max(work.units for work in scenario.work),
        )
        self.seconds: list[Counter[str]] = [Counter() for _ in range(int(scenario.seconds) + 1)]
        self.modes: Counter[str] = Counter()
        self.links, self.chance = Random(f"{seed}/links"), Random(f"{seed}/servers")
        self.clients, self.troubles = Random(f"{seed}/clients"), Random(f"{seed}/troubles")
        self.cut: int | None = None
        self.deaf, self.lists_later = False, 0.0
        self.lives = 0
        self.cold_peak = 0.0
        fleet = scenario.fleet
        self.servers: dict[str, Server] = {}
        for i in range(fleet.servers):
            self.new_server(i % fleet.zones, i % fleet.cells, 0.0)
        self.nodes: list[Node] = []
        self.nodes += [Node(self, i, i % fleet.zones) for i in range(fleet.nodes)]
        self.noticed = [True] * fleet.nodes  # the front's view: is the node there?
        self.customers = self._customers()
        told = scenario.planners
        self.planning = (
            PlannerModel(self, told.count, told.share, told.lease_ms) if told is not None else None
        )

    def _plans(self) -> list[Plan]:
        """Quotas such that use inside them is the wanted share of what the fleet can do."""
        fleet, c = self.scenario.fleet, self.scenario.customers
        whole = sum(work.share for work in self.scenario.work)
        work = sum(w.share / whole * sum(w.work_ms) / 2.0 for w in self.scenario.work)
        units = sum(w.share / whole * w.units for w in self.scenario.work)
        able = fleet.servers * fleet.cores * sum(fleet.speed) / 2.0 * 1000.0 / work  # reqs a second
        # What a customer asks for inside its quota, in parts of it: the greedy use it all.
        use = c.greedy + (1.0 - c.greedy) * sum(c.steady) / 2.0
        weight = sum(plan.customers * plan.weight for plan in self.scenario.plans)
        per_weight = c.busy * able * units / (use * weight)
        burst = [sum(plan.burst_s) / 2.0 for plan in self.scenario.plans]
        made = []
        for plan, held in zip(self.scenario.plans, burst, strict=True):
            rate = per_weight * plan.weight
            most = max(2.0, rate * held)
            made.append(Plan(plan.name, rate, most, 0, plan.price, plan.ceiling * rate, plan.ceiling * most))
        return made

    def _customers(self) -> list[Customer]:
        chance, c = Random(f"{self.seed}/customers"), self.scenario.customers
        made = []
        for tariff, plan in zip(self.scenario.plans, self.plans, strict=True):
            # As many in each run: left to chance, seeds would differ by their load alone.
            greedy = set(chance.sample(range(tariff.customers), round(c.greedy * tariff.customers)))
            for i in range(tariff.customers):
                times = chance.uniform(*(c.greedy_times if i in greedy else c.steady))
                spread = chance.randint(*tariff.spread)
                first = chance.randrange(self.scenario.fleet.nodes)
                made.append(Customer(f"{tariff.name}-{i}", plan, times * plan.rate, first, spread))
        return made

    # The run

    def play(self) -> None:
        until = self.scenario.seconds * 1000.0
        if self.planning is not None:
            self.planning.start()
        for node in self.nodes:
            node.known = dict(self.servers)
            node.rows = {server.id: server.row(self.epoch) for server in self.servers.values()}
            node.start()
            self.clock.after(1000.0, self.sweep, node)
        for customer in self.customers:
            self.shift(customer)
            self.next_ask(customer)
        for event in self.scenario.events:
            self.clock.at(event.at_s * 1000.0, getattr(self, "begin_" + type(event).__name__.lower()), event)
        self.clock.at(100.0, self.look)
        self.clock.run(until)
        self.checker.finish(self.clock.now)

    def second(self) -> Counter[str]:
        return self.seconds[min(len(self.seconds) - 1, int(self.clock.now // 1000.0))]

    def count(self, what: str, amount: float = 1) -> None:
        self.second()[what] += amount  # type: ignore[assignment]

    def look(self) -> None:
        """Ten times a second: the rules that time alone can break, and what is held."""
        self.checker.check_deadlines(self.clock.now)
        now = self.second()
        out = sum(len(server.holds) for server in self.servers.values())
        now["held_most"] = max(now["held_most"], out)
        now["cold_permille"] = max(now["cold_permille"], self._coldest())
        now["connections_most"] = max(
            now["connections_most"], max((x.connections for x in self.servers.values()), default=0)
        )
        self.clock.after(100.0, self.look)

    def _coldest(self) -> int:
        loads = [self.checker.slow_start_load(server) for server in self.checker.slow_start.servers]
        return round(1000.0 * max(loads, default=0.0))

    def sweep(self, node: Node) -> None:
        if node.alive:
            node.sweep()
        self.clock.after(1000.0, self.sweep, node)

    # Network

    def reach(self, here: int, there: int) -> bool:
        return self.cut is None or (here == self.cut) == (there == self.cut)

    def one_way(self, here: int, there: int) -> float:
        links = self.scenario.links
        return self.links.uniform(*(links.within_ms if here == there else links.between_ms))

    def message(self, node: Node, peer: int, body: str) -> None:
        links, to = self.scenario.links, self.nodes[peer]
        self.count("messages")
        self.count("message_bytes", len(body))
        if self.deaf or not self.reach(node.zone, to.zone) or self.links.random() < links.peer_loss:
            self.count("messages_lost")
            return
        self.clock.after(self.links.uniform(*links.peer_ms), to.hear, to.life, node.number, body)

    def spend(self, node: Node, customer: int, plan: str, units: int, lease: int) -> None:
        if self.planning is not None:
            self.planning.report_units_spent(node, customer, plan, units, lease)

    def unused(self, node: Node, lease: int, units: int) -> None:
        if self.planning is not None:
            self.planning.return_lease(node, lease, units)

    def node_log(self, node: Node, line: str) -> None:
        self.modes["passed over" if "passed over" in line else line.split(" ")[0]] += 1

    # Clients

    def shift(self, customer: Customer) -> None:
        """Other nodes now get most of a customer's reqs."""
        customer.weights = [self.clients.expovariate(1.0) for _ in range(customer.spread)]
        lasts = 1000.0 * self.clients.uniform(*self.scenario.customers.shift_s)
        self.clock.after(lasts, self.shift, customer)

    def next_ask(self, customer: Customer) -> None:
        units = sum(w.share * w.units for w in self.scenario.work) / sum(w.share for w in self.scenario.work)
        rate = customer.asks * customer.times / units / 1000.0
        self.clock.after(self.clients.expovariate(rate), self.ask, customer)

    def ask(self, customer: Customer) -> None:
        self.next_ask(customer)
        (work,) = self.clients.choices(self.scenario.work, [w.share for w in self.scenario.work])
        frontend = self.frontends[self.scenario.work.index(work)]
        inside = customer.ideal.fill(self.clock.now) >= work.units
        if inside:
            customer.ideal.draw(self.clock.now, work.units)
        ask = Ask(customer, frontend, work.units, self.clients.uniform(*work.work_ms), self.clock.now)
        self.count("offered")
        if inside:
            self.count("offered_inside")
            self.count("value_inside", self.value(ask))
        self.try_(ask)

    def value(self, ask: Ask) -> float:
        return ask.frontend.priority_weight * ask.units * ask.customer.plan.priority_factor

    def try_(self, ask: Ask) -> None:
        customer, c = ask.customer, self.scenario.customers
        ask.tries += 1
        self.count("tries")
        numbers = [(customer.first + i) % len(self.nodes) for i in range(customer.spread)]
        weights = [w * self.noticed[n] for n, w in zip(numbers, customer.weights, strict=True)]
        if not any(weights):
            self.over(ask, "cut", 0.0)
            return
        node = self.nodes[self.clients.choices(numbers, weights)[0]]
        if not node.alive:
            self.over(ask, "cut", 0.0)
            return
        patience = ask.frontend.client_timeout_ms * self.clients.uniform(*c.patience)
        ask.trial += 1
        trial = ask.trial

        def final(kind: str, retry_after: float) -> None:
            if ask.trial == trial:
                ask.trial += 1
                self.over(ask, kind, retry_after)

        rid = node.ask(ask, ask.frontend, ask.frontend.client_timeout_ms, final)
        if ask.trial == trial:
            self.clock.after(patience, self.give_up, ask, trial, node, node.life, rid)

    def give_up(self, ask: Ask, trial: int, node: Node, life: int, rid: str) -> None:
        if ask.trial == trial:
            ask.trial += 1
            if node.life == life:
                node.client_left(rid)
            self.over(ask, "gave_up", 0.0)

    def over(self, ask: Ask, kind: str, retry_after: float) -> None:
        self.count(kind)
        now, frontend = self.clock.now, ask.frontend
        if kind == "passed":
            took = now - ask.first_at
            late = took > frontend.latency_objective_ms
            if ask.within:
                self.count("value_passed", self.value(ask) * (frontend.late_weight if late else 1.0))
            self.count("late" if late else "in_time")
            self.count("took_ms", took)
            return
        if kind == "denied" and ask.customer.quota.fill(now) >= ask.units:
            self.count("denied_with_room")
        if ask.tries <= self.scenario.customers.retries:
            wait = max(retry_after, self.clients.uniform(*self.scenario.customers.retry_ms))
            self.clock.after(wait, self.try_, ask)

    def sent_on(self, held: Held, node: Node, server: Server) -> None:
        """An attempt's last byte is at the server."""
        ask, now = held.ask, self.clock.now
        if not held.sent_any:
            held.sent_any = True
            self.count("units", ask.units)
            beyond = ask.customer.quota.draw(now, ask.units)
            ask.within = not beyond
            self.count("units_beyond", beyond)
        zone, plan = f"h{server.zone}", ask.customer.plan.name
        attempt = AttemptRecord(node.name, held.rid, server.id, now, now, zone, server.cell, plan)
        self.checker.on_attempt_sent(attempt)

    # Servers and lists

    def new_server(self, zone: int, cell: int, started: float) -> Server:
        self.lives += 1
        speed = self.chance.uniform(*self.scenario.fleet.speed)
        chance = Random(f"{self.seed}/server/{self.lives}")
        server = Server(
            self.clock,
            self.checker,
            self.scenario.fleet,
            self.cold,
            chance,
            f"s{self.lives}",
            zone,
            cell,
            speed,
            started,
        )
        server.on_death.append(self.died)
        self.servers[server.id] = server
        return server

    def died(self, server: Server) -> None:
        self.count("servers_died")
        if server.fell:
            self.count("servers_fell")
        for node in self.nodes:
            node.idle.pop(server.id, None)
        server.standing = EndpointState.GONE
        self.servers.pop(server.id, None)
        self.tell(server)

    def tell(self, server: Server) -> None:
        for node in self.nodes:
            node.list_change(server, self.lists_later + self.links.uniform(*self.scenario.lists.late_ms))

    def some(self, share: float) -> list[Server]:
        ids = sorted(self.servers, key=lambda sid: int(sid[1:]))
        return [self.servers[sid] for sid in self.troubles.sample(ids, round(share * len(ids)))]

    # Troubles

    def begin_release(self, e: s.Release) -> None:
        chosen = self.some(e.share)
        size = -(-len(chosen) // e.steps)
        for step in range(e.steps):
            part = chosen[step * size : (step + 1) * size]
            self.clock.after(1000.0 * e.for_s * step / e.steps, self.replace, part, e.drain_s * 1000.0)

    def replace(self, part: list[Server], drain: float) -> None:
        for server in part:
            if server.alive:
                server.standing = EndpointState.DRAINING
                self.tell(server)
                self.clock.after(drain, self.renew, server)

    def renew(self, server: Server) -> None:
        server.die()
        self.tell(self.new_server(server.zone, server.cell, self.clock.now))

    def begin_kill(self, e: s.Kill) -> None:
        for node in self.troubles.sample(self.nodes, round(e.share * len(self.nodes))):
            if node.alive:
                node.kill()
                self.clock.after(1000.0 * self.scenario.customers.front_s, self.notice, node)
                self.clock.after(1000.0 * e.back_s, self.revive, node)

    def notice(self, node: Node) -> None:
        self.noticed[node.number] = node.alive

    def revive(self, node: Node) -> None:
        node.start()
        self.noticed[node.number] = True

    def begin_zonelost(self, e: s.ZoneLost) -> None:
        lost = [server for server in self.servers.values() if server.zone == e.zone]
        for server in lost:
            server.die()
        self.clock.after(1000.0 * e.for_s, self.zone_back, lost)

    def zone_back(self, lost: list[Server]) -> None:
        for server in lost:
            self.tell(self.new_server(server.zone, server.cell, self.clock.now))

    def begin_split(self, e: s.Split) -> None:
        self.cut, self.deaf, self.lists_later = e.zone, e.deaf, 1000.0 * e.list_late_s
        self.clock.after(1000.0 * e.for_s, self.heal)

    def heal(self) -> None:
        self.cut, self.deaf, self.lists_later = None, False, 0.0

    def begin_plannerslost(self, e: s.PlannersLost) -> None:
        """The first ones; they come back with nothing."""
        if self.planning is not None:
            names = self.planning.names[: round(e.share * len(self.planning.names))]
            for name in names:
                self.planning.kill_planner(name)
                self.clock.after(1000.0 * e.for_s, self.planning.start_planner, name)

    def lasting(self, e: s.Lasting, servers: list[Server], name: str, value: float, before: float) -> None:
        self.put(servers, name, value)
        self.clock.after(1000.0 * e.for_s, self.put, servers, name, before)

    def put(self, servers: list[Server], name: str, value: float) -> None:
        for server in servers:
            setattr(server, name, value)

    def begin_slow(self, e: s.Slow) -> None:
        self.lasting(e, self.some(e.share), "slow", e.times, 1.0)

    def begin_failing(self, e: s.Failing) -> None:
        self.lasting(e, self.some(e.share), "fails", e.fails, 0.0)

    def begin_answerslost(self, e: s.AnswersLost) -> None:
        self.lasting(e, list(self.servers.values()), "loses", e.share, 0.0)

    def begin_hung(self, e: s.Hung) -> None:
        hung = self.some(e.share)
        self.hang(hung, True)
        self.clock.after(1000.0 * e.for_s, self.hang, hung, False)

    def hang(self, servers: list[Server], hung: bool) -> None:
        for server in servers:
            server.hang(hung)

    def begin_surge(self, e: s.Surge) -> None:
        chosen = [c for c in self.customers if not e.plan or c.plan.name == e.plan]
        for customer in chosen:
            customer.times *= e.times
        self.clock.after(1000.0 * e.for_s, self.surge_over, chosen, e.times)

    def surge_over(self, chosen: list[Customer], times: float) -> None:
        for customer in chosen:
            customer.times /= times


# What a run says


def lines(world: World) -> Iterator[dict[str, Any]]:
    """A run's results, a line each: its head, its seconds, its breaches, its totals."""
    sc = world.scenario
    head = {"scenario": sc.name, "seed": world.seed, "nodes": sc.fleet.nodes, "servers": sc.fleet.servers}
    yield {"kind": "run", **head, "seconds": sc.seconds}
    for t, second in enumerate(world.seconds[: int(sc.seconds)]):
        yield {"kind": "second", "t": t, **{k: round(v, 3) for k, v in sorted(second.items())}}
    for b in world.checker.violations:
        yield {"kind": "breach", **b.to_record()}
    yield {"kind": "total", **head, **totals(world)}


def totals(world: World) -> dict[str, Any]:
    whole: Counter[str] = Counter()
    for second in world.seconds:
        whole.update(second)
    tries, sent = max(1, whole["tries"]), max(1, whole["units"])
    return {
        "passed_value": _share(whole["value_passed"], whole["value_inside"]),
        "worst_10s": _worst(world.seconds[: int(world.scenario.seconds)]),
        "denied_with_room": round(whole["denied_with_room"] / tries, 4),
        "beyond_quota": round(whole["units_beyond"] / sent, 4),
        "late": _share(whole["late"], whole["passed"]),
        "mean_ms": round(whole["took_ms"] / max(1, whole["passed"]), 1),
        "attempts_per_try": round(whole["attempts"] / tries, 4),
        "handshakes_per_attempt": _share(sum(n.opened for n in world.nodes), whole["attempts"]),
        "connections_most": max(s["connections_most"] for s in world.seconds),
        "messages_per_try": round(whole["messages"] / tries, 3),
        "message_bytes_per_try": round(whole["message_bytes"] / tries, 1),
        "unheard": _share(sum(n.unheard for n in world.nodes), whole["messages"]),
        "servers_fell": whole["servers_fell"],
        "cold_load_most": max(s["cold_permille"] for s in world.seconds) / 1000.0,
        "modes": dict(sorted(world.modes.items())),
        "breaches": len(world.checker.violations),
        "tries": whole["tries"],
        "events": world.clock.done,
    }


def _share(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 0.0


def _worst(seconds: list[Counter[str]]) -> float:
    """The least share of value in any stretch of ten seconds: passed in it, of what was asked for in it."""
    size = min(int(TOP), len(seconds))
    shares = []
    for at in range(len(seconds) - size + 1):
        part = seconds[at : at + size]
        asked = sum(x["value_inside"] for x in part)
        if asked:
            shares.append(sum(x["value_passed"] for x in part) / asked)
    return round(min(shares, default=0.0), 4)
