"""In-memory connections: two ends and the bytes in flight between them. Times are in seconds."""

from __future__ import annotations

import asyncio
from typing import Protocol

# Minimum time between two arrivals in one direction. The event loop does not order callbacks that are due at
# the same time.
MIN_SPACING_SECONDS = 1e-7


class Link(Protocol):
    """The part of the network's interface that a connection uses."""

    loop: asyncio.AbstractEventLoop

    def is_blocked(self, source: str, target: str) -> bool:
        """Whether all that `source` sends to `target` is lost."""

    def delay_seconds(self, source: str, target: str) -> float:
        """Returns the one-way delay of the next bytes or datagram from `source` to `target`."""


class ConnectionEnd(asyncio.Transport):
    """One end of a connection, which is the asyncio transport of its stream."""

    def __init__(self, connection: Connection, host: str) -> None:
        super().__init__()
        self.connection = connection
        self.host = host
        self.loop = connection.link.loop
        self.protocol: asyncio.Protocol = asyncio.Protocol()
        self.max_size = 0  # attribute of asyncio's socket transports: the maximum bytes of one read
        self.bytes_sent = 0
        self.is_closed = False
        self.is_lost = False
        self.has_sent_eof = False
        self.has_received_eof = False
        self._is_paused = False
        self._unread: list[bytes] = []  # received while reading was paused; b"" is the end of the stream
        self._undeliverable_bytes = 0  # bytes sent while the other end could not be reached

    @property
    def peer(self) -> ConnectionEnd:
        """The other end of the connection."""
        first, second = self.connection.ends
        return second if self is first else first

    @property
    def has_unread(self) -> bool:
        """Whether bytes, or the end of the stream, were received that the program has not read."""
        return bool(self._unread)

    # Called by the program: the interface of asyncio.Transport

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends bytes to the other end; after a close or `write_eof` they are discarded."""
        if not self.is_closed and not self.has_sent_eof and data:
            self.bytes_sent += len(data)
            self.connection.transmit(self, bytes(data))

    def write_eof(self) -> None:
        """Sends the end of the stream; the other direction stays open."""
        if not self.has_sent_eof and not self.is_closed:
            self.has_sent_eof = True
            self.connection.transmit(self, b"")

    def can_write_eof(self) -> bool:
        """Returns True: one direction can be closed alone."""
        return True

    def close(self) -> None:
        """Closes this end; bytes sent before are still delivered."""
        if not self.is_closed:
            self.write_eof()
            self.is_closed = True
            self.loop.call_soon(self.lose, None)

    def abort(self) -> None:
        """Resets the connection."""
        if not self.is_closed:
            self.is_closed = True
            self.connection.reset_peer_of(self)
            self.loop.call_soon(self.lose, None)

    def is_closing(self) -> bool:
        """Whether this end is closed or is being closed."""
        return self.is_closed

    def get_extra_info(self, name: str, default: object = None) -> object:  # noqa: ARG002 - asyncio API
        """Returns the default, since there is no socket."""
        return default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Does nothing: writing never pauses."""

    def get_write_buffer_size(self) -> int:
        """Returns the number of sent bytes that the other end has not read; there are no kernel buffers."""
        in_flight = self.connection.bytes_in_flight[self.peer]
        return in_flight + sum(len(chunk) for chunk in self.peer._unread) + self._undeliverable_bytes

    def pause_reading(self) -> None:
        """Buffers the bytes that arrive until reading is resumed."""
        self._is_paused = True

    def resume_reading(self) -> None:
        """Passes the buffered bytes to the protocol, and ends the pause."""
        self._is_paused = False
        unread = self._unread
        self._unread = []
        for chunk in unread:
            self.receive(chunk)

    def is_reading(self) -> bool:
        """Whether bytes that arrive are passed to the protocol at once."""
        return not self._is_paused and not self.is_closed

    # Called by the network

    def connect(self, protocol: asyncio.Protocol) -> None:
        """Notifies a protocol that the connection is open, and passes it all later events."""
        self.protocol = protocol
        protocol.connection_made(self)

    def receive(self, data: bytes) -> None:
        """Handles bytes that arrive; b"" is the end of the stream."""
        if self.is_lost or self.is_closed:
            return
        self.has_received_eof = self.has_received_eof or not data
        if self._is_paused:
            self._unread.append(data)
        elif data:
            self.protocol.data_received(data)
        elif not self.protocol.eof_received():
            self.close()

    def reset(self) -> None:
        """Handles a reset by the other end or by the network."""
        if not self.is_lost and not self.is_closed:
            self.is_closed = True
            self.lose(ConnectionResetError("reset"))

    def lose(self, error: Exception | None) -> None:
        """Notifies the protocol that the connection has ended, unless it was notified before."""
        if not self.is_lost:
            self.is_lost = True
            self.protocol.connection_lost(error)

    def kill(self) -> None:
        """Kills the process of this end: its program is not notified, and the other end is reset."""
        self.discard()
        self.connection.reset_peer_of(self)

    def discard(self) -> None:
        """Ends this end only; neither its program nor the other end is notified."""
        self.is_closed = True
        self.is_lost = True

    def add_undeliverable_bytes(self, count: int) -> None:
        """Counts bytes that were sent while the other end could not be reached."""
        self._undeliverable_bytes += count

    def clear_undeliverable_bytes(self) -> None:
        """Resets the count of undeliverable bytes, when the other end can be reached again."""
        self._undeliverable_bytes = 0


class Connection:
    """Delivers bytes from each end to the other in order and with a delay; may break after some bytes."""

    def __init__(self, link: Link, source: str, target: str) -> None:
        self.link = link
        self.loop = link.loop
        self.is_broken = False
        self.ends = (ConnectionEnd(self, source), ConnectionEnd(self, target))
        self.bytes_in_flight: dict[ConnectionEnd, int] = dict.fromkeys(self.ends, 0)  # by receiving end
        self._breaks_after_bytes: dict[ConnectionEnd, int] = {}  # by sending end
        self._last_arrival_seconds: dict[ConnectionEnd, float] = dict.fromkeys(self.ends, 0.0)

    def break_after(self, end: ConnectionEnd, byte_count: int) -> None:
        """Makes the connection break after `byte_count` bytes sent by `end` have been delivered."""
        self._breaks_after_bytes[end] = byte_count

    def transmit(self, end: ConnectionEnd, data: bytes) -> None:
        """Delivers bytes sent by `end` unless the link is blocked or broken; b"" is the end of the stream."""
        if self.is_broken or self.link.is_blocked(end.host, end.peer.host):
            end.add_undeliverable_bytes(len(data))
            return
        end.clear_undeliverable_bytes()
        break_after_bytes = self._breaks_after_bytes.get(end)
        if break_after_bytes is None or end.bytes_sent < break_after_bytes:
            self._deliver(end, data)
            return
        delivered = data[: max(0, len(data) - (end.bytes_sent - break_after_bytes))]
        if delivered:
            self._deliver(end, delivered)
        self.break_at(self._next_arrival_seconds(end))

    def reset_peer_of(self, end: ConnectionEnd) -> None:
        """Resets the other end after all bytes that `end` has sent have arrived there."""
        self.loop.call_at(self._next_arrival_seconds(end), end.peer.reset)

    def break_at(self, time_seconds: float) -> None:
        """Breaks the connection now; both ends are reset at `time_seconds`."""
        self.is_broken = True
        for end in self.ends:
            self.loop.call_at(time_seconds, end.reset)

    def _next_arrival_seconds(self, end: ConnectionEnd) -> float:
        delay_seconds = self.link.delay_seconds(end.host, end.peer.host)
        earliest_seconds = self._last_arrival_seconds[end] + MIN_SPACING_SECONDS
        self._last_arrival_seconds[end] = max(earliest_seconds, self.loop.time() + delay_seconds)
        return self._last_arrival_seconds[end]

    def _deliver(self, end: ConnectionEnd, data: bytes) -> None:
        self.bytes_in_flight[end.peer] += len(data)
        self.loop.call_at(self._next_arrival_seconds(end), self._arrive, end, data)

    def _arrive(self, end: ConnectionEnd, data: bytes) -> None:
        self.bytes_in_flight[end.peer] -= len(data)
        end.peer.receive(data)
