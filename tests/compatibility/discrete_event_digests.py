"""Digests and figures of the discrete-event simulation, which the recorded data calls `emulator`."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

from onyxpost.simulation.discrete_event.decision_sink import NodeDecisionSink
from onyxpost.simulation.discrete_event.network import Network
from onyxpost.simulation.discrete_event.node_model import NodeModel
from onyxpost.simulation.discrete_event.pending_requests import PendingRequests
from onyxpost.simulation.discrete_event.run_results import run_totals
from onyxpost.simulation.discrete_event.scenario_files import load_scenario, parse_scenario, resize_scenario
from onyxpost.simulation.discrete_event.server_model import ServerModel
from onyxpost.simulation.discrete_event.world import World
from tests.compatibility.event_digest import EventDigest, Record, wrapped

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator

EMULATOR_NODES = 6
EMULATOR_SERVERS = 6
EMULATOR_RUNS = (
    ("calm", 1),
    ("many-killed", 2),
    ("release", 3),
    ("slow-dependency", 4),
    ("split", 5),
    ("zone-lost", 6),
)
PLANNER_SEEDS = (1, 2)
STATUSES = {"passed": 200, "denied": 429, "aborted": 500}

PLANNER_SCENARIO = """
name = "planners"
about = "Quotas leased by two planners, both lost for a moment during a surge."
seconds = 6
[fleet]
nodes = 4
servers = 4
zones = 2
[[work]]
name = "look-up"
share = 1
work_ms = [40, 60]
response_target_ms = 500
client_timeout_ms = 1500
[[plans]]
name = "plain"
customers = 8
weight = 1
spread = [2, 4]
ceiling = 1.2
[planners]
count = 2
lease_ms = 1000
[[events]]
kind = "surge"
at_s = 2
for_s = 3
times = 4
[[events]]
kind = "planners-lost"
at_s = 3
for_s = 0.5
"""


class EmulatorObserver:
    """Adds events of the discrete-event simulation to a digest, with their times in ms.

    Each method replaces a method of the simulation. It receives the original method as its first argument.
    """

    def __init__(self, digest: EventDigest) -> None:
        self._digest = digest

    def start_attempt(
        self,
        original: Any,
        sink: NodeDecisionSink,
        request: str,
        server: str,
        timeout_ms: float,
        latest_start_at: float,
    ) -> None:
        """Records that a node starts an attempt."""
        now_ms = _now_ms(sink._environment.network)
        self._digest.add(
            now_ms, "attempt", sink._node.node_index, request, server, timeout_ms, float(latest_start_at)
        )
        original(sink, request, server, timeout_ms, latest_start_at)

    def receive_attempt(self, original: Any, server: ServerModel, attempt: Any) -> None:
        """Records that an attempt reaches an app server."""
        self._digest.add(_now_ms(server), "request", server.server_id, *attempt.origin, attempt.work_ms)
        original(server, attempt)

    def answer(
        self, original: Any, requests: PendingRequests, pending: Any, outcome: str, retry_after: float
    ) -> None:
        """Records the final answer to a request."""
        node_index = int(requests._node.removeprefix("n"))
        status = STATUSES[outcome]
        self._digest.add(
            _now_ms(requests), "answer", node_index, pending.request_id, status, float(retry_after)
        )
        original(requests, pending, outcome, retry_after)

    def send_peer_message(
        self, original: Any, network: Network, node: NodeModel, peer: NodeModel, body: str
    ) -> None:
        """Records that a node sends a message to a peer."""
        self._digest.add(_now_ms(network), "message", node.node_index, peer.node_index, body)
        original(network, node, peer, body)

    def start(self, original: Any, node: NodeModel) -> None:
        """Records that a node starts."""
        self._digest.add(_now_ms(node), "start", node.node_index)
        original(node)

    def kill(self, original: Any, node: NodeModel) -> None:
        """Records that a node is killed."""
        self._digest.add(_now_ms(node), "kill", node.node_index)
        original(node)


def _now_ms(model: NodeModel | PendingRequests | ServerModel | Network) -> float:
    return model._clock.now_ms


@contextlib.contextmanager
def observe_emulator(digest: EventDigest) -> Iterator[None]:
    """Adds attempts, answers, peer messages, starts and kills to the digest while the context is open."""
    observer = EmulatorObserver(digest)
    with contextlib.ExitStack() as stack:
        for owner, method_name, wrapper in (
            (NodeDecisionSink, "start_attempt", observer.start_attempt),
            (PendingRequests, "answer", observer.answer),
            (NodeModel, "start", observer.start),
            (NodeModel, "kill", observer.kill),
            (ServerModel, "receive_attempt", observer.receive_attempt),
            (Network, "send_peer_message", observer.send_peer_message),
        ):
            stack.enter_context(wrapped(owner, method_name, wrapper))
        yield


def emulator_figures(world: World) -> Record:
    """Returns the figures of a run's totals, except the counts of log lines, whose wording may change."""
    totals = run_totals(world)
    return {
        "passed value": totals["passed_value"],
        "worst 10 s": totals["worst_10s"],
        "denied with room": totals["denied_with_room"],
        "beyond quota": totals["beyond_quota"],
        "late": totals["late"],
        "mean ms": totals["mean_ms"],
        "attempts per try": totals["attempts_per_try"],
        "handshakes per attempt": totals["handshakes_per_attempt"],
        "most connections": totals["connections_most"],
        "messages per try": totals["messages_per_try"],
        "message bytes per try": totals["message_bytes_per_try"],
        "messages not taken in": totals["unheard"],
        "servers overloaded while cold": totals["servers_fell"],
        "most load while cold": totals["cold_load_most"],
        "violations": totals["breaches"],
        "tries": totals["tries"],
        "clock events": totals["events"],
    }


def emulator_second(second: Counter[str]) -> tuple[float, ...]:
    """Returns the counts of one simulated second; the recorded digests depend on their order."""
    counts = (
        second["offered"], second["offered_inside"], second["value_inside"], second["tries"],
        second["passed"], second["denied"], second["aborted"], second["cut"], second["gave_up"],
        second["value_passed"], second["late"], second["in_time"], second["took_ms"],
        second["denied_with_room"], second["units"], second["units_beyond"], second["messages"],
        second["message_bytes"], second["messages_lost"], second["attempts"], second["servers_died"],
        second["servers_fell"], second["held_most"], second["cold_permille"], second["connections_most"],
    )  # fmt: skip
    return tuple(round(float(count), 3) for count in counts)


def emulator_record(name: str, seed: int) -> Record:
    """Returns digests and figures of one run of `onyxpost lab run`.

    `planners` is the scenario in this file. Shipped scenarios run with a smaller number of nodes and servers.
    """
    if name == "planners":
        scenario = parse_scenario(PLANNER_SCENARIO, name)
    else:
        scenario = resize_scenario(load_scenario(name), EMULATOR_NODES, EMULATOR_SERVERS)
    digest = EventDigest()
    world = World(scenario, seed)
    with observe_emulator(digest):
        world.run()
    seconds = EventDigest()
    for second in world.metrics.seconds:
        seconds.add(*emulator_second(second))
    return {
        "sha256": digest.hexdigest(),
        "events": digest.events,
        "seconds": seconds.hexdigest(),
        "figures": emulator_figures(world),
    }


def emulator_runs() -> list[tuple[str, int]]:
    """Returns scenario and seed of each recorded run."""
    return [*EMULATOR_RUNS, *(("planners", seed) for seed in PLANNER_SEEDS)]
