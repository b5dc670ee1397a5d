"""Requests of clients, their attempts, and the app servers that receive these."""

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

NEVER_STARTED = -1.0  # differs from all start times, so that a server's first status counts as a start


class UpstreamServer:
    """This node's record of an app server.

    Attributes:
        hash: CRC-32 of the id, for preference orders and slow start.
        endpoint: the server's status as last reported by discovery.
        in_flight: attempts in flight from this node, in order of their start.
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
        """The server's zone, as last reported by discovery."""
        return self.endpoint.zone

    @property
    def cell(self) -> int:
        """The server's cell, as last reported by discovery."""
        return self.endpoint.cell

    def reset(self, window: SlidingWindowCounter[AnswerCounts]) -> None:
        """Starts a new window of results and closes the circuit breaker; the means are kept."""
        self.latency.window = window
        self.circuit_breaker = CircuitBreaker()

    def timely_attempts(self, now: float) -> int:
        """Returns the number of attempts in flight whose latency deadline has not passed."""
        return sum(1 for attempt in self.in_flight if not attempt.is_past_latency_deadline(now))

    def scope_key(self, scope: DeduplicationScope) -> str | int:
        """Returns a key that is equal for servers in the same deduplication scope."""
        if scope is DeduplicationScope.ZONE:
            return self.zone
        return self.cell if scope is DeduplicationScope.CELL else 0


@dataclass(eq=False, slots=True)
class Attempt:
    """An attempt to execute a request at one server.

    Attributes:
        index: 0 for the request's first attempt.
        sent_at: when the attempt was sent, in ms.
        in_flight: whether the attempt has not ended yet.
        possibly_executed: whether the server may have executed the request.
    """

    request: Request
    server: UpstreamServer
    index: int
    sent_at: float
    in_flight: bool = True
    possibly_executed: bool = True

    def is_past_latency_deadline(self, now: float) -> bool:
        """Returns whether the request's latency deadline has passed."""
        return now >= self.request.latency_deadline

    def finish(self) -> None:
        """Ends the attempt and removes it from those in flight at its server and for its customer."""
        self.in_flight = False
        self.server.in_flight.pop(self, None)
        self.request.customer.in_flight -= 1


class Request:
    """A client's request.

    Attributes:
        id: the host's id of the request.
        arrived_at: when the request arrived, in ms.
        deadline: the time by which the answer has to be sent, in ms.
        latency_deadline: the time until which an answer meets the frontend's latency objective, in ms.
        units: units that the request takes from its customer's quota.
        admitted_at: when the request was admitted, in ms; equal to `arrived_at` before admission.
        constraint: the constraint of the routing rules that were in force at admission.
        attempts: all attempts, in order of their start.
        is_finished: whether the client has its final answer or has disconnected.
        is_streaming: whether a streamed response has started.
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
        """Adds an attempt, in flight, at the server and returns it."""
        attempt = Attempt(self, server, len(self.attempts), now)
        self.attempts.append(attempt)
        server.in_flight[attempt] = None
        self.customer.in_flight += 1
        return attempt

    def has_attempt_in_flight(self) -> bool:
        """Returns whether any attempt is in flight."""
        return any(attempt.in_flight for attempt in self.attempts)
