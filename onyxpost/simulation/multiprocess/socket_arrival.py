"""Measures how long received bytes waited in a socket until they were read, by the kernel's count (Linux).

One process runs all fault proxies, stubs and clients. When its event loop is late, it reads bytes of two
sockets long after they arrived and in any order. The time of a read then says little about the time of
sending.
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# The beginning of `struct tcp_info` (linux/tcp.h): 8 bytes, then 32-bit fields in the order of the header.
TCP_INFO_FORMAT = struct.Struct("=8x12I")
LAST_DATA_RECEIVED_INDEX = 11  # tcpi_last_data_recv: ms since the last segment with data
# The kernel counts in timer ticks of up to 10 ms. The wait is reduced by one tick, so that no event is
# recorded earlier than it happened.
MAX_KERNEL_TICK_MS = 10.0


def unread_ms(writer: asyncio.StreamWriter) -> float:
    """Returns a lower bound of how long the last bytes received on a connection have waited.

    Call it as soon as the bytes are read. Bytes that arrive later make the result smaller, never larger.

    Args:
        writer: the writer of the connection on which the bytes were received.

    Returns:
        milliseconds; 0 if the wait is unknown, for example if the socket is closed.
    """
    sock = writer.get_extra_info("socket")
    if sock is None or not hasattr(socket, "TCP_INFO"):
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_FORMAT.size)
    except OSError:
        return 0.0
    if len(info) < TCP_INFO_FORMAT.size:
        return 0.0
    since_last_data_ms: int = TCP_INFO_FORMAT.unpack(info)[LAST_DATA_RECEIVED_INDEX]
    return max(0.0, since_last_data_ms - MAX_KERNEL_TICK_MS)
