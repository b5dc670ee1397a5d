"""Requests of clients, their attempts, and the app servers that these are sent to. No decisions here."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from zlib import crc32

from onyxpost.core.server_records import AnswerCounts, CircuitBreaker, LatencyStatistics, SlowStartTurn
from onyxpost.core.types import (
    UNRESTRICTED,
    DeduplicationScope,
    EndpointState,
    EndpointStatus,
    Frontend,
    RoutingConstraint,
)

if TYPE_CHECKING:
    from onyxpost.core.customer_quota import CustomerQuota
    from onyxpost.core.sliding_window import SlidingWindowCounter

NEVER_STARTED = -1.0  # differs from all start times, so that the first status of a server is a start


class UpstreamServer:
    """An app server as this node sees it.

    Attributes:
        hash: CRC-32 of the id, for preference orders.
        endpoint: what discovery last reported of it.
        in_flight: attempts at the server, in order of their start.
        last_success_sent_at: when the last attempt that succeeded was sent, in ms.
    """

    def __init__(self, server_id: str, window: SlidingWindowCounter[AnswerCounts]) -> None:
        self.id = server_id
        self.hash = crc32(server_id.encode())
        self.endpoint = EndpointStatus(server_id, "", 0, EndpointState.GONE, 1.0, NEVER_STARTED)
        self.latency = LatencyStatistics(window)
        self.circuit_breaker = CircuitBreaker()
        self.slow_start = SlowStartTurn()
        self.in_flight: dict[Attempt, None] = {}
        self.last_success_sent_at = 0.0

    @property
    def zone(self) -> str:
        """The server's zone."""
        return self.endpoint.zone

    @property
    def cell(self) -> int:
        """The server's cell."""
        return self.endpoint.cell

    def reset(self, window: SlidingWindowCounter[AnswerCounts]) -> None:
        """Starts a new window of results and closes the circuit breaker; the means are kept."""
        self.latency.window = window
        self.circuit_breaker = CircuitBreaker()

    def unexpired_attempts(self, now: float) -> int:
        """Returns the number of attempts in flight that can still be within their latency objective."""
        return sum(1 for attempt in self.in_flight if not attempt.is_expired(now))

    def scope_key(self, scope: DeduplicationScope) -> str | int:
        """Returns a value that is equal for servers that drop each other's duplicates."""
        if scope is DeduplicationScope.ZONE:
            return self.zone
        return self.cell if scope is DeduplicationScope.CELL else 0


@dataclass(eq=False, slots=True)
class Attempt:
    """A request at one server.

    Attributes:
        index: 0 for the request's first attempt.
        sent_at: when it was sent, in ms.
        in_flight: whether it has not ended yet.
        possibly_executed: whether the server may have executed the request.
    """

    request: Request
    server: UpstreamServer
    index: int
    sent_at: float
    in_flight: bool = True
    possibly_executed: bool = True

    def is_expired(self, now: float) -> bool:
        """Returns whether its answer can no longer be within the latency objective."""
        return now >= self.request.latency_deadline

    def finish(self) -> None:
        """Ends the attempt: it is in flight no more, neither at its server nor for its customer."""
        self.in_flight = False
        self.server.in_flight.pop(self, None)
        self.request.customer.in_flight -= 1


class Request:
    """A client's request.

    Attributes:
        arrived_at: when it arrived, in ms.
        deadline: when the client gives up, in ms.
        latency_deadline: until when an answer is within the frontend's latency objective, in ms.
        units: what it takes from its customer's quota.
        admitted_at: when it was admitted, in ms; until then, when it arrived.
        constraint: what the routing rules that were in force at its admission permit.
        is_finished: whether the client has its final answer, or has disconnected.
        is_streaming: whether a streamed response has begun.
    """

    def __init__(
        self,
        request_id: str,
        arrived_at: float,
        deadline: float,
        frontend: Frontend,
        customer: CustomerQuota,
        units: int,
    ) -> None:
        self.id = request_id
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.frontend = frontend
        self.customer = customer
        self.units = units
        self.admitted_at = arrived_at
        self.latency_deadline = min(deadline, arrived_at + frontend.latency_objective_ms)
        self.constraint: RoutingConstraint = UNRESTRICTED
        self.attempts: list[Attempt] = []
        self.is_finished = False
        self.is_streaming = False

    def start_attempt(self, server: UpstreamServer, now: float) -> Attempt:
        """Adds an attempt at the server."""
        attempt = Attempt(self, server, len(self.attempts), now)
        self.attempts.append(attempt)
        server.in_flight[attempt] = None
        self.customer.in_flight += 1
        return attempt

    def has_attempt_in_flight(self) -> bool:
        """Returns whether any attempt has not ended yet."""
        return any(attempt.in_flight for attempt in self.attempts)
