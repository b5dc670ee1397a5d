"""What only real sockets show: stand-ins of our own on loopback, one short story for each failure met."""

import asyncio
import unittest

from onyxpost.edge import messages as m
from onyxpost.edge.peers import Peers


class Neighbours(unittest.IsolatedAsyncioTestCase):
    async def test_two_nodes_hear_each_other_and_no_stranger(self) -> None:
        nodes: list[Peers] = []
        heard: asyncio.Queue[m.Incoming] = asyncio.Queue()
        addresses: list[m.Address] = []
        for number in (0, 1, 2):  # the last is no peer of the first two
            peers = Peers(addresses, number, heard.put_nowait)
            await peers.listen(("127.0.0.1", 0))
            assert peers.transport is not None
            self.addCleanup(peers.close)
            nodes.append(peers)
            if number < 2:
                addresses.append(peers.transport.get_extra_info("sockname"))
        nodes[2].tell(m.Tell(1, b"stranger"))
        nodes[0].tell(m.Tell(1, "caf\u00e9".encode()))
        nodes[0].tell(m.Tell(1, b"x" * 257))
        nodes[0].tell(m.Tell(1, b"7 1:2:3"))
        self.assertEqual(await asyncio.wait_for(heard.get(), 5.0), m.PeerTold(0, "7 1:2:3"))
        self.assertTrue(heard.empty())
