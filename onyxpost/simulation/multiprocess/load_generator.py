"""Sends open-loop load to all nodes, and records the outcome of each request for its client. I/O."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import h11

from onyxpost.core.types import Frontend, Idempotency
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.runtime.http1 import READ_CHUNK_BYTES, encode_message, read_response
from onyxpost.simulation.multiprocess.history import (
    TIMED_OUT,
    ConnectionRefused,
    RequestAnswered,
    RequestSent,
    RequestUnanswered,
    UnexpectedResponse,
)
from onyxpost.simulation.multiprocess.socket_arrival import unread_ms
from onyxpost.simulation.open_loop import BackgroundTasks, poisson_arrivals

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.run_context import RunContext

ANSWER_GRACE_MS = 250.0  # answers are read up to this time after the client's timeout
EXTRA_BYTES_WAIT_SECONDS = 0.1  # time after an answer in which no more bytes may arrive
MAX_RESPONSE_BYTES = 65536
MAX_DESCRIPTION_CHARS = 200
OUTCOMES_BY_STATUS = {200: "passed", 429: "denied", 503: "denied", 502: "aborted"}
BODY = b"xx"
TIGHT_PLAN_INTERVAL = 3  # every third customer has the plan with the low hard limit


class DrawnRequest(NamedTuple):
    """A client's request with its random properties."""

    trace: str
    frontend: Frontend
    node: str
    customer: int
    units: int

    @property
    def plan(self) -> str:
        """The customer's plan."""
        return "open" if self.customer % TIGHT_PLAN_INTERVAL else "tight"

    @property
    def body(self) -> bytes:
        """The body of the request; empty for requests of idempotent frontends, which are sent as GET."""
        return b"" if self.frontend.idempotency is Idempotency.IDEMPOTENT else BODY

    def to_http(self, nodes: int) -> h11.Request:
        """Returns the head of the request, which spreads the customer's load over this number of nodes."""
        headers = [
            ("Host", "onyxpost"),
            ("X-Trace-Id", self.trace),
            ("Plan", self.plan),
            ("Cookie", f"key={self.customer:016x}"),
            ("X-Expires-In", f"{self.frontend.client_timeout_ms:.0f}m"),
            ("Quota-Info", f"units={self.units},spread={nodes},first=0"),
        ]
        if self.body:
            headers += [("Idempotency-Key", self.trace), ("Content-Length", str(len(self.body)))]
        method = "POST" if self.body else "GET"
        return h11.Request(method=method, target=f"/{self.frontend.name}/1", headers=headers)


class LoadGenerator:
    """Clients of all nodes; each client sends one request over its own connection."""

    def __init__(self, context: RunContext, frontends: Sequence[Frontend], max_units: int) -> None:
        self.context = context
        self.frontends = frontends
        self.max_units = max_units
        self.rng = Random(f"{context.seed}/load")

    async def run(self, seconds: float) -> None:
        """Sends requests for the given time, and waits until all have ended."""
        tasks = BackgroundTasks()
        rate = self.context.scenario.load.rate
        async for number in poisson_arrivals(self.rng, rate, seconds, self.context.now_seconds):
            tasks.start(self._send(f"r{self.context.seed:x}.{number}"))
        await tasks.wait()

    def _draw_request(self, trace: str) -> DrawnRequest:
        scenario = self.context.scenario
        frontend = self.rng.choice(self.frontends)
        node = f"n{self.rng.randrange(scenario.nodes)}"
        customer = self.rng.randrange(scenario.load.customers)
        units = self.rng.randint(1, self.max_units)
        return DrawnRequest(trace, frontend, node, customer, units)

    async def _send(self, trace: str) -> None:
        context = self.context
        request = self._draw_request(trace)
        try:
            reader, writer = await asyncio.open_connection(*context.addresses[request.node])
        except OSError:
            context.record(ConnectionRefused(context.now_ms(), node=request.node, trace=trace))
            return
        context.record(
            RequestSent(
                context.now_ms(),
                node=request.node,
                trace=trace,
                frontend=request.frontend.name,
                customer=f"{request.customer:x}",
                plan=request.plan,
                units=request.units,
            )
        )
        try:
            await self._exchange(request, reader, writer)
        except TimeoutError:
            context.record(RequestUnanswered(context.now_ms(), trace=trace, cause=TIMED_OUT))
        except (OSError, h11.ProtocolError) as error:
            cause = f"cut ({type(error).__name__})"
            context.record(RequestUnanswered(context.now_ms(), trace=trace, cause=cause))
        finally:
            writer.transport.abort()

    async def _exchange(
        self, request: DrawnRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        context = self.context
        trace = request.trace
        http = h11.Connection(h11.CLIENT)
        writer.write(encode_message(http, request.to_http(context.scenario.nodes), request.body))
        timeout_ms = request.frontend.client_timeout_ms + ANSWER_GRACE_MS
        async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
            response, body = await read_response(
                http, lambda: reader.read(READ_CHUNK_BYTES), MAX_RESPONSE_BYTES
            )
        outcome = OUTCOMES_BY_STATUS.get(response.status_code, str(response.status_code))
        answered_at_ms = context.ms_before_now(unread_ms(writer))
        context.record(RequestAnswered(answered_at_ms, trace=trace, outcome=outcome))
        if outcome == "passed" and body != b"page of " + trace.encode():
            self._record_unexpected(trace, f"passed with the wrong body {bytes(body)!r}")
        extra = http.trailing_data[0] + await _read_extra(reader)
        if extra:
            self._record_unexpected(trace, f"more bytes after the answer: {extra!r}")

    def _record_unexpected(self, trace: str, description: str) -> None:
        event = UnexpectedResponse(
            self.context.now_ms(), trace=trace, description=description[:MAX_DESCRIPTION_CHARS]
        )
        self.context.record(event)


async def _read_extra(reader: asyncio.StreamReader) -> bytes:
    """Returns bytes that arrive within `EXTRA_BYTES_WAIT_SECONDS`; empty if none do."""
    try:
        async with asyncio.timeout(EXTRA_BYTES_WAIT_SECONDS):
            return await reader.read(READ_CHUNK_BYTES)
    except (TimeoutError, OSError):
        return b""
