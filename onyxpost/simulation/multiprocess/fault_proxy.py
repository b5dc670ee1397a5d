"""Proxies between each pair of endpoints that communicate; each direction has its own faults. I/O."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from onyxpost.simulation.multiprocess.link import LinkTable
from onyxpost.simulation.multiprocess.tcp_proxy import TcpProxy
from onyxpost.simulation.multiprocess.udp_proxy import UdpProxy

if TYPE_CHECKING:
    from random import Random

    from onyxpost.simulation.multiprocess.endpoints import AddressLookup
    from onyxpost.simulation.multiprocess.tcp_proxy import ByteObserver


class FaultProxy:
    """The links of a run, and the TCP and UDP proxies that apply the faults of the links.

    Args:
        address_of: returns the real address of a name such as `n1/fleet`, `n1/udp` or `s0.1`.
        observe: is called with all bytes received and forwarded over TCP.
        rng: random source for the loss, duplication and reordering of datagrams.
    """

    def __init__(self, address_of: AddressLookup, observe: ByteObserver, rng: Random) -> None:
        self.links = LinkTable()
        self.tcp = TcpProxy(self.links, address_of, observe)
        self.udp = UdpProxy(self.links, address_of, rng)

    async def close(self) -> None:
        """Closes all sockets."""
        self.tcp.close()
        self.udp.close()
        await asyncio.sleep(0)  # transports close in the next turn of the event loop
