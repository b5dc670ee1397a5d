"""A stub app server, which answers each request with a page after a latency, or fails in a chosen way."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import h11

from onyxpost.core.types import EndpointState
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.runtime.http1 import encode_message
from onyxpost.simulation.stubs.http import ACCEPTS_PER_TURN, STREAM_LIMIT_BYTES, read_request
from onyxpost.simulation.stubs.observer import RequestObserver, ServerIdentity

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import Listener, Transport

LIFECYCLES = {EndpointState.READY: "up", EndpointState.DRAINING: "draining", EndpointState.GONE: "removed"}
DEFAULT_LATENCY_MS = 20.0
HANG_SECONDS = 3600.0


class ServerBehavior(StrEnum):
    """How a server handles the requests that it receives."""

    SERVE = "serve"
    BUSY = "busy"  # answers at once with 503 and `X-Never-Ran`, without executing the request
    HANG = "hang"
    DROP = "drop"  # executes the request, then aborts the connection without an answer
    FAIL = "fail"  # executes the request, then answers 500


class Malformation(StrEnum):
    """Ways in which a response is malformed."""

    TRUNCATED = "truncated"
    DUPLICATED = "duplicated"
    PRECEDED_BY_NOISE = "preceded-by-noise"
    WRONG_LENGTH = "wrong-length"


class AppServer:
    """One incarnation of a stub app server.

    Attributes:
        address: Address to listen on; the owner replaces port 0 by the bound port.
        state: State of its endpoint, as discovery reports it. Unless it is `READY`, the server answers as
            under `ServerBehavior.BUSY`.
        started_at_ms: Unix time of its start in ms; 0 if the server started long ago and is warm.
        behavior: How the server handles requests that it receives from now on.
        latency_ms: Time from a request to its answer.
        malformations: Malformations of the next responses, one for each; the connection is closed after a
            malformed response.
        page_bytes: Minimum size of a page.
        served_count: Number of well-formed pages sent so far.
    """

    def __init__(
        self,
        transport: Transport,
        observer: RequestObserver,
        index: int,
        incarnation: int,
        address: Address,
        zone: str,
    ) -> None:
        self.transport = transport
        self.observer = observer
        self.identity = ServerIdentity(f"s{index}-{incarnation}", index, incarnation, zone)
        self.host = f"s{index}.{incarnation}"
        self.address = address
        self.state = EndpointState.READY
        self.started_at_ms = 0.0
        self.behavior = ServerBehavior.SERVE
        self.latency_ms = DEFAULT_LATENCY_MS
        self.malformations: list[Malformation] = []
        self.page_bytes = 0
        self.served_count = 0
        self.listener: Listener | None = None

    @property
    def id(self) -> str:
        """The instance id of the server in discovery."""
        return self.identity.id

    @property
    def index(self) -> int:
        """The index of the server among all servers, which its incarnations share."""
        return self.identity.index

    @property
    def incarnation(self) -> int:
        """The number of earlier incarnations of the server."""
        return self.identity.incarnation

    @property
    def zone(self) -> str:
        """The zone of the server."""
        return self.identity.zone

    async def open(self) -> None:
        """Starts listening. Raises ListenError if the address cannot be bound."""
        self.listener = await self.transport.listen(
            self.serve, self.address, STREAM_LIMIT_BYTES, ACCEPTS_PER_TURN
        )

    def endpoint_row(self) -> dict[str, Any]:
        """Returns the row of the server in the format of the discovery protocol."""
        return {
            "instanceId": self.id,
            "hostPort": "{}:{}".format(*self.address),
            "zone": self.zone,
            "cell": self.identity.cell,
            "lifecycle": LIFECYCLES[self.state],
            "startedAtMs": self.started_at_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the requests of one connection until either side closes it."""
        http = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError, asyncio.IncompleteReadError):
            while await self._serve_request(http, reader, writer):
                http.start_next_cycle()
        writer.close()

    async def _serve_request(
        self, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns whether the connection can be used for another."""
        request = await read_request(http, reader)
        if request is None:
            return False
        trace_id = dict(request.head.headers).get(b"x-trace-id", b"").decode()
        attempt = self.observer.on_attempt_received(writer, trace_id, self.identity)
        behavior = self.behavior
        if behavior is ServerBehavior.BUSY or self.state is not EndpointState.READY:
            self.observer.on_attempt_not_executed(attempt, trace_id)
            writer.write(encode_message(http, _empty_response(HTTPStatus.SERVICE_UNAVAILABLE, "X-Never-Ran")))
            return True
        await asyncio.sleep(self.latency_ms / MS_PER_SECOND)
        if behavior is ServerBehavior.HANG:
            await asyncio.sleep(HANG_SECONDS)
        if behavior is ServerBehavior.DROP:
            writer.transport.abort()
            return False
        if behavior is ServerBehavior.FAIL:
            writer.write(encode_message(http, _empty_response(HTTPStatus.INTERNAL_SERVER_ERROR)))
            return True
        return self._send_page(http, writer, trace_id)

    def _send_page(self, http: h11.Connection, writer: asyncio.StreamWriter, trace_id: str) -> bool:
        """Sends the page; returns whether the connection can be used for another request."""
        body = (b"page of " + trace_id.encode()).ljust(self.page_bytes, b".")
        head = h11.Response(status_code=HTTPStatus.OK, headers=[("Content-Length", str(len(body)))])
        response = encode_message(http, head, body)
        if self.malformations:
            writer.write(malformed_response(self.malformations.pop(0), response))
            return False
        self.served_count += 1
        writer.write(response)
        return True


def malformed_response(malformation: Malformation, response: bytes) -> bytes:
    """Returns the bytes of `response` with the given malformation."""
    match malformation:
        case Malformation.TRUNCATED:
            return response[:-3]
        case Malformation.DUPLICATED:
            return response + response.replace(b"page of", b"copy of")
        case Malformation.PRECEDED_BY_NOISE:
            return b"\x16\x03\x01 noise \r\n\r\n" + response
        case Malformation.WRONG_LENGTH:
            return response.replace(b"Content-Length: ", b"Content-Length: 9")


def _empty_response(status: HTTPStatus, *flags: str) -> h11.Response:
    """Returns a response head without a body; each of `flags` is a header with the value 1."""
    headers = [(flag, "1") for flag in flags]
    return h11.Response(status_code=status, headers=[*headers, ("Content-Length", "0")])
