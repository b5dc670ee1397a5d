"""Messages between two members of a cluster: protocol version 1, documented in `docs/cluster.md`. Pure.

Messages are MessagePack arrays: the tag first, then the fields in the order given here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from onyxpost.cluster.errors import (
    MemberNameMismatchError,
    ProtocolVersionError,
    StaleIncarnationError,
    UnknownSenderError,
)
from onyxpost.cluster.frames import read_frame
from onyxpost.cluster.incarnation import Incarnation

if TYPE_CHECKING:
    import asyncio

    from onyxpost.cluster.membership import Membership

PROTOCOL_VERSION = 1
MAX_BODY_BYTES = 72 * 1024  # a record of 64 KiB and the message around it
MAX_TOPIC_CHARS = 32

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, lt=2**53)]


class Message(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Base of all messages between members."""


class Hello(Message, tag="hello"):
    """The first message of both sides; the dialer sends its own first."""

    protocol_version: Number
    sender: Name
    incarnation: Name  # the written form of an `Incarnation`
    receiver: Name  # the member that the sender means to be connected to
    dial_number: Number  # counts the sender's dials in one incarnation; the receiver returns it
    membership_version: Number


class Ping(Message, tag="ping"):
    """A heartbeat, to be answered by a pong with the same number."""

    number: Number


class Pong(Message, tag="pong"):
    """The answer to a ping."""

    number: Number


class Payload(Message, tag="word"):
    """A message of a component that uses the connection; opaque here."""

    topic: Annotated[str, Meta(min_length=1, max_length=MAX_TOPIC_CHARS)]
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]


PeerMessage = Hello | Ping | Pong | Payload

_decoder: Any = msgspec.msgpack.Decoder(PeerMessage)  # Any: the type of a union is no `type[PeerMessage]`


class ConnectionOrder(NamedTuple):
    """Orders the connections of one member: by its incarnation, then by the number of the dial."""

    incarnation: Incarnation
    dial_number: int


async def read_message(reader: asyncio.StreamReader) -> PeerMessage:
    """Reads the next message. Raises MalformedFrameError, OSError or EOFError."""
    message: PeerMessage = await read_frame(reader, _decoder)
    return message


def connection_order(hello: Hello) -> ConnectionOrder:
    """Returns the order of the connection that begins with `hello`. Raises MalformedFrameError."""
    return ConnectionOrder(Incarnation.parse(hello.incarnation), hello.dial_number)


def validate_hello(
    hello: Hello, own_name: str, membership: Membership, latest: ConnectionOrder | None
) -> None:
    """Checks whether a connection may begin with this hello.

    Args:
        hello: as received.
        own_name: the name of this node.
        membership: the current membership.
        latest: the order of the sender's latest accepted connection.

    Raises:
        ProtocolVersionError: the sender speaks another version.
        UnknownSenderError: the sender is not a member, or this node is not one any more.
        MemberNameMismatchError: the hello is addressed to another member.
        StaleIncarnationError: a later connection of the sender was accepted before.
        MalformedFrameError: the incarnation cannot be parsed.
    """
    if hello.protocol_version != PROTOCOL_VERSION:
        message = f"protocol {hello.protocol_version}, this is {PROTOCOL_VERSION}"
        raise ProtocolVersionError(message, hello.sender)
    if own_name not in membership.members:
        message = f"{own_name} is not in membership version {membership.version}: it has no peers"
        raise UnknownSenderError(message, hello.sender)
    if hello.sender not in membership.members or hello.sender == own_name:
        message = f"not in membership version {membership.version}; the sender has {hello.membership_version}"
        raise UnknownSenderError(message, hello.sender)
    if hello.receiver != own_name:
        raise MemberNameMismatchError(f"the hello is for {hello.receiver}, this is {own_name}", hello.sender)
    order = connection_order(hello)
    if latest is not None and order <= latest:
        message = (
            f"incarnation {order.incarnation} dial {order.dial_number},"
            f" seen {latest.incarnation} dial {latest.dial_number}"
        )
        raise StaleIncarnationError(message, hello.sender)
