"""An app server with cores, a queue, connections, slow start and injected faults."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple, Protocol

from onyxpost.core.types import AttemptResult, EndpointState, EndpointStatus
from onyxpost.simulation.discrete_event.invariant_recorder import zone_name

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from onyxpost.simulation.discrete_event.environment import Environment

FAST_ANSWER_MS = 2.0  # time in which a server answers a request that it does not execute


class AttemptOrigin(NamedTuple):
    """The node and the request to which an attempt belongs."""

    node: str
    request_id: str


class ReceivedAttempt(Protocol):
    """The interface of an attempt to the server that receives it."""

    work_ms: float

    @property
    def origin(self) -> AttemptOrigin:
        """The node and the request to which the attempt belongs."""

    def send_result(self, result: AttemptResult) -> None:
        """Sends the result back to the node."""


class ServerOptions(NamedTuple):
    """Parameters that differ between servers.

    Attributes:
        speed: work in ms that a core completes in 1 ms.
        started_at_ms: simulated time of the start; 0: the server is warm at the start of the run.
    """

    server_id: str
    zone: int
    cell: int
    speed: float
    started_at_ms: float


class ServerModel:
    """One app server.

    Attributes:
        state: state in endpoint updates.
        is_alive: False after the server died; it is never restarted.
        was_overloaded: whether the server died of overload during slow start.
        connections: number of open connections.
        in_flight: attempts that are queued, executing or hung.
    """

    def __init__(
        self,
        environment: Environment,
        options: ServerOptions,
        rng: Random,
        on_death: Callable[[ServerModel], None],
    ) -> None:
        self._clock = environment.clock
        self._invariants = environment.invariants
        self._cluster = environment.scenario.cluster
        self._slow_start = environment.slow_start
        self._rng = rng
        self._on_death = on_death
        self.server_id = options.server_id
        self.zone = options.zone
        self.cell = options.cell
        self._speed = options.speed
        self._started_at_ms = options.started_at_ms
        self.state = EndpointState.READY
        self.is_alive = True
        self.was_overloaded = False
        self.connections = 0
        self.in_flight: dict[ReceivedAttempt, None] = {}
        self._queue: deque[ReceivedAttempt] = deque()
        self._executing = 0
        self._slowdown = 1.0
        self._error_probability = 0.0
        self._response_loss_probability = 0.0
        self._is_hung = False
        if self._started_at_ms > 0.0:
            self._invariants.server_started(self.server_id, self._cluster.cores * self._speed)

    def endpoint_status(self, epoch_ms: float) -> EndpointStatus:
        """Returns the server's status for endpoint updates; `epoch_ms` is the start of the run."""
        started_at = epoch_ms + self._started_at_ms if self._started_at_ms > 0.0 else 0.0
        return EndpointStatus(self.server_id, zone_name(self.zone), self.cell, self.state, 1.0, started_at)

    def _capacity_fraction(self) -> float:
        """Returns the fraction of its capacity that the server has: below 1 in slow start, then 1."""
        age_ms = self._clock.now_ms - self._started_at_ms
        slow_start = self._slow_start
        if self._started_at_ms <= 0.0 or age_ms >= slow_start.warmup_ms:
            return 1.0
        return max(slow_start.initial_fraction, age_ms / slow_start.warmup_ms)

    # Requests

    def accept_connection(self) -> bool:
        """Accepts and counts a new connection; returns False if the server refuses the connection."""
        if not self.is_alive or self.connections >= self._cluster.connection_limit:
            return False
        self.connections += 1
        return True

    def receive_attempt(self, attempt: ReceivedAttempt) -> None:
        """Handles an attempt whose last byte has arrived."""
        if self.state is EndpointState.DRAINING or len(self._queue) >= self._cluster.queue_limit:
            self._clock.call_after(FAST_ANSWER_MS, attempt.send_result, AttemptResult.FULL)
            return
        node, request_id = attempt.origin
        if not self._invariants.work_received(self.server_id, attempt.work_ms, node, request_id):
            self.was_overloaded = True
            self.die()
            attempt.send_result(AttemptResult.LOST)
            return
        if self._error_probability and self._rng.random() < self._error_probability:
            self._clock.call_after(FAST_ANSWER_MS, attempt.send_result, AttemptResult.ERROR)
            return
        self.in_flight[attempt] = None
        if self._is_hung:
            return
        if self._executing < self._cluster.cores:
            self._execute(attempt)
        else:
            self._queue.append(attempt)

    def abandon_attempt(self, attempt: ReceivedAttempt) -> None:
        """Handles that the node needs no result: a queued attempt is skipped, an executing one completes."""
        self.in_flight.pop(attempt, None)

    def _execute(self, attempt: ReceivedAttempt) -> None:
        self._executing += 1
        duration_ms = attempt.work_ms * self._slowdown / (self._speed * self._capacity_fraction())
        self._clock.call_after(duration_ms, self._complete, attempt)

    def _complete(self, attempt: ReceivedAttempt) -> None:
        if not self.is_alive:
            return
        self._executing -= 1
        if attempt in self.in_flight:
            del self.in_flight[attempt]
            loss_probability = self._response_loss_probability
            is_lost = bool(loss_probability) and self._rng.random() < loss_probability
            attempt.send_result(AttemptResult.LOST if is_lost else AttemptResult.OK)
        while self._queue and self._executing < self._cluster.cores:
            next_attempt = self._queue.popleft()
            if next_attempt in self.in_flight:
                self._execute(next_attempt)

    # Faults

    def set_slowdown(self, factor: float) -> None:
        """Sets the factor by which requests take longer; 1 is normal."""
        self._slowdown = factor

    def set_error_probability(self, probability: float) -> None:
        """Sets the probability with which a request is answered with an immediate error."""
        self._error_probability = probability

    def set_response_loss_probability(self, probability: float) -> None:
        """Sets the probability with which the response of an executed request is lost."""
        self._response_loss_probability = probability

    def hang(self) -> None:
        """Stops executing new requests; queued requests are lost without an answer."""
        if not self._is_hung:
            self._queue.clear()
        self._is_hung = True

    def resume(self) -> None:
        """Executes new requests again."""
        self._is_hung = False

    def die(self) -> None:
        """Terminates the server at once; its attempts in flight are lost."""
        if not self.is_alive:
            return
        self.is_alive = False
        self._invariants.server_removed(self.server_id)
        lost_attempts = list(self.in_flight)
        self.in_flight = {}
        self._queue.clear()
        self.connections = 0
        self._executing = 0
        self._on_death(self)
        for attempt in lost_attempts:
            attempt.send_result(AttemptResult.LOST)
