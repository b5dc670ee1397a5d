"""`unread_ms` measures how long bytes waited in a socket, and never returns more than the real wait."""

from __future__ import annotations

import asyncio
import time

import pytest

from onyxpost.simulation.free_ports import LOOPBACK
from onyxpost.simulation.multiprocess.socket_arrival import MAX_KERNEL_TICK_MS, unread_ms

pytestmark = pytest.mark.xdist_group("quiet")  # measures time

WAIT_SECONDS = 0.2
MS_PER_SECOND = 1000.0


async def connect() -> (
    tuple[asyncio.StreamWriter, asyncio.StreamReader, asyncio.StreamWriter, asyncio.Server]
):
    """Returns a sender, and the reader, writer and listener of the other end of its connection."""
    accepted: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
    listener = await asyncio.start_server(
        lambda reader, writer: accepted.put_nowait((reader, writer)), LOOPBACK, 0
    )
    _, sender = await asyncio.open_connection(*listener.sockets[0].getsockname())
    reader, writer = await accepted.get()
    return sender, reader, writer, listener


def test_wait_of_bytes_is_measured_while_the_event_loop_is_blocked() -> None:
    async def measure() -> tuple[float, float]:
        sender, reader, writer, listener = await connect()
        sent_at = time.monotonic()
        sender.write(b"early")
        time.sleep(WAIT_SECONDS)  # noqa: ASYNC251 - the test needs a blocked event loop
        await reader.read(100)
        waited_ms = unread_ms(writer)
        elapsed_ms = (time.monotonic() - sent_at) * MS_PER_SECOND
        sender.close()
        writer.close()
        listener.close()
        return waited_ms, elapsed_ms

    waited_ms, elapsed_ms = asyncio.run(measure())
    assert WAIT_SECONDS * MS_PER_SECOND - 2 * MAX_KERNEL_TICK_MS <= waited_ms <= elapsed_ms


def test_bytes_that_were_sent_late_have_not_waited() -> None:
    async def measure() -> tuple[float, float]:
        sender, reader, writer, listener = await connect()
        sender.write(b"early")
        time.sleep(WAIT_SECONDS)  # noqa: ASYNC251 - the test needs a blocked event loop
        sent_at = time.monotonic()
        sender.write(b"late")
        await reader.readexactly(len(b"earlylate"))
        waited_ms = unread_ms(writer)
        elapsed_ms = (time.monotonic() - sent_at) * MS_PER_SECOND
        sender.close()
        writer.close()
        listener.close()
        return waited_ms, elapsed_ms

    waited_ms, elapsed_ms = asyncio.run(measure())
    assert waited_ms <= elapsed_ms


def test_wait_on_a_closed_connection_is_not_known() -> None:
    async def measure() -> float:
        sender, _, writer, listener = await connect()
        sender.close()
        writer.close()
        await writer.wait_closed()
        listener.close()
        return unread_ms(writer)

    assert asyncio.run(measure()) == 0.0
