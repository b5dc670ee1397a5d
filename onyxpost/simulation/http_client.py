"""The HTTP client of the simulations: one connection, and the headers of a request to a node."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

import h11

from onyxpost.runtime.http1 import READ_CHUNK_BYTES, encode_message, read_response, start_next_cycle

if TYPE_CHECKING:
    from onyxpost.config.address import Address

MAX_RESPONSE_BYTES = 2**24

PASSED = "passed"
REJECTED = "denied"  # the name in result files
ABORTED = "aborted"
OUTCOMES: dict[int, str] = {
    HTTPStatus.OK: PASSED,
    HTTPStatus.TOO_MANY_REQUESTS: REJECTED,
    HTTPStatus.SERVICE_UNAVAILABLE: REJECTED,
}


def outcome_of(status: int) -> str:
    """Returns the outcome for the status of an answer; any status but 200, 429 and 503 counts as aborted."""
    return OUTCOMES.get(status, ABORTED)


class RequestFields(NamedTuple):
    """The fields of a request that a node reads from its headers."""

    trace_id: str
    plan: str
    customer: int
    timeout_ms: float
    units: int
    node_count: int = 1  # number of nodes that receive requests of this customer
    first_node_index: int = 0

    def headers(self) -> list[tuple[str, str]]:
        """Returns all headers of the request, including `Host`."""
        return [
            ("Host", "onyxpost"),
            ("X-Trace-Id", self.trace_id),
            ("Plan", self.plan),
            ("Cookie", f"key={self.customer:016x}"),
            ("X-Expires-In", f"{self.timeout_ms:.0f}m"),
            ("Quota-Info", f"units={self.units},spread={self.node_count},first={self.first_node_index}"),
        ]


class HttpResponse(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpClient:
    """One connection, which carries one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)

    @classmethod
    async def connect(cls, address: Address) -> HttpClient:
        """Opens a connection. Raises OSError if the connection attempt fails."""
        reader, writer = await asyncio.open_connection(*address)
        return cls(reader, writer)

    async def exchange(self, request: h11.Request, body: bytes = b"") -> HttpResponse:
        """Sends a request and returns its complete response.

        Raises:
            OSError: The connection broke.
            h11.ProtocolError: The response is malformed or truncated.
        """
        self._writer.write(encode_message(self._http, request, body))
        response, content = await read_response(
            self._http, lambda: self._reader.read(READ_CHUNK_BYTES), MAX_RESPONSE_BYTES
        )
        headers = {name.decode(): value.decode() for name, value in response.headers}
        return HttpResponse(response.status_code, headers, content)

    def start_next_request(self) -> bool:
        """Prepares the connection for another request; returns False if either side closes it instead."""
        return start_next_cycle(self._http)

    def is_open(self) -> bool:
        """Whether neither side is known to have closed the connection."""
        return not self._reader.at_eof() and not self._writer.transport.is_closing()

    def close(self) -> None:
        """Closes the connection without waiting for the transport to close."""
        self._writer.close()
