"""A bound on accepted connections whose peer has not identified itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator


# Connections that a listener accepts in one turn of the event loop.
MAX_ACCEPTS_PER_TURN = 128


class UnidentifiedConnections:
    """Accepted connections without a hello; above a limit the oldest is aborted."""

    def __init__(self) -> None:
        self._writers: dict[asyncio.StreamWriter, None] = {}  # oldest first

    def __len__(self) -> int:
        return len(self._writers)

    def __iter__(self) -> Iterator[asyncio.StreamWriter]:
        return iter(self._writers)

    def add(self, writer: asyncio.StreamWriter, limit: int) -> None:
        """Adds an accepted connection; with more than `limit` the oldest is aborted."""
        self._writers[writer] = None
        if len(self._writers) > limit:
            oldest = next(iter(self._writers))
            self.discard(oldest)  # at once: its task may end only after more connections were accepted
            oldest.transport.abort()

    def discard(self, writer: asyncio.StreamWriter) -> None:
        """Removes a connection that was identified or has ended."""
        self._writers.pop(writer, None)

    def abort_all(self) -> None:
        """Aborts all connections; each is removed when its task ends."""
        for writer in list(self._writers):
            writer.transport.abort()
