"""Sends each request when it is due, whether or not earlier ones were answered.

A latency is measured from the time at which the request was due, so that a stall shows in full in every
request that it held up (open-loop load, without coordinated omission).
"""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import h11

from onyxpost.core.types import Idempotency
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.http_client import HttpClient, RequestFields, outcome_of
from onyxpost.simulation.load.options import LoadOptions, check_options, require_loopback
from onyxpost.simulation.load.results import LoadResults
from onyxpost.simulation.open_loop import BackgroundTasks, timed_arrivals

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.config.deployment import Deployment
    from onyxpost.core.types import Frontend

ANSWER_GRACE_MS = 250.0  # past the client's timeout, in which an answer on its way still counts
LATE_MS = 5.0  # a request that is sent later than this after it was due was held up by the generator
DRAIN_SECONDS = 60.0  # for the last requests to be answered
CONNECTION_POLL_SECONDS = 0.001  # while all connections are in use
MAX_UNITS = 4
MAX_CUSTOMER_NODES = 3
BODY = b"xx"
CUT = "cut"
TIMED_OUT = "timed_out"


class DrawnRequest(NamedTuple):
    """A request, as it is drawn."""

    frontend: Frontend
    head: h11.Request
    body: bytes


class LoadGenerator:
    """Clients of one node, which share a bounded number of connections.

    Args:
        address: Of the node, on loopback.
        deployment: Its frontends and plans, which the requests use.
        options: The load.
        answer_grace_ms: Time after a client's timeout in which its answer still counts; a test that must not
            depend on the machine's speed gives more.
    """

    def __init__(
        self,
        address: Address,
        deployment: Deployment,
        options: LoadOptions,
        answer_grace_ms: float = ANSWER_GRACE_MS,
    ) -> None:
        self.address = require_loopback(address)
        self.deployment = deployment
        self.options = check_options(options)
        self.results = LoadResults()
        self._answer_grace_ms = answer_grace_ms
        self._rng = Random(options.seed)
        self._idle: list[HttpClient] = []
        self._open_connections = 0
        self._trace_prefix = f"{time.time_ns() & 0xFFFFFFFF:08x}"  # trace ids are new in each run
        self._started_at = 0.0

    async def run(self) -> LoadResults:
        """Sends the load and returns its results once the last request has ended."""
        self._started_at = time.monotonic()
        tasks = BackgroundTasks()
        options = self.options
        arrivals = timed_arrivals(self._rng, options.rate, options.seconds, self._elapsed_seconds)
        async for arrival in arrivals:
            tasks.start(self._send(arrival.number, arrival.due_seconds))
        await tasks.wait(DRAIN_SECONDS)
        for client in self._idle:
            client.close()
        return self.results

    def _elapsed_seconds(self) -> float:
        return time.monotonic() - self._started_at

    def _draw_request(self, number: int) -> DrawnRequest:
        rng = self._rng
        deployment = self.deployment
        frontend = rng.choice(deployment.frontends)
        plan = rng.choice(deployment.plans)
        units = rng.randint(1, max(1, min(MAX_UNITS, deployment.max_request_units)))
        fields = RequestFields(
            trace_id=f"{self._trace_prefix}{number:08x}",
            plan=plan.name,
            customer=rng.randrange(self.options.customers),
            timeout_ms=frontend.client_timeout_ms,
            units=units,
            node_count=max(1, min(MAX_CUSTOMER_NODES, deployment.node_count)),
            first_node_index=deployment.node_index,
        )
        headers = fields.headers()
        target = f"/{frontend.name}/{number}"
        if frontend.idempotency is Idempotency.IDEMPOTENT:
            return DrawnRequest(frontend, h11.Request(method="GET", target=target, headers=headers), b"")
        headers += [("Idempotency-Key", fields.trace_id), ("Content-Length", str(len(BODY)))]
        return DrawnRequest(frontend, h11.Request(method="POST", target=target, headers=headers), BODY)

    async def _send(self, number: int, due_seconds: float) -> None:
        request = self._draw_request(number)
        if (self._elapsed_seconds() - due_seconds) * MS_PER_SECOND > LATE_MS:
            self.results.late_requests += 1
        timeout_ms = request.frontend.client_timeout_ms + self._answer_grace_ms
        deadline_seconds = due_seconds + timeout_ms / MS_PER_SECOND
        client = None
        is_answered = False
        try:
            async with asyncio.timeout(max(0.0, deadline_seconds - self._elapsed_seconds())):
                client = await self._connection()
                response = await client.exchange(request.head, request.body)
            is_answered = True
            outcome = outcome_of(response.status)
        except TimeoutError:
            outcome = TIMED_OUT
        except (OSError, h11.ProtocolError):
            outcome = CUT
        latency_ms = (self._elapsed_seconds() - due_seconds) * MS_PER_SECOND
        self.results.add(due_seconds, latency_ms, outcome)
        if client is None:
            return
        if is_answered and client.start_next_request():
            self._idle.append(client)
        else:
            self._close(client)

    async def _connection(self) -> HttpClient:
        """Returns an idle connection, or a new one once fewer than the limit are open."""
        while self._idle or self._open_connections >= self.options.connections:
            if not self._idle:
                await asyncio.sleep(CONNECTION_POLL_SECONDS)  # the request's time runs on
                continue
            client = self._idle.pop()
            if client.is_open():
                return client
            self._close(client)
        self._open_connections += 1
        try:
            client = await HttpClient.connect(self.address)
        except BaseException:
            self._open_connections -= 1
            raise
        self.results.connections_opened += 1
        return client

    def _close(self, client: HttpClient) -> None:
        self._open_connections -= 1
        client.close()


def generate_load(address: Address, deployment: Deployment, options: LoadOptions) -> LoadResults:
    """Runs a `LoadGenerator` in an event loop of its own."""
    return asyncio.run(LoadGenerator(address, deployment, options).run())
