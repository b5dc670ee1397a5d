"""The environment `edge`: edge nodes that gossip, stub app servers, clients, and discovery stubs."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any

from onyxpost.config import deployment
from onyxpost.runtime.socket_transport import SocketTransport
from onyxpost.simulation.deterministic.deployment import MAX_REQUEST_UNITS
from onyxpost.simulation.free_ports import ANY_PORT
from onyxpost.simulation.multiprocess.edge_invariants import EdgeInvariants, EdgeLimits
from onyxpost.simulation.multiprocess.edge_server import CALL_DURATION_MS, EdgeServer
from onyxpost.simulation.multiprocess.edge_traffic import EdgeTrafficObserver
from onyxpost.simulation.multiprocess.endpoints import endpoint_of, format_address
from onyxpost.simulation.multiprocess.history import (
    TIMED_OUT,
    AttemptForwarded,
    AttemptNotExecuted,
    AttemptReceived,
    ConnectionRefused,
    RequestAnswered,
    RequestSent,
    RequestUnanswered,
    ServerStarted,
)
from onyxpost.simulation.multiprocess.load_generator import LoadGenerator
from onyxpost.simulation.multiprocess.node_file import node_file
from onyxpost.simulation.multiprocess.process_invariants import no_process_failures
from onyxpost.simulation.settings import DEPLOYMENT_SETTINGS
from onyxpost.simulation.stubs import AttemptKey, DiscoveryAgent, NullObserver, ServerIdentity

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.checker import Invariant
    from onyxpost.simulation.multiprocess.fault_script import Fault
    from onyxpost.simulation.multiprocess.history import HistoryEvent
    from onyxpost.simulation.multiprocess.run_context import RunContext
    from onyxpost.simulation.multiprocess.scenario_environment import Counts

DISCOVERY_DELAY_SECONDS = 0.2  # maximum delay until a discovery stub reports a change
SERVER_CAPACITY = 4.0  # in cores


class EdgeEnvironment(NullObserver):
    """Stub app servers, one discovery stub for each node, and clients."""

    def __init__(self, context: RunContext) -> None:
        self.context = context
        self.transport = SocketTransport()
        self.rng = Random(f"{context.seed}/stage")
        settings = DEPLOYMENT_SETTINGS | {"ordinal": 0, "n_instances": context.scenario.nodes}
        self.deployment = deployment.decode_deployment(settings)
        self.servers = {index: self._create_server(index, 0) for index in range(context.scenario.servers)}
        self.agents = [
            DiscoveryAgent(self.transport, self, index, ANY_PORT) for index in context.node_indexes
        ]
        self.attempts_received = 0
        # The fault proxy's address by node index and server id; each incarnation of a server has its own id.
        self._server_addresses: dict[tuple[int, str], str] = {}
        context.observe_bytes(EdgeTrafficObserver(context).observe)

    async def open(self) -> None:
        """Starts the app servers, discovery stubs and fault proxies, and sets the nodes' files."""
        context = self.context
        for server in self.servers.values():
            await self._open_server(server)
        peers = await context.open_peer_proxies()
        for index, agent in enumerate(self.agents):
            for server in self.servers.values():
                agent.update_endpoint(self._endpoint_row(index, server))
            await agent.open()
            assert agent.listener is not None
            context.addresses[f"d{index}"] = agent.listener.sockets[0].getsockname()
            discovery = format_address(await context.proxy.tcp.open(f"n{index}", f"d{index}"))
            fields = node_file(context, index, agent, discovery, peers[index])
            fields["settings"] = DEPLOYMENT_SETTINGS | {
                "ordinal": index,
                "n_instances": context.scenario.nodes,
            }
            context.processes.set_file(f"n{index}", fields)

    async def run_load(self, seconds: float) -> None:
        """Sends clients' requests to all nodes for the given time."""
        await LoadGenerator(self.context, self.deployment.frontends, MAX_REQUEST_UNITS).run(seconds)

    def resolve_target(self, name: str) -> str:
        """Returns the name unchanged, because no node leads a role in this environment."""
        return name

    async def inject_fault(self, fault: Fault) -> None:
        """Slows an app server down, or drains it and then replaces it by a new incarnation."""
        server = self.servers[int(fault.target[1:])]
        if fault.kind == "slow":
            server.slow_down(fault.intensity)
            await asyncio.sleep(fault.duration_seconds)
            server.restore_speed()
        elif fault.kind == "drain" and server.is_ready:
            server.drain()
            await self._notify_discovery(server)
            await asyncio.sleep(fault.duration_seconds)
            await self._replace_server(server)

    def invariants(self) -> Sequence[Invariant]:
        """Returns the invariants of edge nodes, and the one of process failures."""
        settings = self.deployment
        limits = EdgeLimits(
            settings.frontends,
            settings.plans,
            settings.slow_start,
            settings.drain_grace_ms,
            MAX_REQUEST_UNITS,
        )
        return no_process_failures, EdgeInvariants(limits)

    def count(self, events: Sequence[HistoryEvent]) -> Counts:
        """Returns the numbers of requests by outcome, and of attempts sent and received."""
        kinds = Counter(type(event) for event in events)
        outcomes = Counter(event.outcome for event in events if isinstance(event, RequestAnswered))
        timed_out = sum(isinstance(event, RequestUnanswered) and event.cause == TIMED_OUT for event in events)
        return {
            "asked": kinds[RequestSent],
            **{outcome: outcomes[outcome] for outcome in ("passed", "denied", "aborted")},
            "cut": kinds[RequestUnanswered] - timed_out,
            "timed_out": timed_out,
            "refused": kinds[ConnectionRefused],
            "sent": kinds[AttemptForwarded],
            "reached": kinds[AttemptReceived],
        }

    async def close(self) -> None:
        """Stops the app servers and discovery stubs."""
        for server in self.servers.values():
            server.close()
        for agent in self.agents:
            if agent.listener is not None:
                agent.listener.close()
            for writer in list(agent.writers):
                writer.transport.abort()

    # --- callbacks of the stubs ---

    def on_attempt_received(
        self,
        writer: asyncio.StreamWriter,  # noqa: ARG002 - part of the protocol
        trace_id: str,
        server: ServerIdentity,
    ) -> AttemptKey:
        """Records an attempt that arrived at an app server; returns its key, which names the server."""
        self.attempts_received += 1
        self.context.record(
            AttemptReceived(
                self.context.now_ms(),
                trace=trace_id,
                server=server.id,
                zone=server.zone,
                cell=server.cell,
                attempt_number=self.attempts_received,
                work_ms=CALL_DURATION_MS,
            )
        )
        return AttemptKey(server.id, self.attempts_received)

    def on_attempt_not_executed(self, attempt: AttemptKey, trace_id: str) -> None:
        """Records that an app server rejected an attempt without executing it."""
        self.context.record(
            AttemptNotExecuted(
                self.context.now_ms(),
                trace=trace_id,
                server=attempt.sender,
                attempt_number=attempt.attempt_index,
            )
        )

    # --- app servers ---

    def _create_server(self, index: int, incarnation: int) -> EdgeServer:
        return EdgeServer(self.transport, self, index, incarnation)

    async def _open_server(self, server: EdgeServer) -> None:
        await server.open()
        self.context.addresses[server.host] = server.listen_address
        for index in self.context.node_indexes:
            address = await self.context.proxy.tcp.open(f"n{index}", server.host)
            self._server_addresses[index, server.id] = format_address(address)

    def _endpoint_row(self, node_index: int, server: EdgeServer) -> dict[str, Any]:
        return server.endpoint_row() | {"hostPort": self._server_addresses[node_index, server.id]}

    async def _notify_discovery(self, server: EdgeServer) -> None:
        """Updates each discovery stub with the server's state, after a random delay of its own."""
        delays = sorted(
            (self.rng.uniform(0.0, DISCOVERY_DELAY_SECONDS), index) for index in self.context.node_indexes
        )
        elapsed_seconds = 0.0
        for delay_seconds, index in delays:
            await asyncio.sleep(delay_seconds - elapsed_seconds)
            elapsed_seconds = delay_seconds
            self.agents[index].update_endpoint(self._endpoint_row(index, server))

    async def _replace_server(self, old: EdgeServer) -> None:
        """Replaces the server by a new incarnation, which has its own id and address."""
        old.retire()
        self.context.proxy.tcp.reset_all(endpoint_of(old.host), old.host)
        new = self._create_server(old.index, old.incarnation + 1)
        new.mark_started_now()
        self.context.record(
            ServerStarted(
                self.context.now_ms(),
                server=new.id,
                capacity=SERVER_CAPACITY,
                work_per_call_ms=CALL_DURATION_MS,
            )
        )
        await self._open_server(new)
        self.servers[old.index] = new
        await self._notify_discovery(old)
        await self._notify_discovery(new)
