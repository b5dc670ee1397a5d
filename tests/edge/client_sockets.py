"""Blocking client sockets, whose bytes the node cannot read before the test yields to the event loop."""

from __future__ import annotations

import asyncio
import socket
import struct

from tests.edge.event_loop import wait_until
from tests.edge.harness import (
    RunningNode,
    encode_request,
)

LINGER_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which `close` resets the connection


def connect_client(edge: RunningNode) -> socket.socket:
    """Connects a blocking client socket, with a timeout of 5 s."""
    client = socket.create_connection(edge.address[:2])
    client.settimeout(5.0)
    return client


async def read_to_end(client: socket.socket) -> bytes:
    """Returns all bytes that a client receives until the end of stream.

    Raises:
        ConnectionResetError: the connection was reset.
    """
    client.setblocking(False)
    text = b""
    async with asyncio.timeout(5.0):
        while data := await asyncio.get_running_loop().sock_recv(client, 65536):
            text += data
    client.settimeout(5.0)
    return text


def begin_shutdown(edge: RunningNode) -> None:
    """Starts the shutdown: idle clients are closed, and other clients with their answer."""
    edge.node.clients.closer.begin_shutdown()


async def connect_idle_client(edge: RunningNode) -> socket.socket:
    """Returns the only client of the node, which is idle after an answer."""
    edge.writer.close()  # the client connected by `RunningNode` is replaced
    client = connect_client(edge)
    client.sendall(encode_request(trace="a"))
    client.setblocking(False)
    text = b""
    while not text.endswith(b"hello"):
        text += await asyncio.get_running_loop().sock_recv(client, 65536)
    client.settimeout(5.0)
    await wait_until(lambda: len(edge.node.clients.connections.open) == 1)
    return client
