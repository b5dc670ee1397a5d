"""The environment `leadership`: nodes that lead roles and call one fenced resource, without clients."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.runtime.socket_transport import SocketTransport
from onyxpost.simulation.free_ports import ANY_PORT
from onyxpost.simulation.multiprocess.endpoints import format_address
from onyxpost.simulation.multiprocess.fault_script import ACCEPTOR_COUNT
from onyxpost.simulation.multiprocess.fenced_resource import FencedResource
from onyxpost.simulation.multiprocess.leadership_failover import failover_durations_ms, messages_per_second
from onyxpost.simulation.multiprocess.leadership_faults import LeadershipFaults
from onyxpost.simulation.multiprocess.leadership_invariants import LEADERSHIP_INVARIANTS
from onyxpost.simulation.multiprocess.leadership_mutations import RESOURCE_MUTATIONS, current_name
from onyxpost.simulation.multiprocess.leadership_traffic import FencedCallObserver
from onyxpost.simulation.multiprocess.node_file import node_file
from onyxpost.simulation.multiprocess.node_log import LeadershipAcquired, RecordCommitted
from onyxpost.simulation.multiprocess.process_invariants import no_process_failures
from onyxpost.simulation.multiprocess.recovery_epochs import RecoveryEpochsJustified
from onyxpost.simulation.settings import DEPLOYMENT_SETTINGS
from onyxpost.simulation.stubs import DiscoveryAgent, NullObserver

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.checker import Invariant
    from onyxpost.simulation.multiprocess.fault_script import Fault
    from onyxpost.simulation.multiprocess.history import FencedCallReceived, HistoryEvent
    from onyxpost.simulation.multiprocess.run_context import RunContext
    from onyxpost.simulation.multiprocess.scenario_environment import Counts

SKEW_MS = 200.0  # maximum difference between two clocks, as set in the nodes' files
DRIFT = 0.01  # maximum relative error of a clock's rate, as set in the nodes' files
CALL_INTERVAL_MS = 200.0  # interval between the fenced calls of a leader
# How long an acceptor is assumed to use another one's `RecoveryReply`, in units of lease plus skew.
RECOVERY_REPLY_VALIDITY_LEASES = 3.0
# A node must know an app server, although no request is sent.
UNUSED_SERVER = {
    "instanceId": "s-1",
    "hostPort": "127.0.0.1:9",
    "zone": "a",
    "cell": 0,
    "lifecycle": "up",
    "startedAtMs": 0,
}


class LeadershipEnvironment(NullObserver):
    """One fenced resource, which each node calls through its own fault proxy, and one discovery stub."""

    def __init__(self, context: RunContext) -> None:
        self.context = context
        self.roles = [f"d{index}" for index in range(max(1, context.scenario.roles))]
        self.lease_ms = context.scenario.lease_seconds * MS_PER_SECOND
        self.acceptors = context.node_names[:ACCEPTOR_COUNT]
        checks_tokens = current_name(context.script.mutation) not in RESOURCE_MUTATIONS
        self.resource = FencedResource(self._on_fenced_call, context.now_ms, checks_tokens=checks_tokens)
        self.agent = DiscoveryAgent(SocketTransport(), self, 0, ANY_PORT)
        self.leaders: dict[str, str] = {}  # by role, the node whose fenced call was accepted last
        self.calls = FencedCallObserver(context)
        self.faults = LeadershipFaults(context, self.acceptors, self.leaders, self.calls.chunks_sent)
        context.observe_bytes(self.calls.observe)

    async def open(self) -> None:
        """Starts the fenced resource, the discovery stub and the fault proxies, and sets the nodes' files."""
        context = self.context
        context.addresses["s0"] = await self.resource.open()
        self.agent.update_endpoint(UNUSED_SERVER)
        await self.agent.open()
        assert self.agent.listener is not None
        discovery = format_address(self.agent.listener.sockets[0].getsockname())
        cluster_addresses = await context.open_cluster_proxies()
        for index in context.node_indexes:
            own_udp = format_address(context.addresses[f"n{index}/udp"])
            fields = node_file(context, index, self.agent, discovery, [own_udp])
            fields["settings"] = DEPLOYMENT_SETTINGS | {"ordinal": 0, "n_instances": 1}
            fields["fleet"] = self._cluster_section(index, cluster_addresses[index])
            fields["duties"] = await self._leadership_section(index)
            context.processes.set_file(f"n{index}", fields)

    async def run_load(self, seconds: float) -> None:
        """Returns at once, because leaders call the fenced resource without requests from clients."""

    def resolve_target(self, name: str) -> str:
        """Returns the leader of role 1 for `h1`: the node whose call for it the resource accepted last.

        Role numbers beyond the last role start again at 0. If no call has been accepted for the role, a fixed
        node takes the leader's place. Other names are returned unchanged.
        """
        if not name.startswith("h"):
            return name
        index = int(name[1:])
        role = self.roles[index % len(self.roles)]
        return self.leaders.get(role, f"n{index % self.context.scenario.nodes}")

    async def inject_fault(self, fault: Fault) -> None:
        """Kills acceptors, or delays a leader's fenced call."""
        if fault.kind == "voters-killed":
            await self.faults.kill_acceptors(fault, self.lease_ms)
        elif fault.kind == "late-act":
            await self.faults.delay_fenced_call(fault, CALL_INTERVAL_MS)

    def invariants(self) -> Sequence[Invariant]:
        """Returns the invariants of leader election, and the one of process failures."""
        report_validity_ms = RECOVERY_REPLY_VALIDITY_LEASES * (self.lease_ms + SKEW_MS)
        epochs = RecoveryEpochsJustified(self.acceptors, report_validity_ms)
        return no_process_failures, *LEADERSHIP_INVARIANTS, epochs

    def count(self, events: Sequence[HistoryEvent]) -> Counts:
        """Returns numbers of elections, records and calls, the message rate, and durations of failovers."""
        counts: Counts = {
            "held": sum(isinstance(event, LeadershipAcquired) for event in events),
            "wrote": sum(isinstance(event, RecordCommitted) for event in events),
            "acts": self.resource.accepted_calls,
            "refused_by_fence": self.resource.rejected_calls,
            "words_a_second": messages_per_second(events),
        }
        for fault, durations_ms in failover_durations_ms(events, self.lease_ms).items():
            counts[f"{fault}_ms"] = sorted(durations_ms)
        return counts

    async def close(self) -> None:
        """Stops the fenced resource and the discovery stub."""
        self.resource.close()
        if self.agent.listener is not None:
            self.agent.listener.close()
        for writer in list(self.agent.writers):
            writer.transport.abort()

    def _on_fenced_call(self, call: FencedCallReceived) -> None:
        if call.accepted:
            self.leaders[call.role] = call.leader
        self.context.record(call)

    def _cluster_section(self, index: int, addresses: list[str]) -> dict[str, Any]:
        return {
            "version": 1,
            "listen": format_address(self.context.addresses[f"n{index}/fleet"]),
            "members": dict(zip(self.context.node_names, addresses, strict=True)),
        }

    async def _leadership_section(self, index: int) -> dict[str, Any]:
        resource = await self.context.proxy.tcp.open(f"n{index}", "s0")
        return {
            "version": 1,
            "voters": self.acceptors,
            "names": self.roles,
            "lease_ms": self.lease_ms,
            "drift": DRIFT,
            "skew_ms": SKEW_MS,
            "acts": format_address(resource),
            "act_ms": CALL_INTERVAL_MS,
        }
