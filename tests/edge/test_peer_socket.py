"""Datagrams between edge nodes on real sockets.

Invalid datagrams and those of unknown senders must not reach the state machine.
"""

import asyncio
import socket

from onyxpost.core.events import PeerMessageReceived
from onyxpost.edge.messages import EdgeEvent, SendPeerMessage
from onyxpost.edge.peer_socket import PeerSocket
from tests.edge.event_loop import in_event_loop
from tests.edge.harness import (
    transport_with_stopped_clock,
)


@in_event_loop
async def test_two_nodes_receive_each_others_datagrams_and_no_strangers() -> None:
    received: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    free_addresses = []
    for _ in range(2):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            free_addresses.append(probe.getsockname())
    # The address of the last node is not in the list of peers.
    nodes = [
        PeerSocket(transport_with_stopped_clock(), free_addresses, number, received.put_nowait)
        for number in (0, 1, 2)
    ]
    for peers, address in zip(nodes, [*free_addresses, ("127.0.0.1", 0)], strict=True):
        await peers.listen(address)
        assert peers.datagram_transport is not None
    nodes[2].send(SendPeerMessage(1, b"stranger"))
    nodes[0].send(SendPeerMessage(1, "caf\u00e9".encode()))
    nodes[0].send(SendPeerMessage(1, b"x" * 257))
    nodes[0].send(SendPeerMessage(1, b"7 1:2:3"))
    assert await asyncio.wait_for(received.get(), 5.0) == PeerMessageReceived(0, "7 1:2:3")
    assert received.empty()
    for peers in nodes:
        peers.close()
