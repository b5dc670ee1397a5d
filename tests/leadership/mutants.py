"""State machines with known bugs, which the model checks must find."""

from typing import Any

from onyxpost.leadership.acceptor import Acceptor
from onyxpost.leadership.candidate import Candidate
from onyxpost.leadership.effects import Effect
from onyxpost.leadership.leader import Leader
from onyxpost.leadership.participant import Participant
from onyxpost.leadership.protocol import EMPTY_RECORD, Accepted, Message, Promise


class AcceptorWithoutRestartWait(Acceptor):
    """Votes immediately after a restart without state."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.start_voting("no restart wait")


class AcceptorWithoutRecovery(Acceptor):
    """Waits after a restart without state, but does not recover the state from the other acceptors."""

    def tick(self, now_ms: float) -> list[Effect]:
        if self.is_voting or now_ms < self.restart_wait_ends_at_ms:
            return []
        return self.start_voting("no recovery")


class LeaderCountingFromReply(Leader):
    """Counts its lease from the reply instead of the request."""

    def handle_accepted(self, now_ms: float, sender: str, reply: Accepted) -> list[Effect]:
        for renewal in self.rounds.values():
            renewal.requested_at_ms = now_ms
        return super().handle_accepted(now_ms, sender, reply)


class ParticipantCountingFromReply(Participant):
    def handle(self, now_ms: float, sender: str, message: Message) -> list[Effect]:
        effects = super().handle(now_ms, sender, message)
        if self.leader is not None and type(self.leader) is Leader:
            self.leader.__class__ = LeaderCountingFromReply
        return effects


class CandidateWithoutRecord(Candidate):
    """Ignores the records in the promises, and requests acceptance of an empty one."""

    def request_acceptance(self, now_ms: float) -> list[Effect]:
        for name, promise in self.promises.items():
            self.promises[name] = Promise(
                role=promise.role,
                version=promise.version,
                ballot=promise.ballot,
                record=EMPTY_RECORD,
                record_epoch_ms=0,
            )
        return super().request_acceptance(now_ms)


class ParticipantWithoutRecord(Participant):
    def tick(self, now_ms: float, unreachable: object = (), other_roles_led: int = 0) -> list[Effect]:
        del unreachable, other_roles_led
        self.candidate.__class__ = CandidateWithoutRecord
        return super().tick(now_ms)
