"""Requests that a node has received, and their attempts between the node and app servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from onyxpost.core.types import AttemptResult
from onyxpost.simulation.discrete_event.server_model import AttemptOrigin, ServerModel

if TYPE_CHECKING:
    from onyxpost.simulation.discrete_event.connection_pool import ConnectionPool
    from onyxpost.simulation.discrete_event.environment import Environment
    from onyxpost.simulation.discrete_event.outcomes import OutcomeCallback
    from onyxpost.simulation.discrete_event.workload import ClientRequest

NEVER_SENT = -1  # `sent_index` of an attempt that has not reached a server
# Results after which a connection stays open and can be used for another request.
CONNECTION_REUSABLE = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL)


class PendingRequest:
    """One try of a client's request, as the node that received it tracks it.

    Attributes:
        deadline_ms: simulated time by which the node must answer.
        on_outcome: called with the outcome of the try.
        is_finished: whether the request was answered, or its client disconnected.
        has_counted_units: whether the units were counted; they are when the first attempt reaches a server.
        attempts: all attempts by their index; None for an attempt that has ended.
        sent_attempts: number of attempts that reached a server.
    """

    __slots__ = (
        "attempts",
        "client_request",
        "deadline_ms",
        "has_counted_units",
        "is_finished",
        "on_outcome",
        "request_id",
        "sent_attempts",
    )

    def __init__(
        self, request_id: str, client_request: ClientRequest, deadline_ms: float, on_outcome: OutcomeCallback
    ) -> None:
        self.request_id = request_id
        self.client_request = client_request
        self.deadline_ms = deadline_ms
        self.on_outcome = on_outcome
        self.is_finished = False
        self.has_counted_units = False
        self.attempts: list[AttemptInFlight | None] = []
        self.sent_attempts = 0

    def has_attempts_in_flight(self) -> bool:
        """Returns whether any attempt has not ended."""
        return any(attempt is not None for attempt in self.attempts)


class AttemptOwner(Protocol):
    """The node that started an attempt."""

    name: str
    zone: int
    incarnation: int
    connections: ConnectionPool

    def on_attempt_sent(self, attempt: AttemptInFlight) -> None:
        """Handles that the last byte of an attempt arrived at its server."""

    def on_attempt_ended(self, attempt: AttemptInFlight, result: AttemptResult) -> None:
        """Handles the result of an attempt."""

    def on_attempt_cancelled(self, attempt: AttemptInFlight, result: AttemptResult) -> None:
        """Handles that the policy cancelled an attempt while it was handling events."""


class AttemptInFlight:
    """One attempt between a node and a server; it ends exactly once.

    Attributes:
        index: index of the attempt among those of its request.
        started_at_ms: simulated time at which the policy started the attempt.
        is_finished: whether the attempt has ended.
        has_connection: whether the attempt holds a connection to the server.
        is_written: whether any of its bytes may have arrived at the server.
        sent_index: number of earlier attempts of the request that reached a server; `NEVER_SENT` until
            this attempt does.
        work_ms: work on a core of speed 1, including the handshake of a new connection.
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
        """The node and the request to which this attempt belongs."""
        return AttemptOrigin(self._owner.name, self.request.request_id)

    # From the node to the server

    def start(self, timeout_ms: float) -> None:
        """Sends the attempt over an idle connection, or opens a new one; it expires after `timeout_ms`."""
        clock = self._environment.clock
        network = self._environment.network
        zone = self._owner.zone
        server_zone = self.server.zone
        clock.call_after(timeout_ms, self._expire)
        one_way_ms = network.one_way_ms(zone, server_zone)
        if self._owner.connections.acquire(self.server):
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
        self.work_ms += handshake_ms  # a server's cores also execute the handshake
        self._environment.clock.call_after(handshake_ms, self._arrive)

    def _arrive(self) -> None:
        if self.is_finished:
            return
        if not self.server.is_alive:
            self._finish(AttemptResult.NO_CONNECTION)
            return
        self.is_written = True
        if not self._environment.network.is_reachable(self._owner.zone, self.server.zone):
            return  # no response gets through a partition: the attempt ends by its timeout
        self.sent_index = self.request.sent_attempts
        self.request.sent_attempts += 1
        self._owner.on_attempt_sent(self)
        self.server.receive_attempt(self)

    # From the server to the node

    def send_result(self, result: AttemptResult) -> None:
        """Sends the result to the node, where it arrives after the network delay.

        A result is dropped if the zones of node and server are partitioned.
        """
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
        """Cancels the attempt, whose result is no longer needed."""
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
            self._owner.connections.release(self.server)
        else:
            self.release()
        self._owner.on_attempt_ended(self, result)

    def release(self) -> None:
        """Ends the attempt without notifying its node, and closes its connection."""
        self.is_finished = True
        self.server.abandon_attempt(self)
        if self.has_connection and self.server.is_alive:
            self.server.connections -= 1
        self.has_connection = False
