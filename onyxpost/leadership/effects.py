"""Effects: actions that the state machines return, for their caller to execute in the given order. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.leadership.acceptor_state import AcceptorState
    from onyxpost.leadership.protocol import Message, Record


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Requests to send a message to a node, which may be this one."""

    recipient: str
    message: Message


@dataclass(frozen=True, slots=True)
class PersistState:
    """Requests to make an acceptor's state durable before any of the following effects is executed."""

    state: AcceptorState


@dataclass(frozen=True, slots=True)
class LeadershipAcquired:
    """Reports that this node has acquired the lease of the role.

    If `record_epoch_ms` is greater than `record.fencing_token`, a majority of acceptors has lost its state
    since the record was written, and later committed writes may be missing. The two can be compared because
    a fencing token is at least the Unix time in ms, by its leader's clock, of the leader's election.
    """

    role: str
    fencing_token: int
    record: Record
    record_epoch_ms: int


@dataclass(frozen=True, slots=True)
class LeadershipLost:
    """Reports that this node no longer leads the role.

    `ended_at_ms` is the scheduled end of the lease by this node's clock: in the past if the lease expired, in
    the future if the node resigned before that end.
    """

    role: str
    fencing_token: int
    reason: str
    ended_at_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class RecordCommitted:
    """Reports that a majority of acceptors has accepted the record with this sequence number.

    The record replaces all earlier ones of its role.
    """

    role: str
    fencing_token: int
    sequence: int


class DiagnosticKind(Enum):
    """The kinds of diagnostics; the value is the name of the log event."""

    ACCEPTOR_VOTING = "leadership acceptor voting"
    MESSAGE_DROPPED = "leadership message dropped"
    BALLOT_REJECTED = "leadership ballot rejected"


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """An event to be logged; `ballot_number` is 0 if the event does not concern a ballot."""

    role: str
    kind: DiagnosticKind
    reason: str
    ballot_number: int = 0


LeadershipChange = LeadershipAcquired | LeadershipLost | RecordCommitted
Effect = SendMessage | PersistState | LeadershipChange | Diagnostic
