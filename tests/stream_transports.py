"""Pauses and resumes reading on a stream's transport, both with sockets and with the virtual network."""

from __future__ import annotations

import asyncio


def pause_reading(writer: asyncio.StreamWriter) -> None:
    """Stops reading from the peer, as a stalled process would."""
    _duplex_transport(writer).pause_reading()


def resume_reading(writer: asyncio.StreamWriter) -> None:
    """Resumes reading from the peer."""
    _duplex_transport(writer).resume_reading()


def _duplex_transport(writer: asyncio.StreamWriter) -> asyncio.Transport:
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    return transport
