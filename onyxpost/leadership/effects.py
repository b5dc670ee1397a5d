"""Effects: what the state machines have their environment do, in the order given. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.leadership.acceptor_state import AcceptorState
    from onyxpost.leadership.protocol import Message, Record


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a node, which may be this one."""

    recipient: str
    message: Message


@dataclass(frozen=True, slots=True)
class PersistState:
    """Make an acceptor's state durable before any effect that follows."""

    state: AcceptorState


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This node leads the role now.

    Where `record_epoch_ms` is later than `record.fencing_token`, committed writes may be missing.
    """

    role: str
    fencing_token: int
    record: Record
    record_epoch_ms: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This node no longer leads the role.

    `ended_at_ms` is when the lease was to end by this node's clock: past if it expired, still to come if the
    node resigned before.
    """

    role: str
    fencing_token: int
    reason: str
    ended_at_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class RecordCommitted:
    """A majority of acceptors has the record with this sequence number, which replaces all earlier ones."""

    role: str
    fencing_token: int
    sequence: int


class DiagnosticKind(Enum):
    """What a diagnostic reports; the value is the name of the event in the log."""

    ACCEPTOR_VOTING = "leadership acceptor voting"
    MESSAGE_DROPPED = "leadership message dropped"
    BALLOT_REJECTED = "leadership ballot rejected"


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """Something for the log; `ballot_number` is 0 where no ballot is concerned."""

    role: str
    kind: DiagnosticKind
    reason: str
    ballot_number: int = 0


LeadershipChange = LeaseAcquired | LeaseLost | RecordCommitted
Effect = SendMessage | PersistState | LeadershipChange | Diagnostic
