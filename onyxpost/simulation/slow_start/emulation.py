"""Event-driven emulation of server replacements; all random choices are drawn from the seed."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.core.types import EndpointState
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.discrete_event.event_queue import EventQueue
from onyxpost.simulation.slow_start.node_model import NodeModel
from onyxpost.simulation.slow_start.server_model import EPOCH_MS, ServerModel, WarmupLoad

if TYPE_CHECKING:
    from onyxpost.simulation.slow_start.case import SlowStartCase

FIRST_REPLACEMENT_MS = 8000.0  # time from the start to the first replacement
REPLACEMENT_INTERVAL_MS = 6500.0  # time between the two replacements
REPLACEMENTS = 2
ENDPOINT_DELAY_MS = (20.0, 400.0)  # range of the time until a node learns of a replacement
WEIGHT_RANGE = (0.5, 1.5)  # range of the relative request rates of nodes
BUSY_NODE_PROBABILITY = 0.125
BUSY_NODE_FACTOR = 4.0
WORK_RANGE = (0.5, 1.5)  # range of the work of a request, relative to its mean


class EmulationResult(NamedTuple):
    """Results of one emulation: the load of each new server during warmup, and request counters."""

    warmup_loads: list[WarmupLoad]
    requests: int
    served_in_time: int


class SlowStartEmulation:
    """Nodes and servers on one event queue; the same case and seed give the same result."""

    def __init__(self, case: SlowStartCase, seed: int) -> None:
        self.case = case
        self.events = EventQueue()
        self.rng = Random(f"cold/{seed}")
        self.requests = 0
        self.served_in_time = 0
        self.started_servers: list[ServerModel] = []
        self._servers = [ServerModel(f"s{index}", 0.0, case) for index in range(case.servers)]
        node_indexes = list(range(case.nodes))
        self.rng.shuffle(node_indexes)
        running = max(1, round(case.running_fraction * case.nodes))
        self.nodes = [NodeModel(self, index, self._servers) for index in node_indexes[:running]]
        self._weights = [self._draw_weight() for _ in self.nodes]
        for replacement in range(REPLACEMENTS):
            self.events.call_at(
                FIRST_REPLACEMENT_MS + REPLACEMENT_INTERVAL_MS * replacement,
                self._replace_servers,
                replacement,
            )
        for node in self.nodes:
            if self.rng.random() < case.restarted_fraction:
                restart_at_ms = FIRST_REPLACEMENT_MS + self.rng.uniform(0.0, case.restart_window_ms)
                self.events.call_at(restart_at_ms, node.restart)
        self.events.call_after(self._draw_interval_ms(), self._send_request)

    def run(self) -> EmulationResult:
        """Runs until the servers of the last replacement are warm."""
        self.events.run_until(FIRST_REPLACEMENT_MS + REPLACEMENT_INTERVAL_MS + self.case.policy.warmup_ms)
        loads = [server.warmup_load for server in self.started_servers]
        return EmulationResult(loads, self.requests, self.served_in_time)

    # Implementation of `node_model.Environment`

    def unix_time_ms(self) -> float:
        """Returns the time that is passed to the gateways."""
        return EPOCH_MS + self.events.now_ms

    def draw_work_ms(self) -> float:
        """Draws the work of an attempt: the time that a warm server needs for it."""
        return self.rng.uniform(*WORK_RANGE) * MS_PER_SECOND / self.case.requests_per_second

    def count_served_in_time(self) -> None:
        """Counts a request that was answered within the latency objective."""
        self.served_in_time += 1

    # Events

    def _send_request(self) -> None:
        self.requests += 1
        self.rng.choices(self.nodes, self._weights)[0].receive_request()
        self.events.call_after(self._draw_interval_ms(), self._send_request)

    def _replace_servers(self, replacement: int) -> None:
        """Replaces some servers; each node is notified after its own delay."""
        count = self.case.servers_per_replacement
        old = self._servers[count * replacement : count * (replacement + 1)]
        new = [
            ServerModel(f"t{replacement}.{index}", self.events.now_ms, self.case) for index in range(count)
        ]
        self.started_servers += new
        for server in old:
            server.state = EndpointState.GONE
        for node in self.nodes:
            delay_ms = self.rng.uniform(*ENDPOINT_DELAY_MS)
            self.events.call_after(delay_ms, node.update_endpoints, [*old, *new])

    def _draw_weight(self) -> float:
        """Draws the relative request rate of a node.

        Rates differ between nodes; on average one node in eight has four times the rate of the others.
        """
        weight = self.rng.uniform(*WEIGHT_RANGE)
        return weight * (BUSY_NODE_FACTOR if self.rng.random() < BUSY_NODE_PROBABILITY else 1.0)

    def _draw_interval_ms(self) -> float:
        requests_per_second = self.case.load * self.case.servers * self.case.requests_per_second
        return self.rng.expovariate(requests_per_second / MS_PER_SECOND)
