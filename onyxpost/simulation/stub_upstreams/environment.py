"""Runs the stub app servers and the discovery agent of one node on loopback, and injects faults."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING, Any

from onyxpost.core.types import EndpointState
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.runtime.socket_transport import SocketTransport
from onyxpost.simulation.free_ports import ANY_PORT, LOOPBACK
from onyxpost.simulation.stub_upstreams.fault_script import StubFault, StubFaultKind, StubFaultScript
from onyxpost.simulation.stubs import AppServer, DiscoveryAgent, Malformation, NullObserver, ServerBehavior

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address

ZONES = ("a", "b")


class StubEnvironment:
    """Stub app servers and the discovery agent that reports them.

    Args:
        server_count: Number of servers.
        latency_ms: Time from a request to the answer of a server.
        first_port: Port of the first server; the others use the following ports. 0 selects any free ports.
        discovery: Address of the agent; port 0 selects any free port.

    Attributes:
        servers: The current incarnation of each server.
        agent: The discovery agent; `open` sets its address to the bound one.
    """

    def __init__(self, server_count: int, latency_ms: float, first_port: int, discovery: Address) -> None:
        self.agent = DiscoveryAgent(SocketTransport(), NullObserver(), 0, discovery)
        self._first_port = first_port
        self.servers = [self._create_server(index, 0, latency_ms) for index in range(server_count)]
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Starts the servers and the agent. Raises ListenError if an address cannot be bound."""
        for server in self.servers:
            await self._open_server(server)
        await self.agent.open()
        assert self.agent.listener is not None
        self.agent.address = self.agent.listener.sockets[0].getsockname()

    async def close(self) -> None:
        """Closes all listeners, and aborts the connections of the agent."""
        for listener in (self.agent.listener, *(server.listener for server in self.servers)):
            if listener is not None:
                listener.close()
        for writer in list(self.agent.writers):
            writer.transport.abort()

    def known_endpoints(self) -> dict[str, Any]:
        """Returns the value of the field `known` of a node file."""
        return {"generation": self.agent.generation, "instances": list(self.agent.endpoints.values())}

    def schedule_faults(self, script: StubFaultScript, log: Callable[[str], None]) -> None:
        """Schedules the faults, with times relative to now; `log` is called with a line when each starts."""
        loop = asyncio.get_running_loop()
        for fault in script.faults:
            loop.call_later(fault.at_seconds, self._start_fault, fault, log)

    def _start_fault(self, fault: StubFault, log: Callable[[str], None]) -> None:
        log(f"fault {fault.kind} at server {fault.server} for {fault.duration_seconds:g} s")
        server = self.servers[fault.server]
        match fault.kind:
            case StubFaultKind.SLOW:
                previous_latency_ms = server.latency_ms
                server.latency_ms = fault.latency_ms
                self._call_at_end(fault, setattr, server, "latency_ms", previous_latency_ms)
            case StubFaultKind.MALFORMED_RESPONSES:
                server.malformations += [*Malformation]
            case StubFaultKind.DISCOVERY_SILENT:
                self.agent.is_silent = True
                self._call_at_end(fault, setattr, self.agent, "is_silent", False)
            case StubFaultKind.DRAIN:
                server.state = EndpointState.DRAINING
                self.agent.update_endpoint(server.endpoint_row())
                self._call_at_end(fault, self._replace_server, fault.server)
            case StubFaultKind.CRASH:
                _stop_listening(server)
                self._call_at_end(fault, self._replace_server, fault.server)
            case behavior:
                server.behavior = ServerBehavior(behavior)
                self._call_at_end(fault, setattr, server, "behavior", ServerBehavior.SERVE)

    def _call_at_end(self, fault: StubFault, call: Callable[..., object], *arguments: object) -> None:
        asyncio.get_running_loop().call_later(fault.duration_seconds, call, *arguments)

    def _replace_server(self, index: int) -> None:
        """Stops a server and starts its next incarnation, on a new port."""
        old = self.servers[index]
        _stop_listening(old)
        old.state = EndpointState.GONE
        self.agent.update_endpoint(old.endpoint_row())
        new = self._create_server(index, old.incarnation + 1, old.latency_ms)
        new.address = ANY_PORT
        new.started_at_ms = time.time() * MS_PER_SECOND
        self.servers[index] = new
        task = asyncio.get_running_loop().create_task(self._open_server(new))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _create_server(self, index: int, incarnation: int, latency_ms: float) -> AppServer:
        port = self._first_port + index if self._first_port else 0
        zone = ZONES[index % len(ZONES)]
        server = AppServer(self.agent.transport, NullObserver(), index, incarnation, (LOOPBACK, port), zone)
        server.latency_ms = latency_ms
        return server

    async def _open_server(self, server: AppServer) -> None:
        await server.open()
        assert server.listener is not None
        server.address = server.listener.sockets[0].getsockname()
        self.agent.update_endpoint(server.endpoint_row())


async def run_environment(
    environment: StubEnvironment,
    script: StubFaultScript,
    duration_seconds: float,
    on_ready: Callable[[], None],
    log: Callable[[str], None],
) -> int:
    """Runs the stubs with the faults of a script; returns the number of requests that the servers served.

    Args:
        environment: The stubs, which must not be open yet.
        script: The faults; their times start when the stubs are open.
        duration_seconds: Duration of the run, which also ends when its task is cancelled.
        on_ready: Called once the stubs are open.
        log: Called with a line when each fault starts.
    """
    await environment.open()
    on_ready()
    environment.schedule_faults(script, log)
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(duration_seconds)
    return sum(server.served_count for server in environment.servers)


def _stop_listening(server: AppServer) -> None:
    if server.listener is not None:
        server.listener.close()
