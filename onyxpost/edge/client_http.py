"""Decodes the HTTP requests of client connections and writes the responses."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import h11

from onyxpost.edge.client_connection import COPY_COUNT, REQUEST_BYTES
from onyxpost.edge.errors import RequestRejectedError
from onyxpost.edge.head_lines import MAX_HEAD_LINES, has_too_many_head_lines
from onyxpost.edge.messages import (
    MAX_BODY_BYTES,
    ClientRequest,
    EdgeEvent,
    Headers,
    SendAnswer,
    decode_request,
    encode_answer,
)
from onyxpost.runtime.http1 import encode_message, start_next_cycle

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.deployment import Deployment
    from onyxpost.edge.client_connection import ClientConnection

# A client that has more bytes of answers unread than this is disconnected at its next request.
MAX_UNSENT_BYTES = 131_072
# Events decoded for one connection before others get their turn; a usual request has two or three.
MAX_EVENTS_PER_SLICE = 32
MAX_BODY_CHUNKS = 1024  # a body of the largest size may have chunks of 64 bytes
# An answer is expected to be as long as the longest one of late; its length decays by this factor an answer.
EXPECTED_ANSWER_DECAY = 0.99
MAX_ERROR_TEXT_BYTES = 200  # limits the body of a 4xx answer, which may quote the request
HEALTH_CHECK_TARGET = b"/healthz"
HEALTH_CHECK_METHODS = (b"GET", b"HEAD")
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
PAYLOAD_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
SERVICE_UNAVAILABLE = 503
OK = 200


class ClientHttp:
    """Decodes requests from all client connections and writes the responses.

    Attributes:
        is_shutting_down: whether each response closes its connection.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Callable[[], float],
        post_event: Callable[[EdgeEvent], None],
        is_ready: Callable[[], bool],
        begin_closing: Callable[[ClientConnection], None],
        admits_request: Callable[[ClientConnection, int], bool],
    ) -> None:
        """Creates the HTTP handler of a node that is not shutting down.

        Args:
            deployment: the settings that requests are checked against.
            clock: the node's clock, in ms.
            post_event: receives each complete request.
            is_ready: returns whether health checks are answered with 200 rather than 503.
            begin_closing: closes a connection once its last response has been sent.
            admits_request: returns whether the memory suffices for a complete request that takes the given
                number of bytes beyond its input.
        """
        self.is_shutting_down = False
        self._deployment = deployment
        self._clock = clock
        self._post_event = post_event
        self._is_ready = is_ready
        self._begin_closing = begin_closing
        self._admits_request = admits_request
        self._expected_answer_bytes = 0.0

    def begin_shutdown(self) -> None:
        """Makes each further response close its connection."""
        self.is_shutting_down = True

    def handle_bytes(self, connection: ClientConnection, data: bytes) -> None:
        """Processes bytes read from an open connection; bytes behind an unanswered request are discarded."""
        if connection.has_unanswered_request:
            connection.on_pipelined_input()
            return
        if not connection.has_partial_request:
            if connection.unsent_bytes() > MAX_UNSENT_BYTES:
                self._begin_closing(connection)
                return
            connection.on_request_started(self._clock())
        if has_too_many_head_lines(connection, data):
            self._reject(connection, HEAD_TOO_LARGE, f"over {MAX_HEAD_LINES} lines in the head", close=True)
            return
        if connection.http.their_state is h11.IDLE:
            connection.undecoded_head_bytes += len(data)
        connection.http.receive_data(data)
        self._decode(connection)

    def decode_slice(self, connection: ClientConnection) -> None:
        """Continues to decode an open connection that has undecoded input."""
        self._decode(connection)

    def handle_end_of_stream(self, connection: ClientConnection) -> None:
        """Processes the end of a client's stream; a request that it truncates is rejected."""
        connection.http.receive_data(b"")
        self._decode(connection)

    def send_answer(self, connection: ClientConnection, answer: SendAnswer) -> None:
        """Sends the final answer to the request in flight."""
        connection.on_request_settled()
        encoded = encode_answer(answer)
        self._expected_answer_bytes = max(
            len(encoded.body), EXPECTED_ANSWER_DECAY * self._expected_answer_bytes
        )
        try:
            self._respond(connection, *encoded, close=connection.has_pipelined_input)
        except h11.LocalProtocolError:  # the answer cannot be encoded, and the client must not wait for it
            self._begin_closing(connection)
            raise

    def reject_timed_out(self, connection: ClientConnection) -> None:
        """Answers a request that was not complete in time with status 408, and closes the connection."""
        self._reject(connection, REQUEST_TIMEOUT, "the req did not come whole in time", close=True)

    def reject_overloaded(self, connection: ClientConnection) -> None:
        """Answers the current request, complete or not, with status 503 and closes the connection."""
        self._respond(connection, SERVICE_UNAVAILABLE, [(b"Retry-After", b"1")], b"", close=True)

    def _reject(self, connection: ClientConnection, status: int, reason: str, *, close: bool) -> None:
        self._respond(connection, status, [], reason.encode()[:MAX_ERROR_TEXT_BYTES], close=close)

    def _decode(self, connection: ClientConnection) -> None:
        """Processes at most a slice of the received input; an invalid request is rejected."""
        http = connection.http
        try:
            self._handle_http_events(connection, http)
        except h11.RemoteProtocolError as err:
            self._reject(connection, max(BAD_REQUEST, err.error_status_hint), str(err), close=True)
        except RequestRejectedError as err:
            with contextlib.suppress(h11.RemoteProtocolError):  # skips the received part of the body
                for _ in range(MAX_EVENTS_PER_SLICE):
                    if http.their_state is not h11.SEND_BODY or http.next_event() is h11.NEED_DATA:
                        break
            # Answers to hundreds of pipelined invalid requests would delay all other clients.
            connection.on_request_read()
            must_close = err.is_framing_unknown or connection.has_pipelined_input
            self._reject(connection, err.status, str(err), close=must_close)

    def _handle_http_events(self, connection: ClientConnection, http: h11.Connection) -> None:
        connection.has_undecoded_input = False
        for _ in range(MAX_EVENTS_PER_SLICE):
            if connection.is_ending:
                return
            if connection.has_unanswered_request or (event := http.next_event()) is h11.NEED_DATA:
                break
            match event:
                case h11.Request():
                    self._handle_head(connection, event)
                case h11.Data():
                    self._handle_body(connection, event)
                case h11.EndOfMessage():
                    self._handle_complete_request(connection)
                case _:
                    return
        else:
            connection.has_undecoded_input = True
        if http.they_are_waiting_for_100_continue:
            data = http.send(h11.InformationalResponse(status_code=100, headers=[]))
            connection.writer.write(data or b"")

    def _handle_head(self, connection: ClientConnection, head: h11.Request) -> None:
        connection.on_request_head(head)
        if head.target != HEALTH_CHECK_TARGET or head.method not in HEALTH_CHECK_METHODS:
            # The client timeout counts from the first byte, as the client's own timer started when it sent
            # the request.
            connection.on_request_decoded(
                decode_request(connection.connection_id, connection.waiting_since, head, self._deployment)
            )

    def _handle_body(self, connection: ClientConnection, part: h11.Data) -> None:
        connection.body += part.data
        connection.body_chunk_count += part.chunk_start
        if len(connection.body) > MAX_BODY_BYTES:
            raise RequestRejectedError(PAYLOAD_TOO_LARGE, "body over 64 KiB")
        if connection.body_chunk_count > MAX_BODY_CHUNKS:
            raise RequestRejectedError(PAYLOAD_TOO_LARGE, f"body in over {MAX_BODY_CHUNKS} chunks")

    def _handle_complete_request(self, connection: ClientConnection) -> None:
        connection.on_request_read()
        if connection.client_request is None:
            status = OK if self._is_ready() else SERVICE_UNAVAILABLE
            self._respond(connection, status, [], b"", close=connection.has_pipelined_input)
        elif connection.is_over_capacity:
            self.reject_overloaded(connection)
        else:
            self._post_request(connection, connection.client_request)

    def _post_request(self, connection: ClientConnection, request: ClientRequest) -> None:
        body = connection.take_body()
        waiting_bytes = REQUEST_BYTES + COPY_COUNT * len(body) + int(self._expected_answer_bytes)
        if not self._admits_request(connection, waiting_bytes):
            self.reject_overloaded(connection)
            return
        connection.on_request_posted(waiting_bytes)
        self._post_event(request._replace(body=body))

    def _respond(
        self,
        connection: ClientConnection,
        status: int,
        headers: Headers,
        body: bytes,
        *,
        close: bool = False,
    ) -> None:
        if connection.is_ending:
            return
        http = connection.http
        connection.on_response(self._clock())
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._begin_closing(connection)
            return
        headers.append((b"Content-Length", b"%d" % len(body)))
        if close or self.is_shutting_down:
            headers.append((b"Connection", b"close"))
        is_head_only = connection.request is not None and connection.request.method == b"HEAD"
        response = h11.Response(status_code=status, headers=headers)
        connection.writer.write(encode_message(http, response, b"" if is_head_only else body))
        if connection.has_pipelined_input or not start_next_cycle(http):
            self._begin_closing(connection)
            return
        connection.on_next_cycle()
