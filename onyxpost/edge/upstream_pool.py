"""Runs attempts on pooled connections to app servers; each attempt is sent at most once and ends once."""

from __future__ import annotations

import asyncio
import errno
import inspect
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

import h11

from onyxpost.core.types import AttemptResult
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.edge.messages import (
    AttemptEnded,
    EdgeEvent,
    Endpoint,
    SendAttempt,
    UpstreamResponse,
    forwarded_request,
)
from onyxpost.edge.upstream_connection import UpstreamConnection
from onyxpost.runtime.http1 import READ_CHUNK_BYTES, limit_read_size
from onyxpost.runtime.transport import LOCAL_RESOURCE_ERRNOS

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.runtime.transport import Transport

# Idle connections are closed after this share of the servers' keep-alive, before the servers close them.
IDLE_TIMEOUT_FRACTION = 0.75
# Minimum time between a response and the reuse of its connection. Without it, surplus bytes after a response
# would be read as the response to the next request.
MIN_IDLE_BEFORE_REUSE_MS = 30.0
# Results of attempts with a complete response that is not forwarded.
COMPLETE_RESPONSE_RESULTS = (AttemptResult.ERROR, AttemptResult.FULL)


@dataclass(frozen=True, slots=True)
class UpstreamPoolOptions:
    """Timeouts and callbacks of the pool."""

    connect_timeout_ms: float  # limit for establishing a connection; 0 means no limit
    keep_alive_ms: float  # time for which app servers keep an idle connection open
    has_capacity: Callable[[], bool]  # whether one more descriptor may be opened
    accepts_attempts: Callable[[Endpoint], bool]  # whether an endpoint accepts new attempts
    # Whether an attempt may still be sent, given its remaining time in ms.
    may_start_attempt: Callable[[SendAttempt, float], bool]
    report_fault: Callable[[str, BaseException], None]  # logs an unexpected exception


class UpstreamPool:
    """Holds the connections to all app servers, and the attempts in flight."""

    def __init__(
        self, transport: Transport, post_event: Callable[[EdgeEvent], None], options: UpstreamPoolOptions
    ) -> None:
        self.transport = transport
        self.clock = transport.clock  # in ms
        self.post_event = post_event  # receives the end of each attempt
        self.has_capacity = options.has_capacity
        self.may_start_attempt = options.may_start_attempt
        self.connection_count = 0  # open connections, including idle ones
        self.idle_connections: dict[Endpoint, list[UpstreamConnection]] = {}  # longest idle first
        self.tasks: dict[int, asyncio.Task[None]] = {}  # of the attempts in flight, by attempt id
        self._options = options
        self._idle_timeout_ms = IDLE_TIMEOUT_FRACTION * options.keep_alive_ms
        self._withdrawn_attempt_ids: set[int] = set()

    def start_attempt(self, attempt: SendAttempt) -> None:
        """Starts an attempt, whose end is posted as `AttemptEnded`."""
        loop = asyncio.get_running_loop()
        self.tasks[attempt.attempt_id] = loop.create_task(self._run(attempt, self.clock()))

    def cancel(self, attempt_id: int) -> None:
        """Ends an attempt in flight by closing its connection."""
        task = self.tasks.get(attempt_id)
        if task is not None and inspect.getcoroutinestate(cast(Any, task.get_coro())) == inspect.CORO_CREATED:
            # A task that is cancelled before its first step never runs, and so would not post the end.
            del self.tasks[attempt_id]
            self._withdrawn_attempt_ids.discard(attempt_id)
            self.post_event(AttemptEnded(attempt_id, AttemptResult.UNUSED, 0.0))
        if task is not None:
            task.cancel()

    def withdraw(self, attempt_id: int) -> None:
        """Prevents an attempt from being sent, unless sending has begun."""
        if attempt_id in self.tasks:
            self._withdrawn_attempt_ids.add(attempt_id)

    def retire_endpoint(self, endpoint: Endpoint) -> None:
        """Closes the idle connections to an endpoint that is draining, gone or has another address.

        Another server may get the address, so the connections must not be reused. Busy connections are
        closed once they are released.
        """
        for connection in self.idle_connections.pop(endpoint, []):
            self.close_connection(connection)

    async def connect(self, endpoint: Endpoint) -> UpstreamConnection:
        """Opens a connection to an endpoint.

        Raises:
            OSError: no descriptor is left, or the connection was not established in time or is unusable.
        """
        if not self.has_capacity():
            raise OSError(errno.EMFILE, "no file descriptor left for an upstream connection")
        self.connection_count += 1
        timeout_ms = self._options.connect_timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND if timeout_ms else None):
                connection = await self.open_connection(endpoint)
            if connection.is_input_read():
                return connection
            connection.abort()
            raise OSError("server closed or sent bytes before a request")  # noqa: TRY301 - handled below
        except BaseException as err:
            self.connection_count -= 1
            if isinstance(err, TimeoutError):
                raise OSError("connection not established within the connect timeout") from err
            raise

    async def open_connection(self, endpoint: Endpoint) -> UpstreamConnection:
        """Dials an endpoint, without a timeout."""
        dialed = await self.transport.dial(endpoint.address, READ_CHUNK_BYTES)
        limit_read_size(dialed.writer, READ_CHUNK_BYTES)
        return UpstreamConnection(endpoint, dialed)

    def close_connection(self, connection: UpstreamConnection) -> None:
        """Closes a connection that is not in `idle_connections`."""
        self.connection_count -= 1
        connection.abort()

    def close_expired(self) -> None:
        """Closes idle connections that have reached the idle timeout or were closed by the server."""
        for endpoint, connections in list(self.idle_connections.items()):
            kept = []
            for connection in connections:
                if self._is_usable(connection):
                    kept.append(connection)
                else:
                    self.close_connection(connection)
            self.idle_connections[endpoint] = kept
            if not kept:
                del self.idle_connections[endpoint]

    def evict_oldest_idle(self) -> bool:
        """Closes the connection that has been idle for the longest time.

        Returns:
            Whether there was an idle connection.
        """
        candidates = (connections[0] for connections in self.idle_connections.values() if connections)
        oldest = min(candidates, key=lambda connection: connection.idle_since, default=None)
        if oldest is None:
            return False
        self.idle_connections[oldest.endpoint].remove(oldest)
        self.close_connection(oldest)
        return True

    def close(self) -> None:
        """Cancels all attempts and closes all idle connections."""
        for task in list(self.tasks.values()):
            task.cancel()
        while self.evict_oldest_idle():
            pass

    async def _run(self, attempt: SendAttempt, started_at: float) -> None:
        """Runs one attempt and posts its end, also after an exception or cancellation."""
        connection: UpstreamConnection | None = None
        result = AttemptResult.NO_CONNECTION
        response: UpstreamResponse | None = None
        try:
            async with asyncio.timeout(attempt.timeout_ms / MS_PER_SECOND):
                connection = self._take_idle_connection(attempt.endpoint) or await self.connect(
                    attempt.endpoint
                )
                remaining_ms = attempt.timeout_ms - (self.clock() - started_at)
                if attempt.attempt_id in self._withdrawn_attempt_ids or not self.may_start_attempt(
                    attempt, remaining_ms
                ):
                    result = AttemptResult.UNUSED
                    return
                result, response = await connection.exchange(
                    *forwarded_request(attempt.request, remaining_ms)
                )
        except TimeoutError:
            result = _result_if_sent(connection, AttemptResult.EXPIRED)
        except asyncio.CancelledError:
            result = AttemptResult.CANCELLED
        except Exception as err:
            result = self._handle_error(connection, err)
        finally:
            self.tasks.pop(attempt.attempt_id, None)
            self._withdrawn_attempt_ids.discard(attempt.attempt_id)
            if connection is not None:
                is_complete = response is not None or result in COMPLETE_RESPONSE_RESULTS
                self._release(connection, completed=is_complete)
            self.post_event(AttemptEnded(attempt.attempt_id, result, self.clock() - started_at, response))

    def _handle_error(self, connection: UpstreamConnection | None, err: Exception) -> AttemptResult:
        if not isinstance(err, OSError | EOFError | h11.RemoteProtocolError):
            self._options.report_fault("upstream attempt", err)
        if connection is None and getattr(err, "errno", None) in LOCAL_RESOURCE_ERRNOS:
            return AttemptResult.UNUSED  # the server must not be ejected for a shortage of this node
        return _result_if_sent(connection, AttemptResult.LOST)

    def _take_idle_connection(self, endpoint: Endpoint) -> UpstreamConnection | None:
        """Removes and returns the most recently used connection that may be reused.

        A connection may be reused once it has been idle for `MIN_IDLE_BEFORE_REUSE_MS`. The other connections
        stay idle and can expire.
        """
        connections = self.idle_connections.get(endpoint, [])
        latest_release = self.clock() - MIN_IDLE_BEFORE_REUSE_MS
        for index in range(len(connections) - 1, -1, -1):
            if connections[index].idle_since <= latest_release:
                connection = connections.pop(index)
                if self._is_usable(connection) and connection.is_input_read():
                    return connection
                self.close_connection(connection)
        return None

    def _is_usable(self, connection: UpstreamConnection) -> bool:
        return not connection.is_unusable() and self.clock() - connection.idle_since < self._idle_timeout_ms

    def _release(self, connection: UpstreamConnection, *, completed: bool) -> None:
        """Returns a connection to the pool, or closes it.

        Args:
            connection: the connection of an attempt that has ended.
            completed: whether the response was read to its end.
        """
        endpoint = connection.endpoint
        if completed and connection.prepare_reuse() and self._options.accepts_attempts(endpoint):
            connection.on_released(self.clock())
            self.idle_connections.setdefault(endpoint, []).append(connection)
        else:
            self.close_connection(connection)


def _result_if_sent(connection: UpstreamConnection | None, result: AttemptResult) -> AttemptResult:
    """Returns `result` if the request was sent completely, else `NO_CONNECTION`.

    A server cannot have executed a request whose last byte was not sent.
    """
    is_sent = connection is not None and connection.is_request_sent()
    return result if is_sent else AttemptResult.NO_CONNECTION
