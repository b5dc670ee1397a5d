"""Fault injector: begins the faults of a script, with one handler for each kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.deterministic.cluster_faults import LoadFaults, NetworkFaults
from onyxpost.simulation.deterministic.fault_script import Fault, FaultKind
from onyxpost.simulation.deterministic.node_faults import AgentFaults, NodeFaults
from onyxpost.simulation.deterministic.server_faults import ServerFaults

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.simulation.deterministic.fault_context import FaultContext


class FaultInjector:
    """Begins faults in a run; their handlers also schedule their ends."""

    def __init__(self, context: FaultContext) -> None:
        servers = ServerFaults(context)
        nodes = NodeFaults(context)
        agents = AgentFaults(context)
        network = NetworkFaults(context)
        load = LoadFaults(context, servers)
        self._handlers: dict[FaultKind, Callable[[Fault], None]] = {
            FaultKind.DRAIN: servers.drain,
            FaultKind.CRASH: servers.crash,
            FaultKind.HANG: servers.change_behavior,
            FaultKind.FAIL: servers.change_behavior,
            FaultKind.BUSY: servers.change_behavior,
            FaultKind.DROP: servers.change_behavior,
            FaultKind.SLOW: servers.slow_down,
            FaultKind.BREAK: servers.break_connections,
            FaultKind.RESET: servers.reset_connections,
            FaultKind.MALFORMED_RESPONSES: servers.malform_responses,
            FaultKind.DRAIN_ON_RESET: servers.drain_on_reset,
            FaultKind.PERMANENT_DRAIN: servers.drain_permanently,
            FaultKind.KILL: nodes.kill,
            FaultKind.SIGTERM: nodes.restart,
            FaultKind.SIGHUP: nodes.reload,
            FaultKind.AGENT_SILENT: agents.silence,
            FaultKind.POLLS_SILENT: agents.silence_polls,
            FaultKind.POLLS_RESET: agents.reset_polls,
            FaultKind.AGENT_LATE: agents.delay_connections,
            FaultKind.AGENT_REFUSES: agents.fail,
            FaultKind.AGENT_BUSY: agents.fail,
            FaultKind.AGENT_TRUNCATES: agents.fail,
            FaultKind.CUT_OFF: network.cut_off_server,
            FaultKind.TWO_SERVERS_CUT_OFF: network.cut_off_two_servers,
            FaultKind.DATAGRAM_LOSS: network.lose_datagrams,
            FaultKind.LATE_UPDATES: network.delay_updates,
            FaultKind.BURST: load.burst,
            FaultKind.SLOW_START_BURST: load.burst_during_slow_start,
            FaultKind.DISCONNECT_ON_ANSWER: load.disconnect_on_answer,
            FaultKind.EARLY_DISCONNECTS: load.disconnect_early,
        }

    def begin(self, fault: Fault) -> None:
        """Begins a fault now."""
        self._handlers[fault.kind](fault)
