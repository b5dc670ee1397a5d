"""Handlers of the faults of app servers."""

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
MAX_BREAK_BYTES = 320  # a connection breaks after at most this many bytes
BEHAVIORS = {
    FaultKind.HANG: ServerBehavior.HANG,
    FaultKind.FAIL: ServerBehavior.FAIL,
    FaultKind.BUSY: ServerBehavior.BUSY,
    FaultKind.DROP: ServerBehavior.DROP,
}


class ServerFaults(FaultGroup):
    """Handlers of the faults of app servers."""

    def change_behavior(self, fault: Fault) -> None:
        """Makes the server hang, fail, be busy or drop connections for the fault's duration."""
        server = self.server_of(fault)
        server.behavior = BEHAVIORS[fault.kind]
        run_at_end(fault, lambda: setattr(server, "behavior", ServerBehavior.SERVE))

    def slow_down(self, fault: Fault) -> None:
        """Increases the server's latency for the fault's duration."""
        server = self.server_of(fault)
        server.latency_ms = DEFAULT_LATENCY_MS + MAX_EXTRA_LATENCY_MS * fault.magnitude
        run_at_end(fault, lambda: setattr(server, "latency_ms", DEFAULT_LATENCY_MS))

    def break_connections(self, fault: Fault) -> None:
        """Makes the next connections to the server break after some bytes of a request or of a response."""
        planned_breaks = self.cluster.network.planned_breaks[self.server_of(fault).host]
        for index in range(1 + int(4 * fault.duration_seconds)):
            side = int(fault.magnitude * 97 + index) % 2
            after_bytes = 1 + int(fault.magnitude * 1009 + 61 * index) % MAX_BREAK_BYTES
            planned_breaks.append(PlannedBreak(side, after_bytes))

    def reset_connections(self, fault: Fault) -> None:
        """Resets the open connections of the server."""
        self.cluster.network.reset_connections(self.server_of(fault).host)

    def malform_responses(self, fault: Fault) -> None:
        """Makes the next responses of the server malformed; the magnitude determines how many."""
        self.server_of(fault).malformations += [*Malformation][: 1 + int(4 * fault.magnitude)]

    def drain(self, fault: Fault) -> None:
        """Drains the server and replaces it after the fault's duration."""
        server = self.server_of(fault)
        if server.state is EndpointState.READY:
            server.state = EndpointState.DRAINING
            self.cluster.publish(server)
            run_at_end(fault, lambda: self._start_replacement(server))

    def drain_on_reset(self, fault: Fault) -> None:
        """Resets a server's connections at the same virtual time at which all agents learn of its drain.

        Requests with an idempotency key that were in flight were possibly executed by the draining server.
        """
        server = self.server_of(fault)
        if server.state is not EndpointState.READY:
            return
        server.state = EndpointState.DRAINING
        self.cluster.publish_at_once(server)
        self.cluster.network.reset_connections(server.host)
        run_at_end(fault, lambda: self._start_replacement(server))

    def drain_permanently(self, _fault: Fault) -> None:
        """Drains the ready server of each zone that has served most requests, and never replaces it."""
        ready = [server for server in self.cluster.servers if server.state is EndpointState.READY]
        for zone in ZONES:
            ready_in_zone = [server for server in ready if server.zone == zone]
            if ready_in_zone:
                server = max(ready_in_zone, key=lambda candidate: candidate.served_count)
                server.state = EndpointState.DRAINING
                self.cluster.publish(server)

    def crash(self, fault: Fault) -> None:
        """Kills the server and replaces it after the fault's duration."""
        server = self.server_of(fault)
        self.cluster.network.kill_host(server.host)
        run_at_end(fault, lambda: self._start_replacement(server))

    def replace(self, index: int) -> None:
        """Replaces a server by a new incarnation, which is in slow start."""
        self._start_replacement(self.cluster.servers[index])

    def _start_replacement(self, server: AppServer) -> None:
        self.context.spawn(self._replace(server))

    async def _replace(self, old: AppServer) -> None:
        """Kills a server and starts its next incarnation, with another id, at the same address."""
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
