"""Faults of app servers."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from onyxpost.core.types import EndpointState
from onyxpost.simulation.deterministic.deployment import ZONES
from onyxpost.simulation.deterministic.fault_context import FaultGroup, run_at_end
from onyxpost.simulation.deterministic.fault_script import Fault, FaultKind
from onyxpost.simulation.stubs import Malformation, ServerBehavior
from onyxpost.simulation.virtual_time import PlannedBreak

if TYPE_CHECKING:
    from onyxpost.simulation.stubs import AppServer

DEFAULT_LATENCY_MS = 20.0
MAX_EXTRA_LATENCY_MS = 900.0
MAX_BREAK_BYTES = 320
BEHAVIORS = {
    FaultKind.HANG: ServerBehavior.HANG,
    FaultKind.FAIL: ServerBehavior.FAIL,
    FaultKind.BUSY: ServerBehavior.BUSY,
    FaultKind.DROP: ServerBehavior.DROP,
}


class ServerFaults(FaultGroup):
    """Begins each fault of app servers."""

    def change_behavior(self, fault: Fault) -> None:
        """The server hangs, fails, is busy or drops connections for a time."""
        server = self.server_of(fault)
        server.behavior = BEHAVIORS[fault.kind]
        run_at_end(fault, lambda: setattr(server, "behavior", ServerBehavior.SERVE))

    def slow_down(self, fault: Fault) -> None:
        """The server answers later for a time."""
        server = self.server_of(fault)
        server.latency_ms = DEFAULT_LATENCY_MS + MAX_EXTRA_LATENCY_MS * fault.magnitude
        run_at_end(fault, lambda: setattr(server, "latency_ms", DEFAULT_LATENCY_MS))

    def break_connections(self, fault: Fault) -> None:
        """The next connections to the server break at some byte of a request or of a response."""
        planned_breaks = self.cluster.network.planned_breaks[self.server_of(fault).host]
        for index in range(1 + int(4 * fault.duration_seconds)):
            side = int(fault.magnitude * 97 + index) % 2
            after_bytes = 1 + int(fault.magnitude * 1009 + 61 * index) % MAX_BREAK_BYTES
            planned_breaks.append(PlannedBreak(side, after_bytes))

    def reset_connections(self, fault: Fault) -> None:
        """The open connections of the server are reset."""
        self.cluster.network.reset_connections(self.server_of(fault).host)

    def malform_responses(self, fault: Fault) -> None:
        """The next responses of the server are malformed."""
        self.server_of(fault).malformations += [*Malformation][: 1 + int(4 * fault.magnitude)]

    def drain(self, fault: Fault) -> None:
        """The server drains and is replaced after a time."""
        server = self.server_of(fault)
        if server.state is EndpointState.READY:
            server.state = EndpointState.DRAINING
            self.cluster.publish(server)
            run_at_end(fault, lambda: self._start_replacement(server))

    def drain_on_reset(self, fault: Fault) -> None:
        """The connections of a server are reset in the tick in which every node is notified of its drain.

        A request with an idempotency key may have been executed there.
        """
        server = self.server_of(fault)
        if server.state is not EndpointState.READY:
            return
        server.state = EndpointState.DRAINING
        self.cluster.publish_at_once(server)
        self.cluster.network.reset_connections(server.host)
        run_at_end(fault, lambda: self._start_replacement(server))

    def drain_for_good(self, _fault: Fault) -> None:
        """In each zone the server that served most drains, and stays up to the end."""
        ready = [server for server in self.cluster.servers if server.state is EndpointState.READY]
        for zone in ZONES:
            of_zone = [server for server in ready if server.zone == zone]
            if of_zone:
                server = max(of_zone, key=lambda candidate: candidate.served_count)
                server.state = EndpointState.DRAINING
                self.cluster.publish(server)

    def crash(self, fault: Fault) -> None:
        """The server is killed and replaced after a time."""
        server = self.server_of(fault)
        self.cluster.network.kill_host(server.host)
        run_at_end(fault, lambda: self._start_replacement(server))

    def replace(self, index: int) -> None:
        """Replaces a server by one in slow start."""
        self._start_replacement(self.cluster.servers[index])

    def _start_replacement(self, server: AppServer) -> None:
        self.context.spawn(self._replace(server))

    async def _replace(self, old: AppServer) -> None:
        """Starts another process at the address, under an id of its own."""
        cluster = self.cluster
        if cluster.servers[old.index] is not old:
            return
        cluster.network.kill_host(old.host)
        old.state = EndpointState.GONE
        cluster.publish(old)
        new = cluster.new_server(old.index, old.incarnation + 1)
        cluster.servers[old.index] = new
        new.started_at_ms = new.transport.clock()
        cluster.observer.on_server_started(new)
        with contextlib.suppress(OSError):
            await new.open()
        cluster.publish(new)
