"""The life cycle of an edge node: phases from start to exit, reloads, and the node's log."""

from __future__ import annotations

import asyncio
import logging
from enum import Enum
from typing import TYPE_CHECKING, Any

from onyxpost.core.events import CustomerLimitChanged, RoutingRulesChanged
from onyxpost.edge.descriptor_budget import ExhaustionLogLimiter
from onyxpost.edge.memory_account import account_limit_bytes, max_customers
from onyxpost.edge.messages import ClientDisconnected, SendAttempt
from onyxpost.errors import InvalidInputError
from onyxpost.node.components import build_components
from onyxpost.node.reload import compare_configs
from onyxpost.node.shutdown import wait_unless_stopped
from onyxpost.runtime.log_event import LogEvent, fault_event
from onyxpost.runtime.socket_transport import SocketTransport

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.node.node_config import NodeConfig
    from onyxpost.runtime.structured_log import StructuredLog
    from onyxpost.runtime.transport import Transport

SWEEP_INTERVAL_SECONDS = 0.25  # interval between checks for connections that exceed a timeout
INITIAL_ENDPOINTS_TIMEOUT_MS = 500.0
"""Upper bound of the time that a starting node waits for endpoints from discovery.

A discovery agent answers the first poll at once, so an agent that does not answer within this time is down.
The node waits no longer than the drain grace period: app servers that the answer would report as draining may
still receive requests until that period ends.
"""
ACCEPT_AFTER_STOP_SECONDS = 0.6  # new connections may arrive for 0.4 s after SIGTERM; the rest is margin
DRAIN_POLL_SECONDS = 0.01  # interval between checks whether all requests have been answered


class Phase(Enum):
    """The phases of a node, in order; the values are written to the log."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"  # after a stop signal: answers requests, and accepts connections for a short time
    CLOSING = "closing"  # accepts no more connections, and answers the requests of those that are open
    STOPPED = "stopped"


class EdgeNode:
    """An edge node: the configuration in force, and the components that use it."""

    def __init__(
        self,
        config: NodeConfig,
        event_log: StructuredLog,
        read_config: Callable[[], NodeConfig],
        transport: Transport | None = None,
    ) -> None:
        """Builds the node.

        Args:
            config: the configuration to start with.
            event_log: the node's log.
            read_config: reads the configuration again for a reload. Raises InvalidInputError.
            transport: the operating system's sockets by default.
        """
        self.config = config
        self.event_log = event_log
        self.read_config = read_config
        self.routing_rules = config.routing_rules
        self.transport: Transport = transport or SocketTransport()
        self.clock = self.transport.clock
        self.system_descriptor_limit = self.transport.descriptor_limit()
        self.phase = Phase.STARTING
        self._exhaustion_log_limiter = ExhaustionLogLimiter()
        components = build_components(config, self.transport, self)
        self.state_machine = components.state_machine
        self.event_processor = components.event_processor
        self.descriptors = components.descriptors
        self.clients = components.clients
        self.upstream_pool = components.upstream_pool
        self.discovery = components.discovery
        self.peers = components.peers
        self.extensions = components.extensions

    # Phases

    async def run(self) -> int:
        """Serves until a signal stops the node; returns the exit code of the process.

        Raises:
            ListenError: the node cannot listen at one of its addresses.
            InsufficientMemoryError: the memory in the node's file does not suffice.
        """
        stop = asyncio.Event()
        await self._prepare_to_serve(stop)
        if not stop.is_set():
            await self._start_serving()
            await stop.wait()
            await self._drain()
        self.transport.ignore_signals()
        self.close()
        self._enter_phase(Phase.STOPPED)
        return 0

    async def _prepare_to_serve(self, stop: asyncio.Event) -> None:
        """Prepares the node to serve.

        Installs the signal handlers, opens the peer socket, applies the endpoints and rules that the files
        contain, and waits a short time for endpoints from discovery.
        """
        resident_bytes = self.transport.resident_bytes()
        self.clients.memory.account.limit_bytes = account_limit_bytes(self.config.memory_mb, resident_bytes)
        max_known = max_customers(self.config.memory_mb, resident_bytes)
        self.event_processor.queued_events.append(CustomerLimitChanged(max_known))
        asyncio.get_running_loop().set_exception_handler(self._handle_loop_error)
        self.transport.install_signal_handlers(stop.set, self.reload)
        if self.config.peer_listen is not None:
            await self.peers.listen(self.config.peer_listen)
        self.event_processor.queued_events.append(self.config.known_endpoints)
        if self.routing_rules is not None:
            self.event_processor.queued_events.append(RoutingRulesChanged(self.routing_rules))
            self.log(LogEvent("routing rules applied", self.routing_rules.log_fields()))
        self.event_processor.run_round()
        if not self.config.deployment.polls_endpoints:
            self.discovery.start()
        # The endpoints in the file may be outdated, and a node that serves has to use those of discovery.
        timeout_ms = min(INITIAL_ENDPOINTS_TIMEOUT_MS, self.config.deployment.drain_grace_ms)
        await wait_unless_stopped(stop, self.discovery.wait_for_first_answer(timeout_ms))

    async def _start_serving(self) -> None:
        for extension in self.extensions:
            await extension.start()
        await self.clients.listener.listen(self.config.listen)
        self.close_expired_connections()
        self.transport.freeze_startup_objects()
        self._enter_phase(Phase.SERVING)

    async def _drain(self) -> None:
        """Waits until all requests are answered, then stops the extensions."""
        self._enter_phase(Phase.LEAVING)
        for extension in self.extensions:
            extension.resign()
        self.clients.closer.begin_shutdown()
        await asyncio.sleep(ACCEPT_AFTER_STOP_SECONDS)
        self._enter_phase(Phase.CLOSING)
        await self.clients.listener.stop_accepting()
        self.clients.closer.on_accepting_stopped()
        while self.state_machine.unanswered_count or self.clients.connections.open:
            self.clients.closer.close_idle()
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self.clients.closer.close_all()
        for extension in self.extensions:
            await extension.stop()

    def close(self) -> None:
        """Closes all sockets at once."""
        self.clients.listener.close()
        self.upstream_pool.close()
        self.peers.close()
        self.discovery.close()
        for extension in self.extensions:
            extension.close()

    def is_ready(self) -> bool:
        """Returns whether the node is in its serving phase."""
        return self.phase is Phase.SERVING

    def _enter_phase(self, phase: Phase) -> None:
        self.phase = phase
        self.log(LogEvent("phase", {"phase": phase.value, "owed": self.state_machine.unanswered_count}))

    # Reload

    def reload(self) -> None:
        """Reads the configuration again and applies the changes that can take effect without a restart.

        The node's file is read and checked first; if it is invalid, this is logged and nothing changes. The
        rules file and the cluster's membership are checked on their own, and rejected without affecting the
        rest. Changes of `log_level`, `seed` and `known` are ignored, see `compare_configs`.
        """
        try:
            new = self.read_config()
            for extension in self.extensions:
                extension.validate_reload(new)
        except InvalidInputError as error:
            self.log(LogEvent("reload refused", dict(error.log_fields()), logging.WARNING))
            return
        change = compare_configs(self.config, new, has_routing_rules=self.routing_rules is not None)
        self._reload_routing_rules(new)
        self.config = change.config
        self.discovery.change_address(new.discovery)
        restart_keys = list(change.restart_keys)
        for extension in self.extensions:
            restart_keys += extension.apply_reload(new)
        address = "{}:{}".format(*new.discovery)
        self.log(LogEvent("reloaded", {"discovery": address, "after restart": restart_keys}))

    def _reload_routing_rules(self, new: NodeConfig) -> None:
        if new.routing_rules_path is None:
            return
        from onyxpost.node.rules_reload import reload_rules  # only nodes with routing rules need it

        rules = reload_rules(new, self.config, self.routing_rules, self.log)
        if rules is not None:
            self.routing_rules = rules
            self.event_processor.post(RoutingRulesChanged(rules))

    # Callbacks of the components

    def may_start_attempt(self, effect: SendAttempt, remaining_ms: float) -> bool:
        """Returns whether an attempt may still be sent; checked just before its first byte is written.

        While the attempt waited for a connection, the client may have disconnected, the app server may have
        begun to drain, or the deduplication window may have ended. With no more than one tick remaining, the
        attempt would reach the app server after its request was answered.
        """
        if not self.clients.connections.is_waiting(effect.request.connection_id):
            self.event_processor.post(ClientDisconnected(effect.request.connection_id))
            return False
        is_in_time = remaining_ms > self.config.deployment.tick_ms and self.clock() < effect.latest_start_at
        return is_in_time and self.state_machine.endpoints.accepts_attempts(effect.endpoint)

    def descriptor_limit(self) -> int:
        """Returns the lower of the limits on file descriptors that the node's file and the system set."""
        return min(self.config.max_descriptors, self.system_descriptor_limit)

    def close_expired_connections(self) -> None:
        """Closes connections that exceed a timeout, and schedules the next such check."""
        self.upstream_pool.close_expired()
        self.clients.closer.close_expired()
        self.clients.memory.update_all()
        asyncio.get_running_loop().call_later(SWEEP_INTERVAL_SECONDS, self.close_expired_connections)

    # Log

    def log(self, event: LogEvent) -> None:
        """Writes an event to the node's log."""
        self.event_log.write(self.clock(), event.event, event.fields, event.level)

    def report_fault(self, operation: str, error: BaseException | None) -> None:
        """Logs an unexpected exception in an operation."""
        self.log(fault_event(operation, error))

    def _handle_loop_error(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if not self._exhaustion_log_limiter.should_suppress(self.clock(), error):
            self.report_fault(str(context.get("message")), error)
