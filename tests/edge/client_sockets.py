"""Clients of a running node on plain sockets, whose bytes the node's event loop finds only when it runs."""

from __future__ import annotations

import asyncio
import socket
import struct

from tests.edge.event_loop import wait_until
from tests.edge.harness import (
    RunningNode,
    encode_request,
)

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset


def connect_client(edge: RunningNode) -> socket.socket:
    """Connects a client whose bytes and close the node's event loop finds only once it runs again."""
    client = socket.create_connection(edge.address[:2])
    client.settimeout(5.0)
    return client


async def read_to_end(client: socket.socket) -> bytes:
    """Returns all that a client receives up to its end; raises ConnectionResetError if that is a reset."""
    client.setblocking(False)
    text = b""
    async with asyncio.timeout(5.0):
        while data := await asyncio.get_running_loop().sock_recv(client, 65536):
            text += data
    client.settimeout(5.0)
    return text


def begin_shutdown(edge: RunningNode) -> None:
    """Closes idle clients, and each other one with its answer."""
    edge.program.clients.closer.begin_shutdown()


async def idle_client(edge: RunningNode) -> socket.socket:
    """Returns the node's one client, which has had an answer."""
    edge.writer.close()  # the one client is this one
    client = connect_client(edge)
    client.sendall(encode_request(trace="a"))
    client.setblocking(False)
    text = b""
    while not text.endswith(b"hello"):
        text += await asyncio.get_running_loop().sock_recv(client, 65536)
    client.settimeout(5.0)
    await wait_until(lambda: len(edge.program.clients.connections.open) == 1)
    return client
