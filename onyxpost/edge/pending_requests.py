"""Requests that wait for their final answer or for the end of an attempt. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.edge.messages import ClientRequest


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has not received its final answer, or has attempts in flight.

    Attributes:
        request_id: this node's id of the request.
        client_request: the request as it was received.
        deadline: Unix time in ms by which the answer has to be sent.
        is_finished: whether the final answer was sent or the client has disconnected.
        is_forwarded: whether the final answer was the response of an app server.
        is_possibly_executed: whether an attempt that has ended may have executed the request.
        attempt_ids: the ids of all attempts, by attempt index.
        in_flight: number of attempts that have not ended.
    """

    request_id: str
    client_request: ClientRequest
    deadline: float
    is_finished: bool = False
    is_forwarded: bool = False
    is_possibly_executed: bool = False
    attempt_ids: list[int] = field(default_factory=list)
    in_flight: int = 0


class PendingRequests:
    """All pending requests of a node, by id, connection, trace id and attempt.

    Attributes:
        received_count: requests received since the start of the node.
        attempt_count: attempts since the start of the node, including those that were never sent.
        by_id: all requests, until the end of the round in which they are finished and have no attempts in
            flight.
        by_connection: the requests that have no final answer, by connection id.
        by_trace_id: the requests without a final answer or with attempts in flight.
        attempts_in_flight: the request and the attempt index, by attempt id.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self.received_count = 0
        self.attempt_count = 0
        self.by_id: dict[str, PendingRequest] = {}
        self.by_connection: dict[int, PendingRequest] = {}
        self.by_trace_id: dict[str, PendingRequest] = {}
        self.attempts_in_flight: dict[int, tuple[PendingRequest, int]] = {}
        self._finished: list[PendingRequest] = []

    def add(self, client_request: ClientRequest, deadline: float) -> PendingRequest:
        """Adds a request that was received; `deadline` is a Unix time in ms."""
        self.received_count += 1
        request = PendingRequest(str(self.received_count), client_request, deadline)
        self.by_id[request.request_id] = request
        self.by_connection[client_request.connection_id] = request
        self.by_trace_id[client_request.trace_id] = request
        return request

    def add_attempt(self, request_id: str) -> tuple[PendingRequest, int]:
        """Assigns an id to a new attempt and returns its request and its index.

        Raises:
            KeyError: the request is not pending.
        """
        self.attempt_count += 1
        request = self.by_id[request_id]
        request.attempt_ids.append(self.attempt_count)
        return request, len(request.attempt_ids) - 1

    def set_in_flight(self, request: PendingRequest, attempt_index: int) -> int:
        """Marks an attempt as in flight and returns its id."""
        attempt_id = request.attempt_ids[attempt_index]
        self.attempts_in_flight[attempt_id] = request, attempt_index
        request.in_flight += 1
        return attempt_id

    def finish_attempt(self, attempt_id: int) -> tuple[PendingRequest, int] | None:
        """Ends an attempt and returns its request and its index; None if it is not in flight."""
        attempt = self.attempts_in_flight.pop(attempt_id, None)
        if attempt is not None:
            attempt[0].in_flight -= 1
        return attempt

    def settle(self, request: PendingRequest) -> None:
        """Marks a request as answered or as abandoned by its client."""
        self.by_connection.pop(request.client_request.connection_id, None)
        request.is_finished = True

    def ids_in_flight(self, request: PendingRequest) -> list[int]:
        """Returns the ids of the attempts in flight of a request, in the order of their start."""
        if not request.in_flight:
            return []
        return [attempt_id for attempt_id in request.attempt_ids if attempt_id in self.attempts_in_flight]

    def release_if_finished(self, request: PendingRequest) -> None:
        """Releases the trace id of a request, if it is finished and has no attempts in flight.

        The request stays in `by_id` until `remove_finished`, as the decision maker may refer to it in the
        current round.
        """
        if request.is_finished and not request.in_flight:
            self._finished.append(request)
            self.by_trace_id.pop(request.client_request.trace_id, None)

    def remove_finished(self) -> None:
        """Removes the requests that became finished and without attempts in flight in the current round."""
        for request in self._finished:
            if not request.in_flight:
                self.by_id.pop(request.request_id, None)
        self._finished = []
