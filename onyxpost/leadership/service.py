"""Leader election in a running node: runs the state machines of `registry` on timer, network and disk."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from onyxpost.cluster.failure_detector import PeerState
from onyxpost.leadership import fenced_call
from onyxpost.leadership.acceptor_log import AcceptorLog
from onyxpost.leadership.ballots import NodeIdentity
from onyxpost.leadership.effect_runner import EffectRunner
from onyxpost.leadership.errors import (
    FencedCallError,
    HigherFencingTokenError,
    LeadershipError,
    MalformedMessageError,
    NotLeaderError,
)
from onyxpost.leadership.fenced_call import FencedCall
from onyxpost.leadership.leadership_log import (
    ACCEPTORS_CHANGED,
    CALL_FAILED,
    MESSAGE_MALFORMED,
    LeadershipCounters,
    LeadershipLog,
)
from onyxpost.leadership.registry import RoleRegistry
from onyxpost.runtime.log_event import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from onyxpost.cluster.connections import PeerConnections
    from onyxpost.config.address import Address
    from onyxpost.leadership.config import LeadershipConfig
    from onyxpost.leadership.effects import LeadershipChange
    from onyxpost.runtime.transport import Transport

TICK_SECONDS = 0.05  # a quarter of the shortest lease that a node's file may set
STATISTICS_INTERVAL_MS = 10_000.0
REPORT_BODY = b"held"  # constant; the token and the leader are in the request's headers


class LeadershipService:
    """Elects the leaders of all roles together with the other nodes.

    Components of this node subscribe to a role; while the node leads it, they write the role's record and
    make fenced calls.

    Raises:
        AcceptorLogError: the acceptors' log is damaged, or cannot be opened, read or synced.
        MembershipChangeError: the acceptor set of `config` must not replace the one of the log.
    """

    def __init__(
        self,
        transport: Transport,
        name: str,
        config: LeadershipConfig,
        connections: PeerConnections,
        write_log: Callable[[LogEvent], None],
    ) -> None:
        self.transport = transport
        self.name = name
        self.config = config
        self.connections = connections
        self.log = LeadershipLog(transport, write_log)
        self.acceptor_log = AcceptorLog(config.log_path) if config.log_path is not None else None
        now_ms = transport.clock()
        identity = NodeIdentity(name, incarnation=int(now_ms))
        saved_states = self.acceptor_log.states if self.acceptor_log is not None else {}
        self.registry = RoleRegistry(now_ms, identity, config, saved_states)
        self.started_at_ms = now_ms
        self.statistics_at_ms = now_ms
        self.effect_runner = EffectRunner(transport, connections, self.registry, self.acceptor_log, self.log)
        self.reports: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def counters(self) -> LeadershipCounters:
        """The counters since the start of the process."""
        return self.log.counters

    def start(self) -> None:
        """Starts the timer; requires a running event loop."""
        self._spawn(self._run())

    def close(self) -> None:
        """Stops all tasks and closes the acceptors' log."""
        for task in list(self.tasks):
            task.cancel()
        if self.acceptor_log is not None:
            self.acceptor_log.close()

    # Interface for the components that act while this node leads a role

    def subscribe(self, role: str, listener: Callable[[LeadershipChange], None]) -> None:
        """Sets the listener of a role's later leadership changes at this node; replaces an earlier one."""
        self.effect_runner.subscribe(role, listener)

    def fencing_token(self, role: str) -> int | None:
        """Returns the fencing token if this node holds the lease now, else None.

        Without a token this node must not act as the leader.
        """
        participant = self.registry.participants.get(role)
        return None if participant is None else participant.fencing_token(self.transport.clock())

    def write(self, role: str, body: bytes) -> None:
        """Requests acceptance of a new record of the role; `RecordCommitted` reports success.

        Raises:
            NotLeaderError: this node does not lead the role, or no role has this name.
            RecordTooLongError: the body exceeds `MAX_RECORD_BYTES`.
        """
        self.effect_runner.apply(self.registry.write(self.transport.clock(), role, body))

    async def call(self, address: Address, role: str, body: bytes, timeout_ms: float) -> None:
        """Makes a fenced call as the role's leader; resigns if the resource has received a higher token.

        Raises:
            NotLeaderError: this node does not lead the role; nothing was sent.
            HigherFencingTokenError: the resource rejected the call, as it has received a higher token.
            FencedCallError: there was no response, or an unexpected one; the call may have been executed.
        """
        token = self.fencing_token(role)
        if token is None:
            raise NotLeaderError("this node does not lead the role", role)
        call = FencedCall(address, role, token, self.name, body, timeout_ms)
        try:
            await fenced_call.execute(self.transport, call, lambda: self.fencing_token(role) == token)
        except HigherFencingTokenError as error:
            self.log.log_fencing_token_rejected(role, token, error.message)
            if self.fencing_token(role) == token:
                now_ms = self.transport.clock()
                self.effect_runner.apply(
                    self.registry.on_higher_fencing_token(now_ms, role, error.fencing_token)
                )
            raise
        self.log.count_call()

    # Messages, reload and shutdown

    def handle_message(self, sender: str, data: bytes) -> None:
        """Handles a message of another member; logs and drops a malformed one."""
        self.log.count_received()
        try:
            self.effect_runner.apply(
                self.registry.handle_encoded(self.transport.clock(), sender, data), sender
            )
        except MalformedMessageError as error:
            self.log.log_rate_limited(f"malformed/{sender}", MESSAGE_MALFORMED, error.log_fields())

    def validate_reload(self, config: LeadershipConfig) -> None:
        """Checks whether the acceptor set of `config` may replace the one in force; changes nothing.

        Raises:
            MembershipChangeError: the set must not replace the one in force, or not until its records are
                committed.
        """
        self.registry.validate_change(config)

    def reload(self, config: LeadershipConfig) -> bool:
        """Applies the acceptor set of a reloaded file, or logs why it must not be applied.

        Other parts of the file may have been applied already, also if the log says `reload refused`.

        Returns whether the file has other changes in its section, which take effect only after a restart.
        """
        before = self.registry.acceptor_set
        try:
            self.registry.change_acceptors(self.transport.clock(), config)
        except LeadershipError as error:
            self.log.write(LogEvent("reload refused", dict(error.log_fields()), logging.WARNING))
        after = self.registry.acceptor_set
        if before != after:
            fields = {"version": after.version, "acceptors": after.names}
            self.log.write(LogEvent(ACCEPTORS_CHANGED, fields))
        return replace(config, acceptors=self.config.acceptors) != self.config

    def resign_all(self) -> None:
        """Resigns from all roles; this node's acceptors vote until its connections are closed."""
        self.effect_runner.apply(self.registry.resign_all(self.transport.clock()))

    # Timer

    async def _run(self) -> None:
        reported_at_ms = 0.0
        while True:
            now_ms = self.transport.clock()
            self.effect_runner.apply(self.registry.tick(now_ms, self._unreachable_nodes(now_ms)))
            resource = self.config.fenced_resource
            if resource is not None and now_ms - reported_at_ms >= self.config.report_interval_ms:
                reported_at_ms = now_ms
                for role in self.registry.fencing_tokens(now_ms):
                    self._spawn(self._report(role, resource))
            if now_ms - self.statistics_at_ms >= STATISTICS_INTERVAL_MS:
                self.statistics_at_ms = now_ms
                self._log_statistics(now_ms)
            await asyncio.sleep(TICK_SECONDS)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _unreachable_nodes(self, now_ms: float) -> set[str]:
        """Returns the nodes that this node cannot reach.

        Returns none during the first `restart_wait_ms`, while connections are still being established.
        """
        if now_ms < self.started_at_ms + self.config.timing.restart_wait_ms:
            return set()
        return {
            node
            for node in self.config.nodes
            if node != self.name and self.connections.state_of(node) in (PeerState.GONE, PeerState.SILENT)
        }

    async def _report(self, role: str, address: Address) -> None:
        """Reports this node's leadership of the role to the fenced resource.

        If the role has no listener, its record is set to the number of reports first.
        """
        has_listener = role in self.effect_runner.listeners
        try:
            if not has_listener and role in self.effect_runner.leaderships:
                self.write(role, b"%d" % (self.reports[role] + 1))
                self.reports[role] += 1
            timeout_ms = min(self.config.report_interval_ms, self.config.timing.lease_ms)
            await self.call(address, role, REPORT_BODY, timeout_ms)
        except (NotLeaderError, HigherFencingTokenError):
            return
        except FencedCallError as error:
            self.log.log_rate_limited(f"call/{role}", CALL_FAILED, error.log_fields())

    def _log_statistics(self, now_ms: float) -> None:
        leads = {
            role: [leadership.fencing_token, round(now_ms - leadership.acquired_at_ms)]
            for role, leadership in self.effect_runner.leaderships.items()
        }
        voting = sum(acceptor.is_voting for acceptor in self.registry.acceptors.values())
        self.log.log_statistics(leads, self.registry.acceptor_set.version, voting)
