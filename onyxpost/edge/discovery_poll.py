"""Sends one poll for discovery's endpoint list, decodes the answer and classifies failures."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import h11

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.edge.errors import DiscoveryOverloadedError
from onyxpost.edge.messages import EndpointUpdate, decode_endpoint_update
from onyxpost.edge.poll_schedule import PollFailure
from onyxpost.errors import InvalidInputError
from onyxpost.runtime.http1 import READ_CHUNK_BYTES, encode_message, read_response, start_next_cycle
from onyxpost.runtime.transport import LOCAL_RESOURCE_ERRNOS, ByteCountingReader, Transport

if TYPE_CHECKING:
    from onyxpost.config.address import Address

CONNECT_TIMEOUT_MS = 2000.0
LATE_ANSWER_TIMEOUT_MS = 4000.0  # how long the oldest poll is kept open while newer ones are sent
MAX_ANSWER_BYTES = 8 * 1024 * 1024  # limits the memory for a list of endpoints
STATUS_OK = 200


class DiscoveryConnection(NamedTuple):
    """A connection to discovery that can carry one poll at a time."""

    reader: ByteCountingReader
    writer: asyncio.StreamWriter
    http: h11.Connection

    def abort(self) -> None:
        """Closes the connection at once."""
        self.writer.transport.abort()


class PollAnswer(NamedTuple):
    """The answer to a poll, and its connection if it can be reused."""

    connection: DiscoveryConnection | None
    update: EndpointUpdate


class PollFailedError(Exception):
    """A poll failed.

    Attributes:
        failure: the kind of failure.
        cause: the original error.
    """

    def __init__(self, failure: PollFailure, cause: Exception) -> None:
        super().__init__(str(cause))
        self.failure = failure
        self.cause = cause


class OpenPoll(NamedTuple):
    """A poll that is not answered yet. `started_at` is a time of the node's clock, in ms."""

    task: asyncio.Task[PollAnswer]
    address: Address
    started_at: float
    long_poll_ms: float


async def poll_endpoints(
    transport: Transport, address: Address, connection: DiscoveryConnection | None, query: str
) -> PollAnswer:
    """Sends one poll and returns its answer.

    Args:
        transport: dials a new connection.
        address: the address of discovery.
        connection: an idle connection to `address`; None dials a new one.
        query: the query string of the request.

    Raises:
        PollFailedError: the poll got no valid answer.
    """
    received_before = 0
    try:
        if connection is None:
            connection = await _connect(transport, address)
        received_before = connection.reader.bytes_received
        update = await _exchange(connection, address, query)
    except (
        OSError,
        ValueError,
        h11.ProtocolError,
        InvalidInputError,
    ) as err:  # a ValueError is caused by an invalid host name
        if connection is not None:
            connection.abort()
        has_answer_started = connection is not None and connection.reader.bytes_received > received_before
        raise PollFailedError(
            _classify(err, is_connected=connection is not None, has_answer_started=has_answer_started), err
        ) from err
    except BaseException:
        if connection is not None:
            connection.abort()
        raise
    if not start_next_cycle(connection.http):
        connection.abort()
        connection = None
    return PollAnswer(connection, update)


def limit_open_polls(polls: list[OpenPoll], max_open: int, now: float) -> None:
    """Closes polls so that one more can be opened.

    The oldest poll is kept for `LATE_ANSWER_TIMEOUT_MS`, as its answer may only be late. If too many polls
    are open, the second oldest is closed.

    Args:
        polls: the open polls, oldest first.
        max_open: the maximum number of open polls.
        now: the current time, in ms.
    """
    if polls and now - polls[0].started_at >= LATE_ANSWER_TIMEOUT_MS:
        close_polls(polls, 0, 1)
    if len(polls) >= max_open:
        close_polls(polls, 1, 2)


def close_polls(polls: list[OpenPoll], first: int = 0, end: int | None = None) -> None:
    """Cancels the polls in `polls[first:end]` and removes them from the list."""
    for poll in polls[first:end]:
        if not poll.task.cancel() and not poll.task.cancelled() and not poll.task.exception():
            # Two polls were answered in the same turn of the event loop, and one connection is enough.
            connection = poll.task.result().connection
            if connection is not None:
                connection.abort()
    del polls[first:end]


async def _connect(transport: Transport, address: Address) -> DiscoveryConnection:
    async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_SECOND):
        reader, writer, *_ = await transport.dial(address, READ_CHUNK_BYTES)
    return DiscoveryConnection(reader, writer, h11.Connection(h11.CLIENT))


async def _exchange(connection: DiscoveryConnection, address: Address, query: str) -> EndpointUpdate:
    host = [("Host", "{}:{}".format(*address))]
    request = h11.Request(method="GET", target=f"/v1/servers{query}", headers=host)
    connection.writer.write(encode_message(connection.http, request))
    read = partial(connection.reader.read, READ_CHUNK_BYTES)
    response, body = await read_response(connection.http, read, MAX_ANSWER_BYTES)
    if response.status_code != STATUS_OK:
        raise DiscoveryOverloadedError(f"expected status 200, got {response.status_code}")
    return decode_endpoint_update(body)


def _classify(err: Exception, *, is_connected: bool, has_answer_started: bool) -> PollFailure:
    """Returns the kind of failure; `has_answer_started` is whether any byte of an answer arrived."""
    if isinstance(err, DiscoveryOverloadedError):
        return PollFailure.OVERLOADED
    if has_answer_started or (is_connected and not isinstance(err, OSError)):
        return PollFailure.MALFORMED_ANSWER
    if getattr(err, "errno", None) in LOCAL_RESOURCE_ERRNOS:
        return PollFailure.LOCAL_RESOURCES
    return PollFailure.CONNECTION_CLOSED if is_connected else PollFailure.UNREACHABLE
