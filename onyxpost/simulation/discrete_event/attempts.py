"""Requests that a node has received, and their attempts on the way to servers and back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from onyxpost.core.types import AttemptResult
from onyxpost.simulation.discrete_event.server_model import AttemptOrigin, ServerModel

if TYPE_CHECKING:
    from onyxpost.simulation.discrete_event.connection_pool import ConnectionPool
    from onyxpost.simulation.discrete_event.environment import Environment
    from onyxpost.simulation.discrete_event.outcomes import OutcomeCallback
    from onyxpost.simulation.discrete_event.workload import ClientRequest

NEVER_SENT = -1
# Results after which the connection can be used for another request.
CONNECTION_REUSABLE = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL)


class PendingRequest:
    """A try of a client's request that a node has received.

    Attributes:
        deadline_ms: time by which the node answers.
        on_outcome: receives the final answer.
        is_finished: whether it was answered, or its client disconnected.
        units_counted: whether its units were counted, with the first attempt that reached a server.
        attempts: by index; None if the attempt has ended.
        sent_attempts: number of attempts that reached a server.
    """

    __slots__ = (
        "attempts",
        "client_request",
        "deadline_ms",
        "is_finished",
        "on_outcome",
        "request_id",
        "sent_attempts",
        "units_counted",
    )

    def __init__(
        self, request_id: str, client_request: ClientRequest, deadline_ms: float, on_outcome: OutcomeCallback
    ) -> None:
        self.request_id = request_id
        self.client_request = client_request
        self.deadline_ms = deadline_ms
        self.on_outcome = on_outcome
        self.is_finished = False
        self.units_counted = False
        self.attempts: list[AttemptInFlight | None] = []
        self.sent_attempts = 0

    def has_attempts_in_flight(self) -> bool:
        """Returns whether an attempt has not ended."""
        return any(attempt is not None for attempt in self.attempts)


class AttemptOwner(Protocol):
    """The node that started an attempt."""

    name: str
    zone: int
    incarnation: int
    connections: ConnectionPool

    def on_attempt_sent(self, attempt: AttemptInFlight) -> None:
        """The attempt's last byte arrived at its server."""

    def on_attempt_ended(self, attempt: AttemptInFlight, result: AttemptResult) -> None:
        """The attempt has its result."""

    def on_attempt_cancelled(self, attempt: AttemptInFlight, result: AttemptResult) -> None:
        """The attempt was cancelled by the policy, which is handling events."""


class AttemptInFlight:
    """One attempt between a node and a server; it has exactly one end.

    Attributes:
        index: index of the attempt in its request.
        started_at_ms: when the policy started it.
        is_finished: whether it has its end.
        has_connection: whether it holds a connection at the server.
        is_written: whether bytes of it may have arrived at the server.
        sent_index: how many attempts of the request reached a server before; `NEVER_SENT`: it did not.
        work_ms: work on a core of speed 1, with that of its handshake.
    """

    __slots__ = (
        "_environment",
        "_incarnation",
        "_owner",
        "has_connection",
        "index",
        "is_finished",
        "is_written",
        "request",
        "sent_index",
        "server",
        "started_at_ms",
        "work_ms",
    )

    def __init__(
        self, environment: Environment, owner: AttemptOwner, request: PendingRequest, server: ServerModel
    ) -> None:
        self._environment = environment
        self._owner = owner
        self._incarnation = owner.incarnation
        self.request = request
        self.index = len(request.attempts)
        self.server = server
        self.started_at_ms = environment.clock.now_ms
        self.is_finished = False
        self.has_connection = False
        self.is_written = False
        self.sent_index = NEVER_SENT
        self.work_ms = request.client_request.work_ms

    @property
    def origin(self) -> AttemptOrigin:
        """The node and the request that this attempt belongs to."""
        return AttemptOrigin(self._owner.name, self.request.request_id)

    # Way to the server

    def start(self, timeout_ms: float) -> None:
        """Takes a pooled connection, or starts to open one."""
        clock = self._environment.clock
        network = self._environment.network
        zone = self._owner.zone
        server_zone = self.server.zone
        clock.call_after(timeout_ms, self._expire)
        one_way_ms = network.one_way_ms(zone, server_zone)
        if self._owner.connections.take(self.server):
            self.has_connection = True
            clock.call_after(one_way_ms, self._arrive)
        elif not network.is_reachable(zone, server_zone):
            connect_timeout_ms = self._environment.scenario.network.connect_timeout_ms
            clock.call_after(connect_timeout_ms, self._finish, AttemptResult.NO_CONNECTION)
        else:
            clock.call_after(2.0 * one_way_ms, self._connect)

    def _connect(self) -> None:
        if self.is_finished or not self.server.accept_connection():
            self._finish(AttemptResult.NO_CONNECTION)
            return
        self.has_connection = True
        self._owner.connections.opened += 1
        handshake_ms = self._environment.scenario.cluster.handshake_ms
        self.work_ms += handshake_ms  # the server's cores pay for it
        self._environment.clock.call_after(handshake_ms, self._arrive)

    def _arrive(self) -> None:
        if self.is_finished:
            return
        if not self.server.alive:
            self._finish(AttemptResult.NO_CONNECTION)
            return
        self.is_written = True
        if not self._environment.network.is_reachable(self._owner.zone, self.server.zone):
            return  # no packet comes back: its timeout ends it
        self.sent_index = self.request.sent_attempts
        self.request.sent_attempts += 1
        self._owner.on_attempt_sent(self)
        self.server.receive_attempt(self)

    # Way back

    def send_result(self, result: AttemptResult) -> None:
        """The server has completed it; the response still has its way to go."""
        network = self._environment.network
        zone = self._owner.zone
        server_zone = self.server.zone
        if network.is_reachable(zone, server_zone):
            delay_ms = network.one_way_ms(zone, server_zone)
            self._environment.clock.call_after(delay_ms, self._finish, result)

    def _expire(self) -> None:
        if not self.is_finished:
            self._finish(AttemptResult.EXPIRED if self.is_written else AttemptResult.NO_CONNECTION)

    def cancel(self) -> None:
        """Ends it because its result is of no use any more."""
        if not self.is_finished:
            self.release()
            result = AttemptResult.CANCELLED if self.is_written else AttemptResult.UNUSED
            self._owner.on_attempt_cancelled(self, result)

    def _finish(self, result: AttemptResult) -> None:
        if self.is_finished or self._owner.incarnation != self._incarnation:
            return
        if result in CONNECTION_REUSABLE:
            self.is_finished = True
            self.has_connection = False
            self._owner.connections.give_back(self.server)
        else:
            self.release()
        self._owner.on_attempt_ended(self, result)

    def release(self) -> None:
        """Ends it without a result, and closes its connection."""
        self.is_finished = True
        self.server.abandon_attempt(self)
        if self.has_connection and self.server.alive:
            self.server.connections -= 1
        self.has_connection = False
