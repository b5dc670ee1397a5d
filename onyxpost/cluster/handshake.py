"""The handshake of a connection: each side sends a hello, and validates that of the other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxpost.cluster.errors import MalformedFrameError
from onyxpost.cluster.frames import encode_frame
from onyxpost.cluster.protocol import (
    PROTOCOL_VERSION,
    ConnectionOrder,
    Hello,
    connection_order,
    read_message,
    validate_hello,
)

if TYPE_CHECKING:
    from onyxpost.cluster.incarnation import Incarnation
    from onyxpost.cluster.membership import Membership

HELLO_TIMEOUT_SECONDS = 1.0


class Handshake:
    """Sends this node's hello and validates those of other members."""

    def __init__(self, own_name: str, incarnation: Incarnation, membership: Membership) -> None:
        self.own_name = own_name
        self.incarnation = incarnation
        self.membership = membership
        self.latest_accepted: dict[str, ConnectionOrder] = {}  # the last accepted connection of each member

    def update_membership(self, membership: Membership) -> None:
        """Sets the membership against which later hellos are validated."""
        self.membership = membership

    def send_hello(self, writer: asyncio.StreamWriter, receiver: str, dial_number: int) -> None:
        """Sends this node's hello; `dial_number` is the dialer's count of its dials."""
        hello = Hello(
            protocol_version=PROTOCOL_VERSION,
            sender=self.own_name,
            incarnation=str(self.incarnation),
            receiver=receiver,
            dial_number=dial_number,
            membership_version=self.membership.version,
        )
        writer.write(encode_frame(hello))

    async def receive_hello(self, reader: asyncio.StreamReader) -> Hello:
        """Reads and validates the peer's hello.

        Raises:
            ClusterError: the message is not a valid hello, or the peer must not connect to this node.
            TimeoutError: no hello was received within `HELLO_TIMEOUT_SECONDS`.
            OSError, EOFError: the connection ended.
        """
        async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
            message = await read_message(reader)
            if not isinstance(message, Hello):
                raise MalformedFrameError(f"handshake: expected a hello, got {type(message).__name__}")
            validate_hello(message, self.own_name, self.membership, self.latest_accepted.get(message.sender))
            return message

    def accept(self, hello: Hello) -> None:
        """Records an accepted connection, so that only later ones of its sender are accepted."""
        self.latest_accepted[hello.sender] = connection_order(hello)

    def forget(self, member: str) -> None:
        """Removes the record of a removed member, which may return with an earlier incarnation."""
        self.latest_accepted.pop(member, None)
