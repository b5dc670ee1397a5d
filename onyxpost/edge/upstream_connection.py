"""A connection to an app server, which carries one attempt at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from onyxpost.core.types import AttemptResult
from onyxpost.edge.messages import MAX_BODY_BYTES, Endpoint, UpstreamResponse, attempt_result
from onyxpost.runtime.errors import TruncatedResponseError
from onyxpost.runtime.http1 import READ_CHUNK_BYTES, encode_message, read_response, start_next_cycle

if TYPE_CHECKING:
    from onyxpost.runtime.transport import DialedConnection


class UpstreamConnection:
    """A connection to an app server.

    Attributes:
        endpoint: the server and its address.
        reader: the input stream.
        writer: the output stream.
        idle_since: time of the node's clock, in ms, at which the connection became idle.
    """

    def __init__(self, endpoint: Endpoint, connection: DialedConnection) -> None:
        self.endpoint = endpoint
        self.reader = connection.reader
        self.writer = connection.writer
        self.idle_since = 0.0
        self._is_input_read = connection.is_input_read
        self._is_flushed = connection.is_flushed
        self._http = h11.Connection(h11.CLIENT)
        self._is_request_written = False  # whether the request was passed to the transport
        self._bytes_read = 0
        self.writer.transport.set_write_buffer_limits(0)  # makes `drain` wait until the kernel has all bytes

    def is_request_sent(self) -> bool:
        """Returns whether the kernel has taken the request's last byte.

        This checks the state of the transport rather than the return of `drain`, because a task that waits
        for `drain` may be cancelled in the same turn of the event loop in which the buffer becomes empty.
        """
        return self._is_request_written and self._is_flushed()

    def is_unusable(self) -> bool:
        """Returns whether the connection has ended, or has received bytes outside of a response."""
        reader = self.reader
        ended = reader.at_eof() or reader.exception() is not None or self.writer.transport.is_closing()
        return ended or reader.bytes_received > self._bytes_read

    def is_input_read(self) -> bool:
        """Returns whether there are no unread bytes and the server has not closed the connection."""
        return not self.is_unusable() and self._is_input_read()

    async def exchange(
        self, request: h11.Request, body: bytes
    ) -> tuple[AttemptResult, UpstreamResponse | None]:
        """Sends a request and waits for the response.

        Returns:
            The result of the attempt, and the response if it has to be forwarded.

        Raises:
            OSError: the connection failed, or ended before the response was complete.
            h11.RemoteProtocolError: the response is invalid.
        """
        self.writer.write(encode_message(self._http, request, body))
        self._is_request_written = not self.writer.transport.is_closing()  # otherwise the kernel got no byte
        await self.writer.drain()
        if self.reader.bytes_received > self._bytes_read:
            raise TruncatedResponseError("server sent bytes before the request was sent completely")
        response, response_body = await read_response(self._http, self._read, MAX_BODY_BYTES)
        result = attempt_result(response)
        if result is not AttemptResult.OK:
            return result, None
        return result, UpstreamResponse(list(response.headers), response_body)

    def prepare_reuse(self) -> bool:
        """Prepares the connection for the next attempt and returns whether it can be reused."""
        self._is_request_written = False
        return not self.is_unusable() and start_next_cycle(self._http) and not self._http.trailing_data[0]

    def on_released(self, now: float) -> None:
        """Records that the connection is idle since `now`, in ms."""
        self.idle_since = now

    def abort(self) -> None:
        """Closes the connection at once.

        Unsent bytes are discarded, as a server that does not respond would never read them.
        """
        self.writer.transport.abort()

    async def _read(self) -> bytes:
        data = await self.reader.read(READ_CHUNK_BYTES)
        self._bytes_read += len(data)
        return data
