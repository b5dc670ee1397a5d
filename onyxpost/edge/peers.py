"""Datagrams to and from the other edge nodes. I/O only."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from onyxpost.edge.messages import EdgeEvent, SendPeerMessage, decode_datagram

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import Transport


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives the messages of edge nodes. Later ones make up for a lost one."""

    def __init__(
        self, net: Transport, peers: list[Address], own_index: int, post: Callable[[EdgeEvent], None]
    ) -> None:
        """Creates a socket that is not open yet.

        Args:
            net: opens the socket.
            peers: addresses of all edge nodes, by index.
            own_index: this node's index.
            post: receives the decoded messages.
        """
        self._net = net
        self._peers = peers
        self._post = post
        self._indexes = {address: index for index, address in enumerate(peers) if index != own_index}
        self.transport: asyncio.DatagramTransport | None = None

    async def listen(self, address: Address) -> None:
        """Opens the socket."""
        await self._net.open_datagram_endpoint(self, address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the open socket."""
        # asyncio's own class for datagrams is no subclass of DatagramTransport.
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        """Posts a message of another node; anything else is ignored."""
        message = decode_datagram(data, self._indexes.get(source))
        if message is not None:
            self._post(message)

    def error_received(self, exc: Exception) -> None:
        """Ignores that a peer is down: later messages carry the counts again."""

    def send(self, message: SendPeerMessage) -> None:
        """Sends a message; dropped while the socket is closed."""
        if self.transport is not None and 0 <= message.peer < len(self._peers):
            self.transport.sendto(message.datagram, self._peers[message.peer])

    def close(self) -> None:
        """Closes the socket; what a round that is already scheduled still sends is dropped."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None
