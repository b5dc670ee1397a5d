"""A listener of the virtual network."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import asyncio

    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import ConnectionHandler


class ListenerTable(Protocol):
    """The part of the network's interface that a listener uses."""

    loop: asyncio.AbstractEventLoop

    def stop_listening(self, listener: VirtualListener) -> None:
        """Removes a listener, unless another one listens at its address by now."""


class VirtualListener:
    """A listener of the virtual network, with the interface of `asyncio.Server` that programs use.

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
        """An empty tuple, since there are no sockets."""
        return ()

    def stop_accepting(self) -> None:
        """Does nothing, since connections do not wait to be accepted."""

    def close(self) -> None:
        """Stops listening; accepted connections stay open."""
        self.table.stop_listening(self)
