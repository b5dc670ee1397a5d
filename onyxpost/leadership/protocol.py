"""Messages of leader election between nodes, protocol version 1 (docs/leadership.md), and their encoding.

`tag` and `field(name=...)` give the names on the wire. They differ from the names of classes and attributes,
and must not change, as nodes of other releases use them.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, field

from onyxpost.leadership.ballots import Ballot, Name, NonNegativeInt
from onyxpost.leadership.errors import MalformedMessageError
from onyxpost.leadership.role_lease_timing import MAX_RECORD_BYTES

TOPIC = "duties"
MAX_MESSAGE_BYTES = MAX_RECORD_BYTES + 1024  # the largest record and its envelope
MAX_CAUSE_CHARS = 200  # longest text of a decoder that an error message contains

Body = Annotated[bytes, Meta(max_length=MAX_RECORD_BYTES)]
Milliseconds = Annotated[float, Meta(ge=0.0, le=600_000.0)]


class RejectReason(Enum):
    """Why an acceptor rejects a ballot; the values are those on the wire."""

    HIGHER_PROMISE = "promised"
    LEASE_ACTIVE = "busy"
    RECORD_MISSING = "lacks"
    NOT_VOTING = "silent"
    CLOCK_AHEAD = "ahead"
    OTHER_VERSION = "version"
    LEASE_TOO_LONG = "lease"


class Record(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A small value that the leader of a role writes and its next leader reads.

    `ballot_number` is of the ballot under which the record was last accepted. `sequence` counts the writes of
    all leaders of the role. `fencing_token` is of the leader that wrote the record.
    """

    ballot_number: NonNegativeInt = 0
    sequence: NonNegativeInt = 0
    fencing_token: NonNegativeInt = 0
    body: Body = b""

    def recency_key(self) -> tuple[int, int]:
        """Returns a key that is greater for a newer record."""
        return self.ballot_number, self.sequence


EMPTY_RECORD = Record()


class RoleMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="say", kw_only=True):
    """Base class of all messages; `version` is that of the sender's acceptor set."""

    role: Name = field(name="duty")
    version: NonNegativeInt


class StatusQuery(RoleMessage, tag="look", frozen=True, kw_only=True):
    """Candidate to acceptor: asks whether the role is free. The acceptor's state does not change."""

    queried_at_ms: NonNegativeInt = field(name="asked")


class StatusReply(RoleMessage, tag="seen", frozen=True, kw_only=True):
    """Acceptor to candidate: answers a StatusQuery and repeats its `queried_at_ms`.

    `remaining_ms` is the remaining time of a lease, or the time for which the role counts as taken after a
    promise; 0 if the role is free. `is_voting` is false if the acceptor has restarted and must not vote yet.
    """

    queried_at_ms: NonNegativeInt = field(name="asked")
    is_voting: bool = field(name="votes")
    remaining_ms: Milliseconds = field(name="left")
    leader: Annotated[str, Meta(max_length=64)] = field(name="holder")
    highest_ballot: NonNegativeInt = field(name="number")


class Prepare(RoleMessage, tag="prepare", frozen=True, kw_only=True):
    """Candidate to acceptor: asks to promise this ballot (Paxos phase 1a)."""

    ballot: Ballot


class Promise(RoleMessage, tag="promise", frozen=True, kw_only=True):
    """Acceptor to candidate: promises the ballot, and reports the record it accepted last (phase 1b).

    `record_epoch_ms` is the Unix time at which acceptors last resumed voting after a majority had lost its
    state; 0 if that never happened. Records written before that time may be missing.
    """

    ballot: Ballot
    record: Record
    record_epoch_ms: NonNegativeInt = field(name="era")


class Accept(RoleMessage, tag="accept", frozen=True, kw_only=True):
    """Candidate or leader to acceptor: asks to accept the record and to grant or renew the lease (phase 2a).

    `committed_set_version` is the version of the acceptor set of which a majority is known to have accepted
    the record; 0 if none is known. `record` is None if the acceptor is known to have it.
    """

    ballot: Ballot
    round_id: NonNegativeInt = field(name="round")
    lease_ms: Milliseconds = field(name="lasts")
    sequence: NonNegativeInt = field(name="seq")
    committed_set_version: NonNegativeInt = field(name="settled")
    record_epoch_ms: NonNegativeInt = field(name="era")
    record: Record | None = None


class Accepted(RoleMessage, tag="accepted", frozen=True, kw_only=True):
    """Acceptor to candidate or leader: confirms an Accept and repeats its `sequence` (phase 2b)."""

    ballot: Ballot
    round_id: NonNegativeInt = field(name="round")
    sequence: NonNegativeInt = field(name="seq")


class Reject(RoleMessage, tag="refuse", frozen=True, kw_only=True):
    """Acceptor to candidate or leader: rejects the ballot. `round_id` is 0 in reply to a Prepare.

    `highest_ballot` is the highest ballot number that the acceptor has promised.
    """

    ballot: Ballot
    round_id: NonNegativeInt = field(name="round")
    reason: RejectReason = field(name="why")
    highest_ballot: NonNegativeInt = field(name="number")


class Release(RoleMessage, tag="release", frozen=True, kw_only=True):
    """Gives up the sender's ballot and the lease granted to it.

    A candidate that abandons its ballot sends it to the acceptors, with `is_resignation` false. Otherwise
    `is_resignation` is true: a leader that resigns and a candidate whose node is leaving send it to all
    nodes, a leader whose lease has expired to the acceptors only.
    """

    ballot: Ballot
    is_resignation: bool = field(name="held")


class RecoveryQuery(RoleMessage, tag="learn", frozen=True, kw_only=True):
    """Acceptor without state, after its restart wait, to the others: asks for their state of the role."""

    queried_at_ms: NonNegativeInt = field(name="asked")


class RecoveryReply(RoleMessage, tag="told", frozen=True, kw_only=True):
    """Acceptor to acceptor: answers a RecoveryQuery; `is_voting` is false if the sender lacks its state."""

    queried_at_ms: NonNegativeInt = field(name="asked")
    is_voting: bool = field(name="votes")
    record: Record
    record_epoch_ms: NonNegativeInt = field(name="era")
    committed_set_version: NonNegativeInt = field(name="settled")


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
    """Returns the message encoded as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes, sender: str = "") -> Message:
    """Decodes a message; `sender` is named in errors.

    Raises:
        MalformedMessageError: the data is too long, or is not a message of this protocol version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(f"message of {len(data)} bytes, limit {MAX_MESSAGE_BYTES}", sender)
    try:
        message: Message = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(str(error)[:MAX_CAUSE_CHARS], sender) from error
    return message
