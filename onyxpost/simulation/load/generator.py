"""Open-loop load generator: sends each request at its due time, even if earlier requests are unanswered.

Latencies are measured from the due time, so that a stall of the node is fully visible in every request that
it delayed (no coordinated omission).
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

ANSWER_GRACE_MS = 250.0  # added to the client's timeout, for answers that are on their way then
MAX_SEND_DELAY_MS = 5.0  # from the due time; a longer delay counts as caused by the generator itself
DRAIN_TIMEOUT_SECONDS = 60.0  # time to wait for outstanding answers after the last request
CONNECTION_POLL_SECONDS = 0.001  # interval of the checks for an idle connection
MAX_UNITS = 4
MAX_CUSTOMER_NODES = 3
REQUEST_BODY = b"xx"
CUT = "cut"
TIMED_OUT = "timed_out"


class DrawnRequest(NamedTuple):
    """A randomly drawn request, ready to be sent."""

    frontend: Frontend
    head: h11.Request
    body: bytes


class LoadGenerator:
    """Simulates clients of one node, which share a bounded number of connections.

    Args:
        address: Address of the node, on loopback.
        deployment: Settings of the node, whose frontends and plans the requests use.
        options: Rate, duration, customers, connections and seed of the load.
        answer_grace_ms: Time after a client's timeout in which its answer is still accepted. Tests that must
            not depend on the speed of the machine set a larger value.
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
        self._idle_connections: list[HttpClient] = []
        self._open_connections = 0
        self._trace_prefix = f"{time.time_ns() & 0xFFFFFFFF:08x}"  # makes the trace ids of each run unique
        self._started_at = 0.0

    async def run(self) -> LoadResults:
        """Sends the load; returns the results at most `DRAIN_TIMEOUT_SECONDS` after the last arrival."""
        self._started_at = time.monotonic()
        tasks = BackgroundTasks()
        options = self.options
        arrivals = timed_arrivals(self._rng, options.rate, options.seconds, self._elapsed_seconds)
        async for arrival in arrivals:
            tasks.start(self._send(arrival.number, arrival.due_seconds))
        await tasks.wait(DRAIN_TIMEOUT_SECONDS)
        for client in self._idle_connections:
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
        headers += [("Idempotency-Key", fields.trace_id), ("Content-Length", str(len(REQUEST_BODY)))]
        return DrawnRequest(
            frontend, h11.Request(method="POST", target=target, headers=headers), REQUEST_BODY
        )

    async def _send(self, number: int, due_seconds: float) -> None:
        request = self._draw_request(number)
        if (self._elapsed_seconds() - due_seconds) * MS_PER_SECOND > MAX_SEND_DELAY_MS:
            self.results.late_requests += 1
        timeout_ms = request.frontend.client_timeout_ms + self._answer_grace_ms
        deadline_seconds = due_seconds + timeout_ms / MS_PER_SECOND
        client = None
        is_answered = False
        try:
            async with asyncio.timeout(max(0.0, deadline_seconds - self._elapsed_seconds())):
                client = await self._acquire_connection()
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
            self._idle_connections.append(client)
        else:
            self._close(client)

    async def _acquire_connection(self) -> HttpClient:
        """Returns an idle connection, or opens one; waits while the limit of connections is in use."""
        while self._idle_connections or self._open_connections >= self.options.connections:
            if not self._idle_connections:
                await asyncio.sleep(CONNECTION_POLL_SECONDS)  # the wait counts towards the request's timeout
                continue
            client = self._idle_connections.pop()
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
    """Runs a `LoadGenerator` in a new event loop, and returns its results."""
    return asyncio.run(LoadGenerator(address, deployment, options).run())
