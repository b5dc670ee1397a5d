"""The state of a client connection."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import h11

from onyxpost.edge.memory_account import HeldBytes
from onyxpost.runtime.transport import UnreadInput

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

    from onyxpost.edge.messages import ClientRequest
    from onyxpost.runtime.transport import ByteCountingReader, Transport

# Time for a new connection to send its first request, and for any request to arrive completely.
REQUEST_TIMEOUT_MS = 2_500.0
IDLE_TIMEOUT_MS = 5_000.0  # maximum time between two requests
# A connection whose expected request is not complete after this time may be evicted. The same time limits the
# wait for incomplete requests at shutdown, and the time to empty the accept queue before the listener closes.
INCOMPLETE_REQUEST_GRACE_MS = 100.0
# Memory that a connection takes with its streams and task, a header with its tuples and names, and a request
# that is decided on.
CONNECTION_BYTES = 8192
HEADER_BYTES = 256
REQUEST_BYTES = 4096
GROWTH_FACTOR = 1.25  # a buffer that grows has this many times its length at most
COPY_COUNT = 2  # a body exists twice while it is passed on


class ClientConnection:
    """A client connection, which carries one request at a time.

    The connection is also read while a request is in flight, to detect that the client disconnects.

    Attributes:
        connection_id: unique among all connections accepted by this node.
        bytes_read: number of bytes read from `reader`.
        waiting_since: time in ms at which the wait for a request began, or its first byte arrived.
        deadline: time in ms at which the connection is closed unless it makes progress.
        is_ending: whether the end of this node's stream was sent, so that nothing more can be answered.
        has_unanswered_request: whether a request was posted as an event and is not answered yet.
        has_partial_request: whether a part of the next request has been received.
        is_new: whether no request was answered yet, so that the first one may be in transit.
        is_over_capacity: whether the connection exceeds the node's capacity, so that its first request is
            rejected.
        has_pipelined_input: whether the client sent more input before its answer. The input is discarded, and
            the connection is closed after the answer.
        is_deadline_extended: whether the deadline was extended because of unread input. This happens once, as
            the node itself may have stalled.
        unsent_since: time in ms at which unsent answers were first seen; infinite if there are none.
        request: the head of the current request.
        client_request: the decoded head of the current request; None for a health check.
        body: the received part of the body of the current request.
        body_chunk_count: number of chunks of the body that were received.
        head_line_count: number of line ends received while the head of the current request was incomplete.
        undecoded_head_bytes: number of bytes received of a head that is not decoded yet.
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
        self.bytes_read = 0
        self.waiting_since = now
        self.deadline = now + REQUEST_TIMEOUT_MS
        self.is_ending = False
        self.has_unanswered_request = False
        self.has_partial_request = False
        self.is_new = True
        self.is_over_capacity = is_over_capacity
        self.has_pipelined_input = False
        self.is_deadline_extended = False
        self.unsent_since = math.inf
        self.request: h11.Request | None = None
        self.client_request: ClientRequest | None = None
        self.body = bytearray()
        self.body_chunk_count = 0
        self.head_line_count = 0
        self.undecoded_head_bytes = 0
        self.has_undecoded_input = False
        self._http: h11.Connection | None = None
        self._decoded_head_bytes = 0
        self._waiting_request_bytes = 0

    @property
    def http(self) -> h11.Connection:
        """The HTTP/1.1 state of the connection, created when it is first used."""
        if self._http is None:
            self._http = h11.Connection(h11.SERVER)
        return self._http

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

    def held_bytes(self) -> HeldBytes:
        """Returns what the client makes the node hold, by use; see `held_bytes_total`."""
        unread = self.reader.bytes_received - self.bytes_read
        return HeldBytes(
            connections=CONNECTION_BYTES,
            heads=int(GROWTH_FACTOR * self.undecoded_head_bytes) + self._decoded_head_bytes,
            input=int(GROWTH_FACTOR * (unread + len(self.body))),
            requests=self._waiting_request_bytes if self.has_unanswered_request else 0,
            answers=self.unsent_bytes(),
        )

    def held_bytes_total(self) -> int:
        """Returns an upper estimate of the memory that the client makes the node hold.

        It is calculated with each read, and therefore without the result of `held_bytes`.
        """
        growing = self.undecoded_head_bytes + self.reader.bytes_received - self.bytes_read + len(self.body)
        waiting = self._waiting_request_bytes if self.has_unanswered_request else 0
        unsent = self.writer.transport.get_write_buffer_size()
        return CONNECTION_BYTES + int(GROWTH_FACTOR * growing) + self._decoded_head_bytes + waiting + unsent

    def note_unsent(self, now: float) -> None:
        """Records whether answers wait for the client at `now`, in ms."""
        self.unsent_since = min(self.unsent_since, now) if self.unsent_bytes() else math.inf

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
        self._decoded_head_bytes = (
            HEADER_BYTES * len(request.headers) + COPY_COUNT * self.undecoded_head_bytes
        )
        self.undecoded_head_bytes = 0
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

    def take_body(self) -> bytes:
        """Returns the received body, which the connection holds no longer."""
        body = bytes(self.body)
        self.body = bytearray()
        return body

    def on_request_posted(self, waiting_bytes: int) -> None:
        """Records that the request was posted as an event, and removes the deadline until the answer.

        Args:
            waiting_bytes: the memory that the request takes until its answer, beyond its head.
        """
        self._waiting_request_bytes = waiting_bytes
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
        """Sets the deadline for closing, and discards what was received of a request.

        The deadline is after `linger_ms`, or after `IDLE_TIMEOUT_MS` if answers are still to be sent.
        """
        self.deadline = now + (IDLE_TIMEOUT_MS if self.unsent_bytes() else linger_ms)
        self.is_ending = True
        self.on_next_cycle()
        self._http = None

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
        self.body = bytearray()
        self.undecoded_head_bytes = 0
        self._decoded_head_bytes = 0


def idle_connections(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    """Returns the connections between two requests, longest idle first.

    New connections are left out: a client retries a request that was in transit when its idle connection was
    closed, but not the first request of a connection.
    """
    idle = (connection for connection in connections if connection.is_idle())
    return sorted(idle, key=lambda connection: connection.waiting_since)
