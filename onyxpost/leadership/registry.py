"""The acceptors and participants of one node, for all roles, and the routing of messages to them. No I/O."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from onyxpost.leadership import protocol
from onyxpost.leadership.acceptor import Acceptor
from onyxpost.leadership.acceptor_set import AcceptorSet, validate_transition
from onyxpost.leadership.config import SECTION_PATH
from onyxpost.leadership.effects import Diagnostic, DiagnosticKind, Effect, SendMessage
from onyxpost.leadership.errors import NotLeaderError
from onyxpost.leadership.participant import Participant, RoleSettings

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from onyxpost.leadership.acceptor_state import AcceptorState
    from onyxpost.leadership.ballots import NodeIdentity
    from onyxpost.leadership.config import LeadershipConfig

ACCEPTOR_MESSAGES = (
    protocol.StatusQuery,
    protocol.Prepare,
    protocol.Accept,
    protocol.Release,
    protocol.RecoveryQuery,
    protocol.RecoveryReply,
)
PARTICIPANT_MESSAGES = (
    protocol.StatusReply,
    protocol.Promise,
    protocol.Accepted,
    protocol.Reject,
    protocol.Release,
)


class RoleRegistry:
    """Creates the acceptors and participants of all roles, and routes messages to them.

    `saved_states` has the states from the acceptors' log, by role.

    Raises:
        MembershipChangeError: the acceptor set of `config` must not replace the one of the saved states.
    """

    def __init__(
        self,
        now_ms: float,
        identity: NodeIdentity,
        config: LeadershipConfig,
        saved_states: Mapping[str, AcceptorState],
    ) -> None:
        self.identity = identity
        self.config = config
        self.acceptor_set = config.acceptors
        self.participants: dict[str, Participant] = {}
        for role in config.roles:
            settings = RoleSettings(role, config.timing, config.nodes, config.excluded_nodes.get(role, ()))
            self.participants[role] = Participant(now_ms, identity, settings, config.acceptors)
        self.acceptors: dict[str, Acceptor] = {}
        if self._is_acceptor():
            for role in config.roles:
                self.acceptors[role] = self._restored_acceptor(now_ms, role, saved_states.get(role))

    def fencing_tokens(self, now_ms: float) -> dict[str, int]:
        """Returns the fencing tokens of the roles whose lease this node holds at `now_ms`."""
        tokens = {role: participant.fencing_token(now_ms) for role, participant in self.participants.items()}
        return {role: token for role, token in tokens.items() if token is not None}

    def tick(self, now_ms: float, unreachable: Collection[str]) -> list[Effect]:
        """Runs the periodic work of all acceptors and participants; `unreachable` names unreachable nodes."""
        effects: list[Effect] = []
        for acceptor in self.acceptors.values():
            effects += self._deliver_local(now_ms, acceptor.tick(now_ms))
        roles_led = len(self.fencing_tokens(now_ms))
        for participant in self.participants.values():
            effects += self._deliver_local(now_ms, participant.tick(now_ms, unreachable, roles_led))
        return effects

    def handle_encoded(self, now_ms: float, sender: str, data: bytes) -> list[Effect]:
        """Decodes and handles a message of another member.

        Raises:
            MalformedMessageError: the data is not a message of this protocol version.
        """
        message = protocol.decode(data, sender)
        if message.role not in self.participants:
            return [_message_dropped(message.role, f"unknown role in a message from {sender}")]
        effects: list[Effect] = []
        own_version = self.acceptor_set.version
        # Still handled: the rejection of a Prepare or Accept tells the sender this node's version.
        if message.version != own_version:
            reason = f"acceptor set version {message.version} from {sender}, expected {own_version}"
            effects.append(_message_dropped(message.role, reason))
        return effects + self._deliver_local(now_ms, self._dispatch(now_ms, sender, message))

    def write(self, now_ms: float, role: str, body: bytes) -> list[Effect]:
        """Requests acceptance of a new record of the role; `RecordCommitted` reports success.

        Raises:
            NotLeaderError: this node does not lead the role, or no role has this name.
            RecordTooLongError: the body exceeds `MAX_RECORD_BYTES`.
        """
        if role not in self.participants:
            raise NotLeaderError("no role has this name", role)
        return self._deliver_local(now_ms, self.participants[role].write(now_ms, body))

    def resign_all(self, now_ms: float) -> list[Effect]:
        """Resigns from all roles and takes part in no further election.

        Called when the node is leaving or the acceptors' log has failed.
        """
        effects: list[Effect] = []
        for participant in self.participants.values():
            effects += self._deliver_local(
                now_ms, participant.leave(now_ms, "this node is leaving or its acceptors' log failed")
            )
        return effects

    def on_higher_fencing_token(self, now_ms: float, role: str, fencing_token: int) -> list[Effect]:
        """Resigns from the role, and makes this node's next ballot exceed the token of a fenced resource.

        A token more than `skew_ms` ahead of the clock is reduced to that limit, as acceptors would
        reject a ballot number above it.
        """
        participant = self.participants[role]
        resignation = participant.resign(now_ms, "a fenced resource has received a higher fencing token")
        effects = self._deliver_local(now_ms, resignation)
        limited_token = min(fencing_token, int(now_ms + self.config.timing.skew_ms))
        participant.raise_ballot_numbers(limited_token)
        return effects

    def stop_acceptors(self) -> None:
        """Stops this node's acceptors until it restarts, as their promises may not be durable."""
        self.acceptors = {}

    def validate_change(self, config: LeadershipConfig) -> None:
        """Checks whether the acceptor set of `config` may replace the one in force; changes nothing.

        Raises:
            MembershipChangeError: the set must not replace the one in force, or not until its records are
                committed.
        """
        are_records_committed = all(acceptor.is_record_committed for acceptor in self.acceptors.values())
        validate_transition(
            self.acceptor_set, config.acceptors, SECTION_PATH, are_records_committed=are_records_committed
        )

    def change_acceptors(self, now_ms: float, config: LeadershipConfig) -> None:
        """Puts the acceptor set of `config` into force at this node.

        Raises:
            MembershipChangeError: the set must not replace the one in force, or not until its records are
                committed.
        """
        self.validate_change(config)
        acceptors = config.acceptors
        if acceptors == self.acceptor_set:
            return
        self.acceptor_set = acceptors
        for participant in self.participants.values():
            participant.change_acceptors(now_ms, acceptors)
        if not self._is_acceptor():
            self.acceptors = {}
            return
        for role in self.participants:
            if role in self.acceptors:
                self.acceptors[role].change_acceptors(now_ms, acceptors)
            else:
                self.acceptors[role] = self._new_acceptor(now_ms, role)

    def _is_acceptor(self) -> bool:
        return self.identity.name in self.acceptor_set.names

    def _new_acceptor(self, now_ms: float, role: str, saved: AcceptorState | None = None) -> Acceptor:
        return Acceptor(now_ms, self.identity.name, role, self.config.timing, self.acceptor_set, saved)

    def _restored_acceptor(self, now_ms: float, role: str, saved: AcceptorState | None) -> Acceptor:
        if saved is not None and saved.acceptor_set_version != self.acceptor_set.version:
            old = AcceptorSet(saved.acceptor_set_version, self.acceptor_set.previous_names)
            validate_transition(
                old, self.acceptor_set, SECTION_PATH, are_records_committed=saved.is_record_committed
            )
        return self._new_acceptor(now_ms, role, saved)

    def _dispatch(self, now_ms: float, sender: str, message: protocol.Message) -> list[Effect]:
        effects: list[Effect] = []
        acceptor = self.acceptors.get(message.role)
        if acceptor is not None and isinstance(message, ACCEPTOR_MESSAGES):
            effects += acceptor.handle(now_ms, sender, message)
        if isinstance(message, PARTICIPANT_MESSAGES):
            effects += self.participants[message.role].handle(now_ms, sender, message)
        return effects

    def _deliver_local(self, now_ms: float, effects: list[Effect]) -> list[Effect]:
        """Handles the messages that this node sends to itself, and returns all other effects.

        Effects keep their order, so that a state is persisted before a message that depends on it is sent.
        """
        own_name = self.identity.name
        remaining: list[Effect] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            if isinstance(effect, SendMessage) and effect.recipient == own_name:
                pending.extend(self._dispatch(now_ms, own_name, effect.message))
            else:
                remaining.append(effect)
        return remaining


def _message_dropped(role: str, reason: str) -> Diagnostic:
    return Diagnostic(role, DiagnosticKind.MESSAGE_DROPPED, reason)
