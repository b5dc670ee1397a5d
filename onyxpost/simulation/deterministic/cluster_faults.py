"""Handlers of the faults of the network and of the clients' load."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxpost.simulation.deterministic.deployment import NODE_COUNT, SERVER_COUNT
from onyxpost.simulation.deterministic.fault_context import FaultGroup, run_at_end

if TYPE_CHECKING:
    from onyxpost.simulation.deterministic.fault_context import FaultContext
    from onyxpost.simulation.deterministic.fault_script import Fault
    from onyxpost.simulation.deterministic.server_faults import ServerFaults

BURST_REQUESTS = 12
EARLY_DISCONNECT_REQUESTS = 16
REQUESTS_PER_NODE_ON_ANSWER = 3
ANSWER_LATENCY_MS = 20.0  # latency of an app server without a fault
MAX_ANSWER_DELAY_MS = 14.0  # maximum network delay of a request and its answer together
MIN_EARLY_DISCONNECT_MS = 10.0
MAX_EARLY_DISCONNECT_MS = 60.0
MIN_CONNECT_DELAY_SECONDS = 0.25
MAX_EXTRA_CONNECT_DELAY_SECONDS = 0.33
MIN_BURST_DELAY_SECONDS = 0.3  # from the replacement of servers to the burst, so that slow start has begun
MAX_EXTRA_BURST_DELAY_SECONDS = 0.5


class NetworkFaults(FaultGroup):
    """Handlers of the faults of the network."""

    def cut_off_server(self, fault: Fault) -> None:
        """Blocks all traffic from and to a server for the fault's duration."""
        self._cut_off(fault, self.server_of(fault).host)

    def cut_off_two_servers(self, fault: Fault) -> None:
        """Blocks all traffic from and to the first two app servers for the fault's duration."""
        self._cut_off(fault, self.cluster.servers[0].host)
        self._cut_off(fault, self.cluster.servers[1].host)

    def _cut_off(self, fault: Fault, host: str) -> None:
        cut_off = self.cluster.network.cut_off
        cut_off.add(host)
        run_at_end(fault, lambda: cut_off.discard(host))

    def lose_datagrams(self, fault: Fault) -> None:
        """Loses a fraction of the datagrams between nodes, the magnitude, for the fault's duration."""
        network = self.cluster.network
        network.datagram_loss = fault.magnitude
        run_at_end(fault, lambda: setattr(network, "datagram_loss", 0.0))

    def delay_updates(self, fault: Fault) -> None:
        """Delays endpoint updates to agents by the magnitude in seconds for the fault's duration."""
        cluster = self.cluster
        cluster.extra_update_delay_seconds = fault.magnitude
        run_at_end(fault, lambda: setattr(cluster, "extra_update_delay_seconds", 0.0))


class LoadFaults(FaultGroup):
    """Handlers of the faults that clients cause."""

    def __init__(self, context: FaultContext, servers: ServerFaults) -> None:
        super().__init__(context)
        self._servers = servers

    def burst(self, fault: Fault) -> None:
        """Starts many clients at the same time."""
        rng = self.rng_of("burst", fault)
        for _ in range(BURST_REQUESTS):
            self.context.start_client(rng, self.cluster.nodes[rng.randrange(NODE_COUNT)])

    def burst_during_slow_start(self, fault: Fault) -> None:
        """Replaces two servers, and starts many clients at once while the new ones are in slow start."""
        self._servers.replace(fault.target)
        self._servers.replace((fault.target + 1) % SERVER_COUNT)
        delay_seconds = MIN_BURST_DELAY_SECONDS + MAX_EXTRA_BURST_DELAY_SECONDS * fault.magnitude
        asyncio.get_running_loop().call_later(delay_seconds, self.burst, fault)

    def disconnect_on_answer(self, fault: Fault) -> None:
        """Starts clients that disconnect at about the time at which their answers arrive."""
        rng = self.rng_of("cross", fault)
        for node in self.cluster.nodes:
            for _ in range(REQUESTS_PER_NODE_ON_ANSWER):
                disconnect_after_ms = ANSWER_LATENCY_MS + rng.uniform(0.0, MAX_ANSWER_DELAY_MS)
                self.context.start_client(rng, node, disconnect_after_ms)

    def disconnect_early(self, fault: Fault) -> None:
        """Starts many clients that disconnect early, while new connections to all servers open late.

        A run whose script contains this fault uses `SLOW_CONNECT_SETTINGS`.
        """
        rng = self.rng_of("leave", fault)
        network = self.cluster.network
        extra_seconds = MAX_EXTRA_CONNECT_DELAY_SECONDS * fault.magnitude
        for server in self.cluster.servers:
            network.reset_connections(server.host)
            network.connect_delays[server.host] = MIN_CONNECT_DELAY_SECONDS + extra_seconds
            self._schedule_connect_delay_end(fault, server.host)
        for _ in range(EARLY_DISCONNECT_REQUESTS):
            node = self.cluster.nodes[rng.randrange(NODE_COUNT)]
            disconnect_after_ms = rng.uniform(MIN_EARLY_DISCONNECT_MS, MAX_EARLY_DISCONNECT_MS)
            self.context.start_client(rng, node, disconnect_after_ms)

    def _schedule_connect_delay_end(self, fault: Fault, host: str) -> None:
        connect_delays = self.cluster.network.connect_delays
        run_at_end(fault, lambda: connect_delays.pop(host, 0.0))
