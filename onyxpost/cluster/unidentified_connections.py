"""A limit on accepted connections whose peer has not identified itself yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator


# How many connections a listener of peers or forwarders accepts in one turn (iteration) of the event loop.
MAX_ACCEPTS_PER_TURN = 128


class UnidentifiedConnections:
    """The accepted connections without a hello; above a limit the oldest one is aborted."""

    def __init__(self) -> None:
        self._writers: dict[asyncio.StreamWriter, None] = {}  # ordered by age, the oldest first

    def __len__(self) -> int:
        return len(self._writers)

    def __iter__(self) -> Iterator[asyncio.StreamWriter]:
        return iter(self._writers)

    def add(self, writer: asyncio.StreamWriter, limit: int) -> None:
        """Adds an accepted connection, and aborts the oldest if there are more than `limit`."""
        self._writers[writer] = None
        if len(self._writers) > limit:
            oldest = next(iter(self._writers))
            self.discard(oldest)  # now, as its task may end only after more connections are accepted
            oldest.transport.abort()

    def discard(self, writer: asyncio.StreamWriter) -> None:
        """Removes a connection whose peer was identified, or that has ended."""
        self._writers.pop(writer, None)

    def abort_all(self) -> None:
        """Aborts all connections; each one is removed when its task ends."""
        for writer in list(self._writers):
            writer.transport.abort()
