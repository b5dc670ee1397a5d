"""Simulated clients, app servers and peer messages that drive the simulator host."""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from tests.compatibility.simulated_servers import SimulatedServers
from tests.compatibility.simulator_program import CallSchedule, SimulatorProgram
from tests.compatibility.simulator_scenarios import (
    CHANGES,
    COMPLETE,
    DRAINING,
    FAILED,
    FRONTENDS,
    GONE,
    MICROSECONDS_PER_SECOND,
    PLANS,
    READY,
    Scenario,
)

if TYPE_CHECKING:
    from tests.compatibility.http_requests import Fields


class Request:
    """A client's request to one node."""

    def __init__(self, node: int, ref: str, streamed: bool) -> None:
        self.node = node
        self.ref = ref
        self.streamed = streamed
        self.answered = False
        self.attempts: list[bool] = []  # whether each attempt is in flight


class World:
    """Drives the simulator host with clients, app servers and peer messages drawn from a seed."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.schedule = CallSchedule()
        self.request_count = 0
        self.events: list[Fields] = []
        self.requests: dict[tuple[int, str], Request] = {}
        self.alive: set[int] = set()
        self.incarnations: Counter[int] = Counter()
        self.servers = SimulatedServers(scenario.servers)
        self.program = SimulatorProgram()

    def send_event(self, name: str, node: int, **fields: Any) -> None:
        self.events.append({name: {"node_id": node, **fields}})

    def run(self) -> None:
        """Runs the whole scenario."""
        self.schedule_run()
        while self.schedule.run_next(self.scenario.seconds * MICROSECONDS_PER_SECOND):
            if self.events:
                self.exchange()
        self.program.close()

    def exchange(self) -> None:
        """Sends the events of the current time, and executes the actions of the reply."""
        events = self.events
        self.events = []
        for action in self.program.exchange(self.schedule.now_us, events):
            ((name, fields),) = action.items()
            self.execute_action(name, fields)

    def schedule_run(self) -> None:
        """Schedules the run: starts of nodes, load, and faults at given shares of the run's duration."""
        scenario = self.scenario
        duration_us = scenario.seconds * MICROSECONDS_PER_SECOND
        for node in range(scenario.instances):
            self.schedule.call_at(10 + node * 7000, partial(self.start_node, node))
        self.schedule.call_at(200_000, self.send_request)
        servers = list(self.servers.up_since)
        for share, call in (
            (0.10, lambda: self.servers.fail(servers[0], "app_error")),
            (0.18, lambda: self.servers.fail(servers[0], "")),
            (0.20, lambda: self.servers.fail(servers[1], "dial_failed")),
            (0.32, lambda: self.servers.fail(servers[1], "")),
            (0.34, lambda: self.servers.fail(servers[2], "dropped")),
            (0.42, lambda: self.servers.fail(servers[2], "")),
            (0.44, lambda: self.change_condition(servers[3], DRAINING)),
            (0.48, lambda: self.change_condition(servers[3], GONE)),
            (0.52, lambda: self.restart_server(servers[3])),
            (0.55, lambda: self.servers.slow(14.0)),
            (0.70, lambda: self.servers.slow(1.0)),
            (0.75, lambda: self.restart_node(scenario.instances - 1)),
            (0.80, lambda: self.servers.fail(servers[0], "expired")),
            (0.86, lambda: self.servers.fail(servers[0], "")),
            (0.90, lambda: self.send_lists_without_s2()),
        ):
            self.schedule.call_at(share * duration_us, call)

    # Nodes and endpoint lists

    def start_node(self, node: int) -> None:
        self.alive.add(node)
        self.incarnations[node] += 1
        seed = self.scenario.seed * 100 + node * 10 + self.incarnations[node]
        self.send_event("Attach", node, init_seed=seed, params=self.scenario.settings(node))
        self.send_list(node, COMPLETE, list(self.servers.condition))

    def restart_node(self, node: int) -> None:
        self.alive.discard(node)
        self.send_event("Teardown", node)
        self.schedule.call_after(300_000, lambda: self.start_node(node))

    def send_list(self, node: int, scope: int, servers: list[str]) -> None:
        if node not in self.alive:
            return
        if scope == FAILED:
            self.send_event("Sync", node, scope=FAILED)
            return
        rows = [self.servers.row(server) for server in servers]
        self.send_event("Sync", node, scope=scope, rows=rows)

    def change_condition(self, server: str, condition: int) -> None:
        self.servers.condition[server] = condition
        for node in range(self.scenario.instances):
            self.schedule.call_after(3000 * (node + 1), partial(self.send_list, node, CHANGES, [server]))

    def restart_server(self, server: str) -> None:
        self.servers.up_since[server] = self.schedule.now_us
        self.change_condition(server, READY)

    def send_lists_without_s2(self) -> None:
        """Sends all nodes a complete list without s2, which thereby counts as removed."""
        for node in sorted(self.alive):
            self.send_list(node, COMPLETE, [s for s in self.servers.condition if s != "s2"])

    # Clients

    def send_request(self) -> None:
        surge = (
            3.0
            if 0.55 < self.schedule.now_us / MICROSECONDS_PER_SECOND / self.scenario.seconds < 0.65
            else 1.0
        )
        pause = self.random.expovariate(self.scenario.rate * surge) * MICROSECONDS_PER_SECOND
        self.schedule.call_after(pause, self.send_request)
        node = self.random.randrange(self.scenario.instances)
        if node not in self.alive:
            return
        frontend = self.random.choice(FRONTENDS)
        customer = self.random.randrange(15)
        plan = PLANS[customer % len(PLANS)]["name"]
        self.request_count += 1
        request = Request(node, str(self.request_count), frontend.get("streamed", False))
        self.requests[node, request.ref] = request
        fields: Fields = {
            "give_up_at_us": self.schedule.now_us + frontend["deadline_us"],
            "cls": frontend["name"],
        }
        fields |= {
            "user_key": f"{customer:x}",
            "tariff": plan,
            "cost_units": self.random.choice([1, 1, 2, 3]),
        }
        spread = min(self.scenario.spread, self.scenario.instances)
        self.send_event(
            "Accept", node, ref=request.ref, **fields, spread=spread, first_door=customer % spread
        )
        if self.random.random() < 0.06:
            self.schedule.call_after(
                self.random.randrange(2000, 60_000), lambda: self.cancel_request(request)
            )

    def cancel_request(self, request: Request) -> None:
        if request.node in self.alive and not request.answered:
            request.answered = True
            self.send_event("CancelledByClient", request.node, ref=request.ref)

    # Actions of the program

    def execute_action(self, name: str, fields: Fields) -> None:
        node = fields["node_id"]
        match name:
            case "SubmitTo":
                self.start_attempt(
                    self.requests[node, fields["ref"]], fields["server"], fields["give_up_after_us"]
                )
            case "Reject" | "EndFailed":
                self.requests[node, fields["ref"]].answered = True
            case "UndoSend":
                request = self.requests[node, fields["ref"]]
                number = fields["round_no"]
                delay_us = self.random.randrange(200, 3000)
                self.schedule.call_after(
                    delay_us, lambda: self.end_attempt(request, number, "revoked", delay_us)
                )
            case "Post" if self.random.random() < 0.95:
                peer = fields["peer"]
                message = {"src_peer": node, "body": fields["body"]}
                self.schedule.call_after(
                    self.random.randrange(500, 4000), lambda: self.deliver_message(peer, message)
                )
            case "After":
                incarnation = self.incarnations[node]
                nonce = fields["nonce"]
                self.schedule.call_after(
                    fields["offset_us"], lambda: self.fire_timer(node, incarnation, nonce)
                )
            case "KeepInformed":
                scope = FAILED if self.random.random() < 0.4 else COMPLETE
                self.schedule.call_after(
                    20_000, lambda: self.send_list(node, scope, list(self.servers.condition))
                )

    def deliver_message(self, peer: int, message: Fields) -> None:
        if peer in self.alive:
            self.send_event("Message", peer, **message)
            if self.random.random() < 0.02:
                self.send_event("Message", peer, src_peer=message["src_peer"], body="ffff 1:2:zz")

    def fire_timer(self, node: int, incarnation: int, nonce: int) -> None:
        if node in self.alive and self.incarnations[node] == incarnation:
            self.send_event("TimeoutFired", node, nonce=nonce)

    def start_attempt(self, request: Request, server: str, timeout_us: int) -> None:
        """Draws the end of an attempt and schedules the events that follow from it."""
        number = len(request.attempts)
        request.attempts.append(True)
        self.servers.load[server] += 1
        result, duration_us = self.servers.draw_end(self.random, server, timeout_us)
        if result == "delivered" and request.streamed:
            self.schedule.call_after(duration_us / 2.0, lambda: self.send_headers(request, number))
        latency_us = round(duration_us)

        def ended() -> None:
            self.servers.load[server] -= 1
            self.end_attempt(request, number, result, latency_us)

        self.schedule.call_after(duration_us, ended)

    def send_headers(self, request: Request, number: int) -> None:
        if request.node in self.alive and request.attempts[number] and not request.answered:
            self.send_event("Headers", request.node, ref=request.ref)

    def end_attempt(self, request: Request, number: int, result: str, latency_us: int) -> None:
        if not request.attempts[number]:
            return
        request.attempts[number] = False
        if request.node not in self.alive:
            return
        request.answered = request.answered or result == "delivered"
        fields: Fields = {
            "ref": request.ref,
            "round_no": number,
            "rc": result,
            "wait_time_us": latency_us,
        }
        if result == "delivered" and self.random.random() < 0.15:
            fields["actual"] = self.random.choice([1, 2, 4])
        self.send_event("Completed", request.node, **fields, settled=request.answered)
        if self.random.random() < 0.01:
            self.send_event("Total", request.node, total=1)  # an event that the program ignores
