"""Plays bad clients: `python -m tests.memory.bad_clients PORT SECONDS BEHAVIORS`."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
from time import monotonic
from typing import TYPE_CHECKING

import msgspec

from onyxpost.simulation.free_ports import LOOPBACK
from tests.memory.behaviors import Behavior, Content, encode

if TYPE_CHECKING:
    from onyxpost.config.address import Address

FIRST_CUSTOMER = 0x100000
ANSWER_BYTES = 65536
RETURN_PAUSE_SECONDS = 0.005
UNREAD_PAUSE_SECONDS = 0.02  # between two requests of a client that does not read
MANY_REQUESTS = (Content.SMALL_REQUESTS, Content.UNSOUND_REQUESTS)


class BadClients:
    """All bad clients of a run.

    Attributes:
        address: the node's address.
        until: time of the monotonic clock, in seconds, at which all of them leave.
    """

    def __init__(self, address: Address, until: float) -> None:
        self.address = address
        self.until = until
        self._numbers = itertools.count()

    async def play(self, behavior: Behavior) -> None:
        """Plays one client until the end."""
        while monotonic() < self.until:
            writer = None
            try:
                async with asyncio.timeout(self.until - monotonic()):
                    reader, writer = await asyncio.open_connection(*self.address)
                    if not behavior.reads:
                        reader._transport.pause_reading()  # type: ignore[attr-defined]
                    await self._use_connection(behavior, reader, writer)
            except (OSError, TimeoutError):
                pass
            finally:
                if writer is not None:
                    writer.transport.abort()
            if not behavior.returns:
                return
            await asyncio.sleep(RETURN_PAUSE_SECONDS)

    async def _use_connection(
        self, behavior: Behavior, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            number = next(self._numbers)
            data = encode(behavior, f"bad-{os.getpid()}-{number}", FIRST_CUSTOMER + number)
            await self._write(behavior, writer, data)
            if not behavior.reads:
                await asyncio.sleep(UNREAD_PAUSE_SECONDS)
                is_complete = behavior.sent_share == 1.0 or behavior.content in MANY_REQUESTS
                if behavior.content is Content.NOTHING or not is_complete:
                    await asyncio.sleep(self.until - monotonic())
                continue
            if not await reader.read(ANSWER_BYTES):
                return

    async def _write(self, behavior: Behavior, writer: asyncio.StreamWriter, data: bytes) -> None:
        for start in range(0, len(data), behavior.piece_bytes):
            writer.write(data[start : start + behavior.piece_bytes])
            await writer.drain()
            if behavior.pause_seconds:
                await asyncio.sleep(behavior.pause_seconds)


async def play_all(address: Address, seconds: float, behaviors: list[Behavior]) -> None:
    """Plays all clients for some seconds."""
    clients = BadClients(address, monotonic() + seconds)
    await asyncio.gather(*(clients.play(behavior) for behavior in behaviors for _ in range(behavior.clients)))


if __name__ == "__main__":
    drawn: list[Behavior] = msgspec.json.decode(sys.argv[3], type=list[Behavior])
    asyncio.run(play_all((LOOPBACK, int(sys.argv[1])), float(sys.argv[2]), drawn))
