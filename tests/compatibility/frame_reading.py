"""Decodes one framed message from a byte stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def read_frame(read: Callable[[asyncio.StreamReader], Awaitable[Any]], data: bytes) -> Any:
    """Returns the message that `read` decodes from a connection that delivers `data` and then ends."""

    async def run() -> Any:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        return await read(reader)

    return asyncio.run(run())
