"""Reads one message as a connection would."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def read_frame(read: Callable[[asyncio.StreamReader], Awaitable[Any]], data: bytes) -> Any:
    """What the program reads from a connection on which `data` comes before it ends."""

    async def run() -> Any:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        return await read(reader)

    return asyncio.run(run())
