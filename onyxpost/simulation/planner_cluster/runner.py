"""One run of a planner cluster: stub upstreams, planners, forwarders, load and kills."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import tempfile
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from onyxpost.runtime.socket_transport import SocketTransport
from onyxpost.simulation.errors import ProcessNotStartedError
from onyxpost.simulation.free_ports import ANY_PORT, find_free_ports
from onyxpost.simulation.planner_cluster.files import (
    ClusterPorts,
    forwarder_name,
    node_file,
    planner_file,
    planner_name,
)
from onyxpost.simulation.planner_cluster.load_generator import LoadGenerator
from onyxpost.simulation.planner_cluster.options import ClusterOptions, check_options
from onyxpost.simulation.planner_cluster.usage_counter import UsageCounter
from onyxpost.simulation.process_group import LogFiles, ProcessGroup
from onyxpost.simulation.stubs import AppServer, AttemptKey, DiscoveryAgent, NullObserver, ServerIdentity

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import Listener

PROGRAM = ("-m", "onyxpost")
APP_SERVERS = 4
APP_SERVER_DELAY_MS = 5.0
WARM_UP_SECONDS = 6.0  # for planners to wait for older leases to end, and forwarders to request some
CONNECT_ATTEMPTS = 400
CONNECT_INTERVAL_SECONDS = 0.05
MAX_RESTART_DELAY_SECONDS = 1.0


class ClusterReport(NamedTuple):
    """Figures of a run, and violations of hard limits: none, in a correct run."""

    figures: dict[str, Any]
    violations: list[str]


def run(options: ClusterOptions, folder: Path | None = None) -> ClusterReport:
    """Runs a cluster; its files and logs stay in `folder`, or are deleted if there is none.

    Raises InvalidOptionError for options out of bounds, ProcessNotStartedError if a forwarder does not listen
    in time.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(PlannerCluster(options, folder).run())


class PlannerCluster(NullObserver):
    """Stub upstreams in this process, planners and forwarders as processes."""

    def __init__(self, options: ClusterOptions, folder: Path) -> None:
        self.options = check_options(options)
        self.folder = folder
        self.ports = ClusterPorts(
            find_free_ports(options.forwarders),
            find_free_ports(options.forwarders, socket.SOCK_DGRAM),
            find_free_ports(options.planners),
        )
        transport = SocketTransport()
        self.app_servers = [
            AppServer(transport, self, index, 0, ANY_PORT, "a") for index in range(APP_SERVERS)
        ]
        self.discovery_agent = DiscoveryAgent(transport, self, 0, ANY_PORT)
        self.processes = ProcessGroup(folder, log_files=LogFiles.APPENDED)
        self.counter = UsageCounter(options)
        self.load = LoadGenerator(options, self.ports.forwarders, self.counter)

    def on_attempt_received(
        self, writer: asyncio.StreamWriter, trace_id: str, server: ServerIdentity
    ) -> AttemptKey:
        """A request arrived at a stub app server."""
        self.load.handle_arrival(trace_id)
        return super().on_attempt_received(writer, trace_id, server)

    async def run(self) -> ClusterReport:
        """Starts everything, sends the load, and stops everything."""
        await self._start_upstreams()
        try:
            await self._start_processes()
            await asyncio.sleep(WARM_UP_SECONDS)
            has_kills = self.options.kill_interval_seconds > 0.0 and not self.options.use_gossip
            killer = asyncio.create_task(self._kill_planners()) if has_kills else None
            await self.load.run()
            if killer is not None:
                killer.cancel()
        finally:
            await self.processes.terminate_all()
            for writer in self.discovery_agent.writers:
                writer.transport.abort()
        return ClusterReport(self.counter.figures(), self.counter.violations)

    async def _start_upstreams(self) -> None:
        for server in self.app_servers:
            server.latency_ms = APP_SERVER_DELAY_MS
            await server.open()
            server.address = _bound_address(server.listener)
            self.discovery_agent.update_endpoint(server.endpoint_row())
        await self.discovery_agent.open()
        self.discovery_agent.address = _bound_address(self.discovery_agent.listener)

    async def _start_processes(self) -> None:
        for index in range(0 if self.options.use_gossip else self.options.planners):
            self._write_file(planner_name(index), planner_file(self.options, self.ports, index))
            await self._start_planner(index)
        agent = self.discovery_agent
        known = {"generation": agent.generation, "instances": list(agent.endpoints.values())}
        for index in range(self.options.forwarders):
            fields = node_file(self.options, self.ports, index, agent.address, known)
            path = self._write_file(forwarder_name(index), fields)
            environment = {"EDGE_CONFIG": str(path)}
            await self.processes.start(forwarder_name(index), [*PROGRAM, "serve"], environment)
        await self._wait_until_listening()

    def _write_file(self, name: str, fields: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(fields))
        return path

    async def _start_planner(self, index: int) -> None:
        name = planner_name(index)
        await self.processes.start(name, [*PROGRAM, "plan", str(self.folder / f"{name}.json")])

    async def _wait_until_listening(self) -> None:
        for port in self.ports.forwarders:
            for _ in range(CONNECT_ATTEMPTS):
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                    break
                await asyncio.sleep(CONNECT_INTERVAL_SECONDS)
            else:
                raise ProcessNotStartedError(
                    f"no node listens; its log is in {self.folder}", f"127.0.0.1:{port}"
                )

    async def _kill_planners(self) -> None:
        rng = Random(f"{self.options.seed}/kills")
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / self.options.kill_interval_seconds))
            index = rng.randrange(self.options.planners)
            if await self.processes.kill(planner_name(index)):
                self.counter.kills += 1
                await asyncio.sleep(rng.uniform(0.0, MAX_RESTART_DELAY_SECONDS))
                await self._start_planner(index)


def _bound_address(listener: Listener | None) -> Address:
    if listener is None:
        raise ValueError("not listening")
    address: Address = listener.sockets[0].getsockname()
    return address
