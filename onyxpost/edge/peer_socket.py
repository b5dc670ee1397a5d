"""Sends datagrams to the other edge nodes and receives theirs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from onyxpost.edge.messages import EdgeEvent, SendPeerMessage, decode_datagram

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import Transport


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives messages of edge nodes.

    A lost message is compensated by later ones, except for the hard-limit tokens that it transfers.
    """

    def __init__(
        self, transport: Transport, peers: list[Address], own_index: int, post: Callable[[EdgeEvent], None]
    ) -> None:
        """Creates the object without opening its socket.

        Args:
            transport: opens the socket.
            peers: the addresses of all edge nodes, by index.
            own_index: this node's index.
            post: receives the decoded messages.
        """
        self._transport = transport
        self._peers = peers
        self._post = post
        self._peer_indexes = {address: index for index, address in enumerate(peers) if index != own_index}
        self.datagram_transport: asyncio.DatagramTransport | None = None

    async def listen(self, address: Address) -> None:
        """Opens the socket on `address`."""
        await self._transport.open_datagram_endpoint(self, address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the open socket."""
        # asyncio's datagram transport is not a subclass of `DatagramTransport`.
        self.datagram_transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        """Posts a valid message from another node; other datagrams are ignored."""
        message = decode_datagram(data, self._peer_indexes.get(source))
        if message is not None:
            self._post(message)

    def error_received(self, exc: Exception) -> None:
        """Ignores the error of an unreachable peer.

        Later messages contain the counts again, but not the hard-limit tokens that a lost one transfers.
        """

    def send(self, message: SendPeerMessage) -> None:
        """Sends a message; the message is dropped if the socket is closed or the peer is unknown."""
        if self.datagram_transport is not None and 0 <= message.peer < len(self._peers):
            self.datagram_transport.sendto(message.datagram, self._peers[message.peer])

    def close(self) -> None:
        """Closes the socket; messages of a round that is already scheduled are dropped."""
        if self.datagram_transport is not None:
            self.datagram_transport.close()
            self.datagram_transport = None
