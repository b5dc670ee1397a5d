"""Executes the state machines' effects: sends messages, persists states, logs, and calls listeners."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxpost.leadership import protocol
from onyxpost.leadership.effects import (
    Diagnostic,
    Effect,
    LeadershipAcquired,
    LeadershipChange,
    LeadershipLost,
    PersistState,
    RecordCommitted,
    SendMessage,
)
from onyxpost.leadership.errors import AcceptorLogError
from onyxpost.leadership.leadership_log import ACCEPTOR_LOG_FAILED
from onyxpost.runtime.log_event import LogEvent, fault_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.cluster.connections import PeerConnections
    from onyxpost.leadership.acceptor_log import AcceptorLog
    from onyxpost.leadership.acceptor_state import AcceptorState
    from onyxpost.leadership.leadership_log import LeadershipLog
    from onyxpost.leadership.registry import RoleRegistry
    from onyxpost.runtime.transport import Transport


@dataclass(frozen=True, slots=True)
class Leadership:
    """The lease of a role that this node acquired and has not been reported to have lost."""

    fencing_token: int
    acquired_at_ms: float


class EffectRunner:
    """Executes effects in the given order.

    `acceptor_log` is None if acceptors keep no log. `leaderships` has the roles that this node leads.
    """

    def __init__(
        self,
        transport: Transport,
        connections: PeerConnections,
        registry: RoleRegistry,
        acceptor_log: AcceptorLog | None,
        leadership_log: LeadershipLog,
    ) -> None:
        self.transport = transport
        self.connections = connections
        self.registry = registry
        self.acceptor_log = acceptor_log
        self.log = leadership_log
        self.listeners: dict[str, Callable[[LeadershipChange], None]] = {}
        self.leaderships: dict[str, Leadership] = {}

    def subscribe(self, role: str, listener: Callable[[LeadershipChange], None]) -> None:
        """Sets the listener of a role's leadership changes; replaces an earlier one."""
        self.listeners[role] = listener

    def apply(self, effects: list[Effect], sender: str = "") -> None:
        """Executes the effects in order; `sender` sent the message that caused them, empty for no message."""
        for index, effect in enumerate(effects):
            match effect:
                case SendMessage():
                    self._send(effect)
                case PersistState():
                    if not self._persist(effect.state):
                        # The state is not durable, so messages and leases that depend on it are dropped.
                        # Lost leases and diagnostics do not depend on it.
                        following = effects[index + 1 :]
                        self.apply(
                            [other for other in following if isinstance(other, LeadershipLost | Diagnostic)]
                        )
                        return
                case Diagnostic():
                    self.log.log_diagnostic(effect, sender)
                case _:
                    self.handle_change(effect)

    def handle_change(self, change: LeadershipChange) -> None:
        """Logs a change and passes it to the role's listener."""
        match change:
            case LeadershipAcquired():
                self.leaderships[change.role] = Leadership(change.fencing_token, self.transport.clock())
                self.log.log_leadership_acquired(change)
            case LeadershipLost():
                self._log_loss(change)
            case RecordCommitted():
                leader = self.registry.participants[change.role].leader
                if leader is not None and leader.record.sequence == change.sequence:
                    self.log.log_record_committed(change.role, change.fencing_token, leader.record)
        listener = self.listeners.get(change.role)
        if listener is None:
            return
        try:
            listener(change)
        except Exception as error:  # a faulty listener must not stop other roles or the following effects
            self.log.write(fault_event(f"role {change.role}", error))

    def _log_loss(self, change: LeadershipLost) -> None:
        now_ms = self.transport.clock()
        leadership = self.leaderships.pop(change.role, None)
        held_ms = now_ms - leadership.acquired_at_ms if leadership is not None else 0.0
        ended_ago_ms = max(0.0, now_ms - change.ended_at_ms)  # an expiry is detected at the next tick
        self.log.log_leadership_lost(change, held_ms, ended_ago_ms)

    def _send(self, effect: SendMessage) -> None:
        is_sent = self.connections.send(effect.recipient, protocol.TOPIC, protocol.encode(effect.message))
        self.log.count_sent(effect.message, is_sent=is_sent)

    def _persist(self, state: AcceptorState) -> bool:
        """Returns whether the state is durable.

        If not, stops the acceptors, resigns from all roles and takes part in no further election.
        """
        if self.acceptor_log is None:
            return True
        try:
            self.acceptor_log.append(state)
        except AcceptorLogError as error:
            self.log.write(LogEvent(ACCEPTOR_LOG_FAILED, error.log_fields(), logging.ERROR))
            self.registry.stop_acceptors()
            resignations = self.registry.resign_all(self.transport.clock())
            self.apply([effect for effect in resignations if not isinstance(effect, PersistState)])
            return False
        return True
