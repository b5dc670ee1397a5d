"""The state of a client connection, and the order in which connections are closed to free descriptors."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import h11

from onyxpost.runtime.transport import UnreadInput

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Collection, Iterable

    from onyxpost.edge.messages import ClientRequest
    from onyxpost.runtime.transport import ByteCountingReader, Transport

# Time for a new connection to send its first request, and for any request to arrive completely.
REQUEST_TIMEOUT_MS = 2_500.0
IDLE_TIMEOUT_MS = 5_000.0  # maximum time between two requests
# A connection whose expected request is not complete after this time may be evicted. The same time limits the
# wait for incomplete requests at shutdown, and the time to empty the accept queue before the listener closes.
INCOMPLETE_REQUEST_GRACE_MS = 100.0


class ClientConnection:
    """A client connection, which carries one request at a time.

    The connection is also read while a request is in flight, to detect that the client disconnects.

    Attributes:
        connection_id: unique among all connections accepted by this node.
        http: the HTTP/1.1 state of the connection.
        bytes_read: number of bytes read from `reader`.
        waiting_since: time in ms at which the wait for a request began, or its first byte arrived.
        deadline: time in ms at which the connection is closed unless it makes progress.
        has_unanswered_request: whether a request was posted as an event and is not answered yet.
        has_partial_request: whether a part of the next request has been received.
        is_new: whether no request was answered yet, so that the first one may be in transit.
        is_over_capacity: whether the connection exceeds the node's capacity, so that its first request is
            rejected.
        has_pipelined_input: whether the client sent more input before its answer. The input is discarded, and
            the connection is closed after the answer.
        is_deadline_extended: whether the deadline was extended because of unread input. This happens once, as
            the node itself may have stalled.
        request: the head of the current request.
        client_request: the decoded head of the current request; None for a health check.
        body: the received part of the body of the current request.
        body_chunk_count: number of chunks of the body that were received.
        head_line_count: number of line ends received while the head of the current request was incomplete.
        has_undecoded_input: whether input that was read is not decoded yet.
    """

    def __init__(
        self,
        connection_id: int,
        reader: ByteCountingReader,
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
        self.has_unanswered_request = False
        self.has_partial_request = False
        self.is_new = True
        self.is_over_capacity = is_over_capacity
        self.has_pipelined_input = False
        self.is_deadline_extended = False
        self.request: h11.Request | None = None
        self.client_request: ClientRequest | None = None
        self.body = bytearray()
        self.body_chunk_count = 0
        self.head_line_count = 0
        self.has_undecoded_input = False

    def is_idle(self) -> bool:
        """Returns whether the connection is between two requests."""
        return not self.has_unanswered_request and not self.has_partial_request and not self.is_new

    def is_request_awaited_since(self, time: float) -> bool:
        """Returns whether a request has been expected since before `time` (ms) and is not complete."""
        is_expected = self.is_new or self.has_partial_request
        return not self.has_unanswered_request and is_expected and self.waiting_since < time

    def unsent_bytes(self) -> int:
        """Returns the number of bytes of answers that have not been passed to the kernel yet."""
        return self.writer.transport.get_write_buffer_size()

    def is_closing(self) -> bool:
        """Returns whether the transport is being closed."""
        return self.writer.transport.is_closing()

    def is_input_read(self, transport: Transport) -> bool:
        """Returns whether no bytes and no end of stream are unread, in the kernel or in the reader."""
        all_read = self.reader.bytes_received == self.bytes_read
        return all_read and transport.unread_input(self.writer.transport) is UnreadInput.NOTHING

    def on_request_started(self, now: float) -> None:
        """Records the first bytes of a request; a first request keeps the deadline of the connection."""
        self.has_partial_request = True
        self.waiting_since = now
        if not self.is_new:
            self.deadline = now + REQUEST_TIMEOUT_MS

    def on_request_head(self, request: h11.Request) -> None:
        """Records the head of a request and discards the state of the previous one."""
        self.request = request
        self.body = bytearray()
        self.body_chunk_count = 0
        self.head_line_count = 0
        self.has_partial_request = True
        self.client_request = None

    def on_request_decoded(self, client_request: ClientRequest) -> None:
        """Records the decoded head of a request that is not a health check."""
        self.client_request = client_request

    def on_pipelined_input(self) -> None:
        """Records that the client sent more input before its request was answered."""
        self.has_pipelined_input = True

    def on_request_read(self) -> None:
        """Records the end of reading a request, and whether the client has already sent more input."""
        self.has_pipelined_input = bool(self.http.trailing_data[0])

    def on_request_posted(self) -> None:
        """Records that the request was posted as an event, and removes the deadline until the answer."""
        self.has_partial_request = False
        self.has_unanswered_request = True
        self.deadline = math.inf

    def on_request_settled(self) -> None:
        """Records that the request in flight needs no answer any more."""
        self.has_unanswered_request = False

    def on_response(self, now: float) -> None:
        """Records a response, after which the connection is idle."""
        self.has_partial_request = False
        self.is_new = False
        self.waiting_since = now
        self.deadline = now + IDLE_TIMEOUT_MS

    def on_closing(self, now: float, linger_ms: float) -> None:
        """Sets the deadline for closing, and discards a partly received body.

        The deadline is after `linger_ms`, or after `IDLE_TIMEOUT_MS` if answers are still to be sent.
        """
        self.deadline = now + (IDLE_TIMEOUT_MS if self.unsent_bytes() else linger_ms)
        self.body = bytearray()

    def extend_deadline(self, deadline: float) -> None:
        """Sets a later deadline, in ms, and records that it was extended because of unread input."""
        self.is_deadline_extended = True
        self.deadline = deadline

    def limit_deadline(self, deadline: float) -> None:
        """Lowers the deadline to `deadline`, in ms, if that is earlier."""
        self.deadline = min(self.deadline, deadline)

    def on_next_cycle(self) -> None:
        """Clears the answered request before the next one."""
        self.request = None
        self.client_request = None
        self.body.clear()


def idle_connections(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    """Returns the connections between two requests, longest idle first.

    New connections are left out: a client retries a request that was in transit when its idle connection was
    closed, but not the first request of a connection.
    """
    idle = (connection for connection in connections if connection.is_idle())
    return sorted(idle, key=lambda connection: connection.waiting_since)


def eviction_candidates(connections: Collection[ClientConnection], time: float) -> list[ClientConnection]:
    """Returns the connections that may be closed to free a descriptor, in order of preference.

    Connections whose request has been expected since before `time` (ms) and is incomplete come first, then
    idle connections.
    """
    slow = [connection for connection in connections if connection.is_request_awaited_since(time)]
    slow.sort(key=lambda connection: connection.waiting_since)
    return [*slow, *idle_connections(connections)]
