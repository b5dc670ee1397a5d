"""A peer on a local socket that sends a frame and then reads slowly."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 65536


def limit_receive_buffer(sock: socket.socket) -> None:
    """Limits the bytes that the socket receives before it is read; the others stay with the sender."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)


async def send_and_read_to_end(sock: socket.socket, frame: bytes) -> asyncio.StreamReader:
    """Sends a frame, then reads until the other side ends the connection; returns the received bytes."""
    loop = asyncio.get_running_loop()
    received = asyncio.StreamReader(limit=1 << 20)
    with contextlib.suppress(ConnectionResetError, BrokenPipeError):
        sock.sendall(frame)
        while data := await loop.sock_recv(sock, READ_BYTES):
            received.feed_data(data)
    received.feed_eof()
    return received


async def count_messages(
    reader: asyncio.StreamReader, read: Callable[[asyncio.StreamReader], Awaitable[object]], kind: type
) -> int:
    """The number of complete messages of one type in the received bytes."""
    count = 0
    with contextlib.suppress(EOFError):
        while True:
            count += isinstance(await read(reader), kind)
    return count
