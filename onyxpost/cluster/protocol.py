"""Messages between two members of a cluster, protocol version 1 (`docs/cluster.md`).

A message is a MessagePack array of the tag and the fields, in the order in which they are declared here.
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
MAX_BODY_BYTES = 72 * 1024  # has room for a record of 64 KiB and the message that contains it
MAX_TOPIC_CHARS = 32

Name = Annotated[str, Meta(min_length=1, max_length=64)]
NonNegativeInt = Annotated[int, Meta(ge=0, lt=2**53)]


class Message(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Base class of all messages between members."""


class Hello(Message, tag="hello"):
    """The first message of each side of a connection; the dialer sends its hello first."""

    protocol_version: NonNegativeInt
    sender: Name
    incarnation: Name  # the text form of an `Incarnation`
    receiver: Name  # the member to which the sender intends to connect
    dial_number: NonNegativeInt  # the count of the dialer's dials in its incarnation; the reply repeats it
    membership_version: NonNegativeInt


class Ping(Message, tag="ping"):
    """A heartbeat, which the receiver answers by a pong with the same number."""

    number: NonNegativeInt


class Pong(Message, tag="pong"):
    """The answer to a ping."""

    number: NonNegativeInt


class Payload(Message, tag="word"):
    """A message of a component of the sending node; only the component of `topic` decodes the body."""

    topic: Annotated[str, Meta(min_length=1, max_length=MAX_TOPIC_CHARS)]
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]


PeerMessage = Hello | Ping | Pong | Payload

_decoder: Any = msgspec.msgpack.Decoder(PeerMessage)  # Any, as mypy does not accept a union here


class ConnectionOrder(NamedTuple):
    """The order of one member's connections: by incarnation, then by the number of the dial."""

    incarnation: Incarnation
    dial_number: int


async def read_message(reader: asyncio.StreamReader) -> PeerMessage:
    """Reads the next message. Raises MalformedFrameError, OSError or EOFError."""
    message: PeerMessage = await read_frame(reader, _decoder)
    return message


def connection_order(hello: Hello) -> ConnectionOrder:
    """Returns the order of the connection that starts with `hello`.

    Raises MalformedFrameError if its incarnation cannot be parsed.
    """
    return ConnectionOrder(Incarnation.parse(hello.incarnation), hello.dial_number)


def validate_hello(
    hello: Hello, own_name: str, membership: Membership, latest: ConnectionOrder | None
) -> None:
    """Checks whether the sender of this hello may connect to this node, by the membership in force.

    `latest` is the order of the sender's last accepted connection, or None if there was none.

    Raises:
        ProtocolVersionError: the sender uses another version of the protocol.
        UnknownSenderError: the sender is not a member or uses this node's name, or this node is no longer a
            member.
        MemberNameMismatchError: the hello is addressed to another member.
        StaleIncarnationError: this connection or a later one of the sender was accepted before.
        MalformedFrameError: the incarnation cannot be parsed.
    """
    if hello.protocol_version != PROTOCOL_VERSION:
        message = f"protocol version {hello.protocol_version}, expected {PROTOCOL_VERSION}"
        raise ProtocolVersionError(message, hello.sender)
    if own_name not in membership.members:
        message = (
            f"{own_name} is not a member in membership version {membership.version} and accepts no peers"
        )
        raise UnknownSenderError(message, hello.sender)
    if hello.sender not in membership.members or hello.sender == own_name:
        message = (
            f"not the name of another member in version {membership.version};"
            f" the sender has version {hello.membership_version}"
        )
        raise UnknownSenderError(message, hello.sender)
    if hello.receiver != own_name:
        raise MemberNameMismatchError(
            f"hello addressed to {hello.receiver}, expected {own_name}", hello.sender
        )
    order = connection_order(hello)
    if latest is not None and order <= latest:
        message = (
            f"incarnation {order.incarnation} dial {order.dial_number} is not later than the accepted"
            f" incarnation {latest.incarnation} dial {latest.dial_number}"
        )
        raise StaleIncarnationError(message, hello.sender)
