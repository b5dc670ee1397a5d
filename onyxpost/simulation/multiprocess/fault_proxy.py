"""Proxies between every pair of endpoints that communicate; each direction has faults of its own. I/O."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from onyxpost.simulation.free_ports import ANY_PORT, LOOPBACK
from onyxpost.simulation.multiprocess.link import Link
from onyxpost.simulation.multiprocess.tcp_proxy import ByteObserver, ProxiedConnection
from onyxpost.simulation.multiprocess.udp_proxy import DatagramProxy

if TYPE_CHECKING:
    from random import Random

    from onyxpost.config.address import Address

LISTEN_BACKLOG = 512

# Returns the address at which an endpoint listens at the time, None if it has none.
AddressLookup = Callable[[str], "Address | None"]


class FaultProxy:
    """All links of a run, and the proxies that carry them out.

    Args:
        address_of: finds the real address of an endpoint, as of `n1`, `n1/udp` or `s0.1`.
        observe: is called with all bytes of TCP.
        rng: decides which datagrams are lost, duplicated and reordered.
    """

    def __init__(self, address_of: AddressLookup, observe: ByteObserver, rng: Random) -> None:
        self.address_of = address_of
        self.observe = observe
        self.rng = rng
        self.links: dict[tuple[str, str], Link] = {}
        self.connections: dict[tuple[str, str], set[ProxiedConnection]] = {}
        self.datagram_proxies: dict[tuple[str, str], DatagramProxy] = {}
        self._listeners: list[asyncio.Server] = []

    def link(self, source: str, destination: str) -> Link:
        """Returns the link from one endpoint to another."""
        return self.links.setdefault((source, destination), Link(source, destination))

    async def open_tcp(self, source: str, destination: str) -> Address:
        """Listens for connections of `source` to `destination`; returns the address for `source` to use."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await ProxiedConnection(self, source, destination, reader, writer).run()

        listener = await asyncio.start_server(serve, LOOPBACK, 0, backlog=LISTEN_BACKLOG)
        self._listeners.append(listener)
        return cast("Address", listener.sockets[0].getsockname())

    async def open_udp(self, source: str, destination: str) -> Address:
        """Listens for datagrams of `source` to `destination`; returns the address for `source` to use.

        The destination receives them from the proxy of the other direction, which must be open too.
        """
        loop = asyncio.get_running_loop()
        _, proxy = await loop.create_datagram_endpoint(
            lambda: DatagramProxy(self, source, destination), local_addr=ANY_PORT
        )
        self.datagram_proxies[source, destination] = proxy
        return cast("Address", proxy.transport.get_extra_info("sockname"))

    def reset(self, one: str, other: str, incarnation: str = "") -> int:
        """Ends all connections between two endpoints with RST, as a router that lost its state.

        Args:
            one: an endpoint.
            other: another one.
            incarnation: the only one whose connections are ended, as `s0.1`; empty: all.

        Returns:
            the number of connections.
        """
        connections = [*self.connections.get((one, other), ()), *self.connections.get((other, one), ())]
        affected = [connection for connection in connections if incarnation in ("", connection.destination)]
        for connection in affected:
            connection.reset()
        return len(affected)

    def reset_all(self, endpoint: str, incarnation: str = "") -> None:
        """Ends all connections of an endpoint, or of one of its incarnations, with RST."""
        for ends in list(self.connections):
            if endpoint in ends:
                self.reset(*ends, incarnation)

    def heal(self) -> None:
        """Ends the faults of all links."""
        for link in self.links.values():
            link.end_all_faults()

    async def close(self) -> None:
        """Closes all listeners and connections."""
        for listener in self._listeners:
            listener.close()
        for connections in list(self.connections.values()):
            for connection in list(connections):
                connection.reset()
        for proxy in self.datagram_proxies.values():
            proxy.transport.close()
        await asyncio.sleep(0)
