"""The first messages of a connection between two members."""

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
        self.latest: dict[str, ConnectionOrder] = {}  # the latest accepted connection of each member

    def update_membership(self, membership: Membership) -> None:
        """Validates later hellos against another membership."""
        self.membership = membership

    def send_hello(self, writer: asyncio.StreamWriter, receiver: str, dial_number: int) -> None:
        """Sends this node's hello."""
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
            ClusterError: the connection may not begin.
            TimeoutError: no hello was received in time.
            OSError, EOFError: the connection ended.
        """
        async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
            message = await read_message(reader)
            if not isinstance(message, Hello):
                raise MalformedFrameError("no hello")
            validate_hello(message, self.own_name, self.membership, self.latest.get(message.sender))
            return message

    def accept(self, hello: Hello) -> None:
        """Records an accepted connection: from now on only later ones of its sender are accepted."""
        self.latest[hello.sender] = connection_order(hello)

    def forget(self, member: str) -> None:
        """Forgets the connections of a member that was removed."""
        self.latest.pop(member, None)
