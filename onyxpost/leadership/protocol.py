"""The messages of leader election between nodes, version 1 (docs/leadership.md), and their encoding.

`tag` and `field(name=...)` give the names on the wire. They are older than those here, and are kept.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, field

from onyxpost.leadership.ballots import Ballot, Name, Number
from onyxpost.leadership.errors import MalformedMessageError
from onyxpost.leadership.lease_timing import RECORD_LIMIT_BYTES

TOPIC = "duties"
MESSAGE_LIMIT_BYTES = RECORD_LIMIT_BYTES + 1024  # a record and its envelope
CAUSE_LIMIT_CHARACTERS = 200  # of a decoder's error in a log line

Body = Annotated[bytes, Meta(max_length=RECORD_LIMIT_BYTES)]
Milliseconds = Annotated[float, Meta(ge=0.0, le=600_000.0)]


class RejectReason(Enum):
    """Why an acceptor rejects a ballot; the value is the one on the wire."""

    HIGHER_PROMISE = "promised"
    LEASE_ACTIVE = "busy"
    RECORD_MISSING = "lacks"
    NOT_VOTING = "silent"
    CLOCK_AHEAD = "ahead"
    OTHER_VERSION = "version"
    LEASE_TOO_LONG = "lease"


class Record(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What a role's leader wrote last.

    `ballot_number` is that of the ballot under which it was last accepted; `sequence` counts writes over all
    leaders; `fencing_token` is that of the leader that wrote it.
    """

    ballot_number: Number = 0
    sequence: Number = 0
    fencing_token: Number = 0
    body: Body = b""

    def recency(self) -> tuple[int, int]:
        """The order by which the newest of several records is chosen."""
        return self.ballot_number, self.sequence


EMPTY_RECORD = Record()


class RoleMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="say", kw_only=True):
    """The base of all messages: the role, and the version of the sender's acceptor set."""

    role: Name = field(name="duty")
    version: Number


class StatusQuery(RoleMessage, tag="look", frozen=True, kw_only=True):
    """Candidate to acceptor: is the role free? Changes nothing there."""

    queried_at_ms: Number = field(name="asked")


class StatusReply(RoleMessage, tag="seen", frozen=True, kw_only=True):
    """Acceptor to candidate.

    `remaining_ms` is what is left of a lease, or of the time for which a promise keeps other candidates away;
    0 if the role is free. `is_voting` is false for an acceptor that restarted and may not vote yet.
    """

    queried_at_ms: Number = field(name="asked")
    is_voting: bool = field(name="votes")
    remaining_ms: Milliseconds = field(name="left")
    leader: Annotated[str, Meta(max_length=64)] = field(name="holder")
    highest_ballot: Number = field(name="number")


class Prepare(RoleMessage, tag="prepare", frozen=True, kw_only=True):
    """Candidate to acceptor: promise this ballot (Paxos phase 1a)."""

    ballot: Ballot


class Promise(RoleMessage, tag="promise", frozen=True, kw_only=True):
    """Acceptor to candidate: the ballot is promised; the record is the last one accepted (phase 1b).

    `record_epoch_ms` is when acceptors last voted again after a majority had lost its state (Unix ms); 0:
    never. Records written before that moment may be missing.
    """

    ballot: Ballot
    record: Record
    record_epoch_ms: Number = field(name="era")


class Accept(RoleMessage, tag="accept", frozen=True, kw_only=True):
    """Candidate or leader to acceptor: accept this record and count a lease from now (phase 2a).

    `settled_version` is the version of the acceptor set of which a majority is known to have accepted the
    record, 0 if not known; `record` is None where the acceptor has it already.
    """

    ballot: Ballot
    round_id: Number = field(name="round")
    lease_ms: Milliseconds = field(name="lasts")
    sequence: Number = field(name="seq")
    settled_version: Number = field(name="settled")
    record_epoch_ms: Number = field(name="era")
    record: Record | None = None


class Accepted(RoleMessage, tag="accepted", frozen=True, kw_only=True):
    """Acceptor to candidate or leader: accepted (phase 2b)."""

    ballot: Ballot
    round_id: Number = field(name="round")
    sequence: Number = field(name="seq")


class Reject(RoleMessage, tag="refuse", frozen=True, kw_only=True):
    """Acceptor to candidate or leader: the ballot is rejected. `round_id` is 0 in answer to a Prepare."""

    ballot: Ballot
    round_id: Number = field(name="round")
    reason: RejectReason = field(name="why")
    highest_ballot: Number = field(name="number")


class Release(RoleMessage, tag="release", frozen=True, kw_only=True):
    """The sender has no more use for its ballot, or for the lease granted to it.

    With `was_leader` it goes to all nodes: a leader resigned, or a node that leaves released its ballot; if
    the lease expired, to the acceptors alone. Without, to the acceptors: a candidate abandoned its ballot.
    """

    ballot: Ballot
    was_leader: bool = field(name="held")


class RecoveryQuery(RoleMessage, tag="learn", frozen=True, kw_only=True):
    """Acceptor without state, after its silence, to the other acceptors: requests their state of the role."""

    queried_at_ms: Number = field(name="asked")


class RecoveryReply(RoleMessage, tag="told", frozen=True, kw_only=True):
    """Acceptor to an acceptor without state; `is_voting` is false if the sender has none either."""

    queried_at_ms: Number = field(name="asked")
    is_voting: bool = field(name="votes")
    record: Record
    record_epoch_ms: Number = field(name="era")
    settled_version: Number = field(name="settled")


Message = (
    StatusQuery
    | StatusReply
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Reject
    | Release
    | RecoveryQuery
    | RecoveryReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder: Any = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the message as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes, sender: str = "") -> Message:
    """Reads a message; `sender` is named in the error.

    Raises:
        MalformedMessageError: it is too long, or not a message of this version.
    """
    if len(data) > MESSAGE_LIMIT_BYTES:
        raise MalformedMessageError(f"a message of {len(data)} bytes", sender)
    try:
        message: Message = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(str(error)[:CAUSE_LIMIT_CHARACTERS], sender) from error
    return message
