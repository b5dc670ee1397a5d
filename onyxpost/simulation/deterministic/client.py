"""Simulated clients, each of which sends one request to an edge node and classifies the answer."""

from __future__ import annotations

import asyncio
from collections import Counter
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

import h11

from onyxpost.core.types import Idempotency
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.runtime.http1 import READ_CHUNK_BYTES, encode_message
from onyxpost.simulation.invariants import Invariant, Violation

if TYPE_CHECKING:
    from onyxpost.core.types import Frontend
    from onyxpost.simulation.deterministic.node import SimulatedNode
    from onyxpost.simulation.deterministic.observer import ClusterObserver
    from onyxpost.simulation.invariants import InvariantChecker
    from onyxpost.simulation.virtual_time import VirtualHost

STREAM_LIMIT_BYTES = 65536
POST_BODY = b"xx"
REJECTED_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class ClientOutcome(StrEnum):
    """The outcome of a request as its client sees it; the values are part of the digests of runs."""

    SUCCEEDED = "passed"
    REJECTED = "denied"
    ABORTED = "aborted"
    DISCONNECTED = "left"
    NOT_CONNECTED = "refused"
    NO_ANSWER = "cut"


class ClientRequest(NamedTuple):
    """A request that a client sends to one edge node."""

    trace_id: str
    node: SimulatedNode
    frontend: Frontend
    plan: str
    customer: int
    units: int
    disconnect_after_ms: float
    """How long the client waits for the answer before it disconnects."""

    @property
    def has_body(self) -> bool:
        """Whether the request is a POST, as all requests are whose frontend is not idempotent."""
        return self.frontend.idempotency is not Idempotency.IDEMPOTENT


class Clients:
    """Sends requests and reports their outcomes to the invariant checker.

    Attributes:
        connected: Number of requests whose client could connect.
        outcomes: Number of those requests by outcome.
    """

    def __init__(
        self, host: VirtualHost, checker: InvariantChecker, observer: ClusterObserver, spread: int
    ) -> None:
        self._host = host
        self._checker = checker
        self._observer = observer
        self._spread = spread  # number of nodes among which a customer's requests are distributed
        self.connected = 0
        self.outcomes: Counter[ClientOutcome] = Counter()

    async def send(self, request: ClientRequest) -> ClientOutcome:
        """Sends a request and waits for its answer until the client disconnects."""
        http = h11.Connection(h11.CLIENT)
        encoded = self._encode(http, request)
        try:
            reader, writer, *_ = await self._host.dial(request.node.address, STREAM_LIMIT_BYTES)
        except OSError:
            return ClientOutcome.NOT_CONNECTED
        incarnation = request.node.incarnation
        self.connected += 1
        self._report_received(request)
        writer.write(encoded)
        try:
            async with asyncio.timeout(request.disconnect_after_ms / MS_PER_SECOND):
                outcome = await _read_outcome(http, reader, request.trace_id)
        except TimeoutError:
            writer.transport.abort()
            outcome = ClientOutcome.DISCONNECTED
            now_ms = self._host.monotonic()
            self._checker.on_client_disconnected(now_ms, request.node.name, request.trace_id)
        except (OSError, h11.ProtocolError) as error:
            outcome = ClientOutcome.NO_ANSWER
            if request.node.is_running_incarnation(incarnation):
                self._report_no_answer(request, error)
        else:
            writer.close()
            if request.node.is_running_incarnation(incarnation):
                now_ms = self._host.monotonic()
                self._checker.on_final_answer(now_ms, request.node.name, request.trace_id, outcome.value)
        self.outcomes[outcome] += 1
        return outcome

    def _encode(self, http: h11.Connection, request: ClientRequest) -> bytes:
        frontend = request.frontend
        headers = [
            ("Host", "b"),
            ("X-Trace-Id", request.trace_id),
            ("Plan", request.plan),
            ("Cookie", f"key={request.customer:016x}"),
            ("X-Expires-In", f"{frontend.client_timeout_ms:.0f}m"),
            ("Quota-Info", f"units={request.units},spread={self._spread},first=0"),
        ]
        if request.has_body:
            headers += [("Idempotency-Key", request.trace_id), ("Content-Length", str(len(POST_BODY)))]
        method = "POST" if request.has_body else "GET"
        head = h11.Request(method=method, target=f"/{frontend.name}/1", headers=headers)
        return encode_message(http, head, POST_BODY if request.has_body else b"")

    def _report_received(self, request: ClientRequest) -> None:
        now_ms = self._host.monotonic()
        self._observer.on_request_sent(request.trace_id, request.plan)
        self._checker.on_request_received(
            now_ms,
            request.node.name,
            request.trace_id,
            request.frontend,
            f"{request.customer:x}",
            request.units,
            now_ms + request.frontend.client_timeout_ms,
        )

    def _report_no_answer(self, request: ClientRequest, error: Exception) -> None:
        now_ms = self._host.monotonic()
        description = f"no complete answer: {error!r}"
        self._checker.record_violation(
            Violation(Invariant.ANSWERS, now_ms, request.node.name, request.trace_id, "", description)
        )


async def _read_outcome(http: h11.Connection, reader: asyncio.StreamReader, trace_id: str) -> ClientOutcome:
    """Reads one response. Raises OSError or h11.ProtocolError if it is incomplete or for another request."""
    body = b""
    status = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(READ_CHUNK_BYTES)
            if not data and not status:
                raise ConnectionResetError("closed without an answer")
            http.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            break
        else:
            raise h11.RemoteProtocolError(f"{event!r}")
    if status != HTTPStatus.OK:
        return ClientOutcome.REJECTED if status in REJECTED_STATUSES else ClientOutcome.ABORTED
    if body != b"page of " + trace_id.encode():
        raise h11.RemoteProtocolError(f"succeeded with {body!r}")
    return ClientOutcome.SUCCEEDED
