"""Protocol between planners and forwarders, version 1; docs/planners.md describes it.

Each message is one frame of `onyxpost.cluster.frames`, of at most 64 KiB. A message that is malformed, of an
unknown type or too long ends its connection and affects no other. Where a name on the wire differs from the
Python name, `name=` or `tag=` gives the name on the wire, which stays for compatibility.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from onyxpost.cluster import frames

if TYPE_CHECKING:
    import asyncio

PROTOCOL_VERSION = 1
FRAME_LIMIT_BYTES = 64 * 1024
MAX_REPORTED_LEASES = 1000  # per hello
MAX_RETRY_AFTER_MS = 60_000.0  # longest retry time, also sent if no retry can succeed, as for an unknown plan

Name = Annotated[str, Meta(min_length=1, max_length=64)]
NonNegativeInt = Annotated[int, Meta(ge=0, lt=2**53)]
Units = Annotated[int, Meta(ge=0, le=1_000_000)]


class Message(msgspec.Struct, forbid_unknown_fields=True, tag_field="say"):
    """Base of all messages; the field `say` on the wire has the type."""


class HeldLease(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A lease that a forwarder holds, from which a restarted planner recovers its ledger."""

    customer: NonNegativeInt
    plan: Name
    units: Units
    remaining_ms: Annotated[float, Meta(ge=0.0, le=600_000.0)]


class Hello(Message, tag="hello"):
    """First message of a forwarder on a connection."""

    protocol: NonNegativeInt
    forwarder: Name
    membership_version: NonNegativeInt = msgspec.field(name="follows")
    held_leases: Annotated[list[HeldLease], Meta(max_length=MAX_REPORTED_LEASES)] = msgspec.field(
        name="holds", default_factory=list
    )
    #: False if the forwarder holds more leases than `held_leases` may contain.
    is_complete: bool = msgspec.field(name="whole", default=True)


class Welcome(Message, tag="welcome"):
    """A planner's answer to a hello. `epoch` identifies its incarnation; lease ids are unique within it."""

    protocol: NonNegativeInt
    planner: Name
    epoch: Name
    membership_version: NonNegativeInt = msgspec.field(name="version")
    lease_duration_ms: Annotated[float, Meta(gt=0.0, le=600_000.0)] = msgspec.field(name="lasts")


class MembershipHeartbeat(Message, tag="follow"):
    """Tells a planner, every half second, which membership version the forwarder follows."""

    membership_version: NonNegativeInt = msgspec.field(name="version")


class LeaseRequest(Message, tag="ask"):
    """A forwarder's request for a lease of at most `units`, and of at least `min_units`."""

    request_id: NonNegativeInt = msgspec.field(name="number")
    customer: NonNegativeInt
    plan: Name
    units: Units
    min_units: Units = msgspec.field(name="least")
    membership_version: NonNegativeInt = msgspec.field(name="version")


class LeaseGrant(Message, tag="grant"):
    """Answer to a lease request: a lease of `units`, for the duration given in the welcome."""

    request_id: NonNegativeInt = msgspec.field(name="ask")
    lease_id: NonNegativeInt = msgspec.field(name="lease")
    customer: NonNegativeInt
    plan: Name
    units: Units
    epoch: Name


class LeaseRejection(Message, tag="refuse"):
    """Answer to a lease request: nothing is granted; the forwarder may retry after `retry_after_ms`."""

    request_id: NonNegativeInt = msgspec.field(name="ask")
    customer: NonNegativeInt
    retry_after_ms: Annotated[float, Meta(ge=0.0)] = msgspec.field(name="after")
    reason: Annotated[str, Meta(max_length=64)] = msgspec.field(name="why")


class LeaseRevocation(Message, tag="withdraw"):
    """A planner revokes a lease; the forwarder answers with a lease return."""

    lease_id: NonNegativeInt = msgspec.field(name="lease")
    epoch: Name


class UsageReport(Message, tag="used"):
    """Units of a lease that a forwarder has spent since its last usage report for this lease."""

    lease_id: NonNegativeInt = msgspec.field(name="lease")
    units: Units
    epoch: Name


class LeaseReturn(Message, tag="back"):
    """A forwarder ends a lease and returns its unused units."""

    lease_id: NonNegativeInt = msgspec.field(name="lease")
    unused_units: Units = msgspec.field(name="units")
    epoch: Name


class AddressedMessage(NamedTuple):
    """A message to send, and the name of the planner or forwarder that receives it."""

    recipient: str
    message: Message


ForwarderMessage = Hello | MembershipHeartbeat | LeaseRequest | UsageReport | LeaseReturn
PlannerMessage = Welcome | LeaseGrant | LeaseRejection | LeaseRevocation

_forwarder_message_decoder: Any = msgspec.msgpack.Decoder(ForwarderMessage)
_planner_message_decoder: Any = msgspec.msgpack.Decoder(PlannerMessage)


def encode_frame(message: Message) -> bytes:
    """Encodes a message as a frame.

    Raises:
        FrameTooLongError: the message exceeds `FRAME_LIMIT_BYTES`.
    """
    return frames.encode_frame(message, FRAME_LIMIT_BYTES)


async def read_forwarder_message(reader: asyncio.StreamReader) -> ForwarderMessage:
    """Reads the next message of a forwarder.

    Raises:
        MalformedFrameError: the frame or its message is invalid.
        OSError: the connection failed.
        EOFError: the connection ended.
    """
    return await frames.read_frame(reader, _forwarder_message_decoder, FRAME_LIMIT_BYTES)


async def read_planner_message(reader: asyncio.StreamReader) -> PlannerMessage:
    """Reads the next message of a planner.

    Raises:
        MalformedFrameError: the frame or its message is invalid.
        OSError: the connection failed.
        EOFError: the connection ended.
    """
    return await frames.read_frame(reader, _planner_message_decoder, FRAME_LIMIT_BYTES)
