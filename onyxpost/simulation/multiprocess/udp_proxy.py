"""A proxy for datagrams from one endpoint to another, by the faults of their link. I/O."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, cast

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.simulation.multiprocess.fault_proxy import FaultProxy

REORDERING_DELAY_MS = 30.0  # of a datagram that later ones overtake
MS_PER_SECOND = 1000.0


class DatagramProxy(asyncio.DatagramProtocol):
    """Receives what the source sends; the proxy of the other direction sends it to the destination."""

    def __init__(self, proxy: FaultProxy, source: str, destination: str) -> None:
        self.proxy = proxy
        self.source = source
        self.destination = destination
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:  # noqa: ARG002 - as in the base class
        """Drops, holds, delays, duplicates or forwards a datagram.

        Random numbers are drawn in this order, each only where those before it leave the question open.
        """
        link = self.proxy.link(self.source, self.destination)
        rng = self.proxy.rng
        behavior = link.behavior
        if behavior.cut or rng.random() < behavior.loss:
            return
        if behavior.stall:
            link.hold_datagram(partial(self._forward, data))
            return
        delay_ms = behavior.delay_ms
        if rng.random() < behavior.reordering:
            delay_ms += REORDERING_DELAY_MS
        copies = 2 if rng.random() < behavior.duplication else 1
        for _ in range(copies):
            self._forward_after(delay_ms, data)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens at the destination: the datagram is lost."""

    def _forward_after(self, delay_ms: float, data: bytes) -> None:
        if delay_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / MS_PER_SECOND, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        other_direction = self.proxy.datagram_proxies.get((self.destination, self.source))
        address = self.proxy.address_of(f"{self.destination}/udp")
        if other_direction is None or address is None or other_direction.transport.is_closing():
            return
        other_direction.transport.sendto(data, address)
