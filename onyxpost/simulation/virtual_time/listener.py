"""A listener in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import asyncio

    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import ConnectionHandler


class ListenerTable(Protocol):
    """Whoever keeps the listeners."""

    loop: asyncio.AbstractEventLoop

    def stop_listening(self, listener: VirtualListener) -> None:
        """Ends a listener, unless another one has its address by now."""


class VirtualListener:
    """A listener in memory, which is closed as an `asyncio.Server` is.

    Attributes:
        buffer_limit_bytes: The buffer limit of the streams that it accepts.
    """

    def __init__(
        self, table: ListenerTable, address: Address, serve: ConnectionHandler, buffer_limit_bytes: int
    ) -> None:
        self.table = table
        self.address = address
        self.serve = serve
        self.buffer_limit_bytes = buffer_limit_bytes

    @property
    def sockets(self) -> tuple[Any, ...]:
        """No sockets."""
        return ()

    def close(self) -> None:
        """Stops listening; accepted connections stay open."""
        self.table.stop_listening(self)
