"""Open-loop load for a cluster: requests of random customers to forwarders, weighted by popularity."""

from __future__ import annotations

import asyncio
import os
import time
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import h11

from onyxpost.core.units import MS_PER_SECOND, US_PER_MS
from onyxpost.simulation.free_ports import LOOPBACK
from onyxpost.simulation.http_client import HttpClient, RequestFields, outcome_of
from onyxpost.simulation.open_loop import BackgroundTasks, poisson_arrivals
from onyxpost.simulation.planner_cluster.files import FRONTEND, PLAN
from onyxpost.simulation.planner_cluster.options import CLIENT_TIMEOUT_US, MAX_REQUEST_UNITS

if TYPE_CHECKING:
    from onyxpost.simulation.planner_cluster.options import ClusterOptions
    from onyxpost.simulation.planner_cluster.usage_counter import UsageCounter

ANSWER_GRACE_SECONDS = 0.25  # after the client timeout, for an answer that is on its way
DRAIN_SECONDS = 10.0  # time for the last requests to be answered
REQUESTS_PER_POPULARITY = 1000  # requests after which the popularity of the forwarders changes
HEAVY_CUSTOMER_INTERVAL = 4  # every fourth customer is heavy
HEAVY_CUSTOMER_WEIGHT = 3.0  # request rate of a heavy customer, relative to the others


class SentRequest(NamedTuple):
    """Customer and units of a request, looked up by its trace id when it reaches an app server."""

    customer: int
    units: int


class LoadGenerator:
    """Sends requests to forwarders, and counts their outcomes."""

    def __init__(self, options: ClusterOptions, ports: list[int], counter: UsageCounter) -> None:
        self.options = options
        self.ports = ports
        self.counter = counter
        self.rng = Random(options.seed)
        self.started_at_seconds = time.monotonic()
        # By trace id; requests that have not reached an app server yet.
        self.unreceived_requests: dict[str, SentRequest] = {}
        self._trace_prefix = f"{os.getpid():x}.{options.seed:x}"
        self._requests = BackgroundTasks()

    def now_ms(self) -> float:
        """Returns the time in ms since the start of the load."""
        return self._elapsed_seconds() * MS_PER_SECOND

    def on_request_received(self, trace_id: str) -> None:
        """Counts a request that reached an app server; only its first attempt is counted."""
        request = self.unreceived_requests.pop(trace_id, None)
        if request is not None:
            self.counter.count_sent(self.now_ms(), request.customer, request.units)

    async def run(self) -> None:
        """Sends requests for the duration of the run, and waits for their answers."""
        self.started_at_seconds = time.monotonic()
        weights = [
            HEAVY_CUSTOMER_WEIGHT if customer % HEAVY_CUSTOMER_INTERVAL == 0 else 1.0
            for customer in range(self.options.customers)
        ]
        popularity = self._random_popularity()
        arrivals = poisson_arrivals(
            self.rng, self.options.request_rate, self.options.seconds, self._elapsed_seconds
        )
        async for count in arrivals:
            if (count - 1) % REQUESTS_PER_POPULARITY == 0:
                popularity = self._random_popularity()
            (customer,) = self.rng.choices(range(self.options.customers), weights)
            (port,) = self.rng.choices(self.ports, popularity)
            request = SentRequest(customer, self.rng.randint(1, MAX_REQUEST_UNITS))
            self._requests.start(self._send(f"{self._trace_prefix}.{count}", port, request))
        await self._requests.wait(DRAIN_SECONDS)

    def _elapsed_seconds(self) -> float:
        return time.monotonic() - self.started_at_seconds

    def _random_popularity(self) -> list[float]:
        return [self.rng.random() ** 3 for _ in range(self.options.forwarders)]

    async def _send(self, trace_id: str, port: int, request: SentRequest) -> None:
        self.unreceived_requests[trace_id] = request
        self.counter.count_offered(self.now_ms(), request.customer, request.units)
        outcome = "lost"
        client = None
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_US / 1e6 + ANSWER_GRACE_SECONDS):
                client = await HttpClient.connect((LOOPBACK, port))
                response = await client.exchange(self._http_request(trace_id, request))
            outcome = outcome_of(response.status)
        except (OSError, h11.ProtocolError):
            pass  # the request is counted as lost
        finally:
            if client is not None:
                client.close()
        self.counter.count_outcome(self.now_ms(), request.customer, request.units, outcome)

    def _http_request(self, trace_id: str, request: SentRequest) -> h11.Request:
        fields = RequestFields(
            trace_id=trace_id,
            plan=PLAN,
            customer=request.customer,
            timeout_ms=CLIENT_TIMEOUT_US / US_PER_MS,
            units=request.units,
            node_count=self.options.forwarders,
        )
        return h11.Request(method="GET", target=f"/{FRONTEND}/1", headers=fields.headers())
