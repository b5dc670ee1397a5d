"""Access to the transport of a stream, on sockets and on the virtual network."""

from __future__ import annotations

import asyncio


def pause_reading(writer: asyncio.StreamWriter) -> None:
    """Leaves what the peer sends unread, as if this end were held up."""
    _duplex_transport(writer).pause_reading()


def resume_reading(writer: asyncio.StreamWriter) -> None:
    """Reads again what the peer sends."""
    _duplex_transport(writer).resume_reading()


def _duplex_transport(writer: asyncio.StreamWriter) -> asyncio.Transport:
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    return transport
