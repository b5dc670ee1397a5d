"""Adds all events on virtual networks to a digest."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

from onyxpost.simulation.virtual_time import (
    Connection,
    ConnectionEnd,
    Network,
    VirtualHost,
    VirtualListener,
)
from tests.compatibility.event_digest import wrapped

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

    from tests.compatibility.event_digest import EventDigest, Value

MICROSECONDS_PER_SECOND = 1e6


class NetworkObserver:
    """Adds each event to a digest, with its time in microseconds, its endpoints and its bytes.

    Each method replaces a method of the virtual network. It receives the original method as its first
    argument.
    """

    def __init__(self, digest: EventDigest) -> None:
        self._digest = digest

    async def dial(
        self, original: Any, network: Network, host: str, address: Any, buffer_limit_bytes: int
    ) -> Any:
        """Records an attempt to connect, and whether the connection is accepted or refused."""
        host_number = self._host(host)
        self._add(network.loop, "connect", host_number, *address)
        try:
            dialed = await original(network, host, address, buffer_limit_bytes)
        except OSError:
            self._add(network.loop, "refused", host_number, *address)
            raise
        connection_number = self._digest.number(dialed.writer.transport.connection)
        self._add(network.loop, "accepted", host_number, *address, connection_number)
        return dialed

    def transmit(self, original: Any, connection: Connection, end: ConnectionEnd, data: bytes) -> None:
        """Records bytes that are written."""
        self._add_at_end("write", end, data)
        original(connection, end, data)

    def receive(self, original: Any, end: ConnectionEnd, data: bytes) -> None:
        """Records bytes that are read."""
        self._add_at_end("read", end, data)
        original(end, data)

    def close(self, original: Any, end: ConnectionEnd) -> None:
        """Records that an end is closed; later calls are not recorded."""
        if not end.is_closed:
            self._add_at_end("close", end)
        original(end)

    def abort(self, original: Any, end: ConnectionEnd) -> None:
        """Records that an end is aborted, unless the end is already closed."""
        if not end.is_closed:
            self._add_at_end("abort", end)
        original(end)

    def lose(self, original: Any, end: ConnectionEnd, error: Exception | None) -> None:
        """Records that an end has lost its connection, and whether through an error."""
        self._add_at_end("lost", end, int(error is not None))
        original(end, error)

    def send_datagram(
        self, original: Any, network: Network, host: str, source: Any, data: bytes, address: Any
    ) -> None:
        """Records a datagram that is sent."""
        self._add(network.loop, "datagram", self._host(host), *source, data, *address)
        original(network, host, source, data, address)

    def deliver_datagram(
        self, original: Any, network: Network, source: Any, data: bytes, address: Any
    ) -> None:
        """Records a datagram that arrives."""
        self._add(network.loop, "datagram-read", *source, data, *address)
        original(network, source, data, address)

    def kill_host(self, original: Any, network: Network, host: str) -> None:
        """Records that a host is killed."""
        self._add(network.loop, "host-died", self._host(host))
        original(network, host)

    async def listen(
        self,
        original: Any,
        host: VirtualHost,
        serve: Any,
        address: Any,
        buffer_limit_bytes: int,
        max_accepts_per_turn: int,
    ) -> Any:
        """Records that a host starts to listen."""
        self._add(host.network.loop, "listen", self._host(host.name), *address)
        return await original(host, serve, address, buffer_limit_bytes, max_accepts_per_turn)

    def stop_listening(self, original: Any, listener: VirtualListener) -> None:
        """Records that a listener is closed."""
        self._add(listener.table.loop, "stop-listening", *listener.address)
        original(listener)

    def _host(self, name: str) -> int:
        return self._digest.number(("host", name))

    def _add(self, loop: asyncio.AbstractEventLoop, *values: Value) -> None:
        self._digest.add(round(loop.time() * MICROSECONDS_PER_SECOND), *values)

    def _add_at_end(self, kind: str, end: ConnectionEnd, *values: Value) -> None:
        connection_number = self._digest.number(end.connection)
        side = end.connection.ends.index(end)
        self._add(end.loop, kind, connection_number, side, *values)


@contextlib.contextmanager
def observe_network(digest: EventDigest) -> Iterator[None]:
    """Adds all events on virtual networks to the digest while the context is open."""
    observer = NetworkObserver(digest)
    with contextlib.ExitStack() as stack:
        for owner, method_name, wrapper in (
            (Network, "dial", observer.dial),
            (Network, "send_datagram", observer.send_datagram),
            (Network, "deliver_datagram", observer.deliver_datagram),
            (Network, "kill_host", observer.kill_host),
            (VirtualHost, "listen", observer.listen),
            (VirtualListener, "close", observer.stop_listening),
            (Connection, "transmit", observer.transmit),
            (ConnectionEnd, "receive", observer.receive),
            (ConnectionEnd, "close", observer.close),
            (ConnectionEnd, "abort", observer.abort),
            (ConnectionEnd, "lose", observer.lose),
        ):
            stack.enter_context(wrapped(owner, method_name, wrapper))
        yield
