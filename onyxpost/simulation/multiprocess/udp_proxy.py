"""Proxies for datagrams, which apply the faults of links. I/O."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, cast

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.free_ports import ANY_PORT

if TYPE_CHECKING:
    from random import Random

    from onyxpost.config.address import Address
    from onyxpost.simulation.multiprocess.endpoints import AddressLookup
    from onyxpost.simulation.multiprocess.link import Link, LinkTable

REORDERING_DELAY_MS = 30.0  # extra delay of a datagram, so that later ones overtake it


class UdpProxy:
    """Sockets between pairs of endpoints, one for each direction.

    Args:
        links: the links of the run, with their faults.
        address_of: returns the address of the destination; called for each datagram.
        rng: random source for the loss, duplication and reordering of datagrams.
    """

    def __init__(self, links: LinkTable, address_of: AddressLookup, rng: Random) -> None:
        self.links = links
        self.rng = rng
        self.directions: dict[tuple[str, str], DatagramProxy] = {}
        self._address_of = address_of

    async def open(self, source: str, destination: str) -> Address:
        """Listens for datagrams from `source` to `destination`; returns the address for `source`.

        The destination receives the datagrams from the socket of the other direction, which must be open too.
        """
        loop = asyncio.get_running_loop()
        _, direction = await loop.create_datagram_endpoint(
            lambda: DatagramProxy(self, source, destination), local_addr=ANY_PORT
        )
        self.directions[source, destination] = direction
        return cast("Address", direction.transport.get_extra_info("sockname"))

    def deliver(self, source: str, destination: str, data: bytes) -> None:
        """Sends a datagram to the destination, from the address at which it reaches the source."""
        other_direction = self.directions.get((destination, source))
        address = self._address_of(f"{destination}/udp")
        if other_direction is None or address is None or other_direction.transport.is_closing():
            return
        other_direction.transport.sendto(data, address)

    def close(self) -> None:
        """Closes all sockets."""
        for direction in self.directions.values():
            direction.transport.close()


class DatagramProxy(asyncio.DatagramProtocol):
    """The socket of one direction: receives datagrams from the source, and applies the faults of the link."""

    def __init__(self, proxy: UdpProxy, source: str, destination: str) -> None:
        self.proxy = proxy
        self.link: Link = proxy.links.link(source, destination)
        self.transport: asyncio.DatagramTransport
        self._forward = partial(proxy.deliver, source, destination)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the open socket."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:  # noqa: ARG002 - as in the base class
        """Drops, holds, delays, duplicates or forwards a datagram.

        Random numbers for loss, reordering and duplication are drawn in this order, only as far as needed.
        """
        rng = self.proxy.rng
        behavior = self.link.behavior
        if behavior.cut or rng.random() < behavior.loss:
            return
        if behavior.stall:
            self.link.hold_datagram(partial(self._forward, data))
            return
        delay_ms = behavior.delay_ms
        if rng.random() < behavior.reordering:
            delay_ms += REORDERING_DELAY_MS
        copies = 2 if rng.random() < behavior.duplication else 1
        for _ in range(copies):
            self._forward_after(delay_ms, data)

    def error_received(self, exc: Exception) -> None:
        """Ignores the error: the datagram is lost, because no process listens at the destination."""

    def _forward_after(self, delay_ms: float, data: bytes) -> None:
        if delay_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / MS_PER_SECOND, self._forward, data)
        else:
            self._forward(data)
