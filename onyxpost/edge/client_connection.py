"""The state of one client's connection, and which connections are closed first."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import h11

from onyxpost.runtime.transport import Unread

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Collection, Iterable

    from onyxpost.edge.messages import ClientRequest
    from onyxpost.runtime.transport import CountingReader, Transport

# For a new connection to send its first request, and for a request that has started to be complete.
REQUEST_TIMEOUT_MS = 2_500.0
IDLE_TIMEOUT_MS = 5_000.0  # between requests
GRACE_FOR_REQUEST_MS = 100.0  # a connection that sends no complete request for longer may be evicted


class ClientConnection:
    """A client's connection, with one request at a time.

    The connection is also read while a request is in flight, to notice when the client disconnects.

    Attributes:
        connection_id: unique among all connections accepted by this node.
        http: the state of the protocol.
        bytes_read: how many bytes have been read from `reader`.
        waiting_since: when it began to wait for a request, or got the first byte of one; ms.
        deadline: when it is closed unless it makes progress; ms.
        awaits_answer: a request was posted as an event and is not answered yet.
        request_started: the next request has been received in part.
        is_new: no request was answered yet, so the first one may be on its way.
        is_over_capacity: accepted beyond the node's capacity, only to reject its first request.
        has_pipelined: the client sent more before its answer; that is discarded, the connection closed.
        grace_given: its deadline was extended once because of unread input: the node itself may have stalled.
        request: the head of the current request.
        client_request: the same, decoded; None for a health check.
        body: of the current request, as far as it has been received.
    """

    def __init__(
        self,
        connection_id: int,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        now: float,
        *,
        is_over_capacity: bool = False,
    ) -> None:
        """Creates the state of a connection that was accepted at `now`, in ms."""
        self.connection_id = connection_id
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.SERVER)
        self.bytes_read = 0
        self.waiting_since = now
        self.deadline = now + REQUEST_TIMEOUT_MS
        self.awaits_answer = False
        self.request_started = False
        self.is_new = True
        self.is_over_capacity = is_over_capacity
        self.has_pipelined = False
        self.grace_given = False
        self.request: h11.Request | None = None
        self.client_request: ClientRequest | None = None
        self.body = bytearray()

    def is_idle(self) -> bool:
        """Returns whether it is between two requests."""
        return not self.awaits_answer and not self.request_started and not self.is_new

    def has_sent_no_request_since(self, time: float) -> bool:
        """Returns whether a request has been due, but not complete, since before `time`, in ms."""
        is_expected = self.is_new or self.request_started
        return not self.awaits_answer and is_expected and self.waiting_since < time

    def unsent_bytes(self) -> int:
        """Returns how many bytes of answers the kernel has not taken yet."""
        return self.writer.transport.get_write_buffer_size()

    def is_closing(self) -> bool:
        """Returns whether the transport is being closed."""
        return self.writer.transport.is_closing()

    def has_no_unread_input(self, transport: Transport) -> bool:
        """Returns whether no input is waiting, neither bytes nor the end of stream, in the kernel or here."""
        all_read = self.reader.bytes_received == self.bytes_read
        return all_read and transport.unread(self.writer.transport) is Unread.NOTHING

    def on_request_started(self, now: float) -> None:
        """Notes the first bytes of a request; a first request keeps the deadline of the connection."""
        self.request_started = True
        self.waiting_since = now
        if not self.is_new:
            self.deadline = now + REQUEST_TIMEOUT_MS

    def on_request_head(self, request: h11.Request) -> None:
        """Notes the head of a request."""
        self.request = request
        self.body = bytearray()
        self.request_started = True
        self.client_request = None

    def on_request_decoded(self, client_request: ClientRequest) -> None:
        """Notes the decoded head of a request that is no health check."""
        self.client_request = client_request

    def on_pipelined_input(self) -> None:
        """Notes input behind a request that is not answered yet."""
        self.has_pipelined = True

    def on_request_read(self) -> None:
        """Notes that no more of a request is read, and whether the client has already sent more."""
        self.has_pipelined = bool(self.http.trailing_data[0])

    def on_request_handed_on(self) -> None:
        """Notes that the request was posted as an event; it has no deadline of the connection."""
        self.request_started = False
        self.awaits_answer = True
        self.deadline = math.inf

    def on_settled(self) -> None:
        """Notes that the request in flight needs no answer any more."""
        self.awaits_answer = False

    def on_response(self, now: float) -> None:
        """Notes a response, after which the connection is idle."""
        self.request_started = False
        self.is_new = False
        self.waiting_since = now
        self.deadline = now + IDLE_TIMEOUT_MS

    def on_closing(self, now: float, linger_ms: float) -> None:
        """Notes the start of closing, and discards a partly received body.

        The deadline is `linger_ms` away, or `IDLE_TIMEOUT_MS` while answers are still to be sent.
        """
        self.deadline = now + (IDLE_TIMEOUT_MS if self.unsent_bytes() else linger_ms)
        self.body = bytearray()

    def extend_deadline(self, deadline: float) -> None:
        """Sets a later deadline, in ms, because of unread input."""
        self.grace_given = True
        self.deadline = deadline

    def limit_deadline(self, deadline: float) -> None:
        """Sets an earlier deadline, in ms, if it is earlier."""
        self.deadline = min(self.deadline, deadline)

    def on_next_cycle(self) -> None:
        """Clears the request that was answered."""
        self.request = None
        self.client_request = None
        self.body.clear()


def idle_connections(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    """Returns the connections between requests, those idle longest first.

    A client retries a request that was on its way when its idle connection closed, but not the first request
    of a connection, so new connections are left out.
    """
    idle = (connection for connection in connections if connection.is_idle())
    return sorted(idle, key=lambda connection: connection.waiting_since)


def eviction_candidates(connections: Collection[ClientConnection], time: float) -> list[ClientConnection]:
    """Returns the connections that may be closed to make room, in order of preference.

    First come those that have sent no complete request since before `time`, then those that are idle.
    """
    slow = [connection for connection in connections if connection.has_sent_no_request_since(time)]
    slow.sort(key=lambda connection: connection.waiting_since)
    return [*slow, *idle_connections(connections)]
