"""Clients' requests that wait for their final answer or for the end of an attempt. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.edge.messages import ClientRequest


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A client's request that is owed its one final answer, or has attempts in flight.

    Attributes:
        request_id: this node's id of the request.
        client_request: the request as it was received.
        deadline: Unix time in ms at which the answer has to be sent.
        is_settled: the final answer has been sent, or the client has disconnected.
        attempt_ids: all attempts, by their index.
        in_flight: number of attempts that have not ended.
    """

    request_id: str
    client_request: ClientRequest
    deadline: float
    is_settled: bool = False
    attempt_ids: list[int] = field(default_factory=list)
    in_flight: int = 0


class PendingRequests:
    """All pending requests of a node, by id, connection, trace id and attempt.

    Attributes:
        received_count: requests since the start of the node.
        attempt_count: attempts since the start of the node, those included that were never sent.
        by_id: kept until the end of the round in which a request is finished.
        by_connection: requests that are owed an answer.
        by_trace_id: requests that are owed an answer or have attempts in flight.
        attempts_in_flight: by attempt id, the request and the attempt's index.
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
        """Adds a request that has just been received."""
        self.received_count += 1
        request = PendingRequest(str(self.received_count), client_request, deadline)
        self.by_id[request.request_id] = request
        self.by_connection[client_request.connection_id] = request
        self.by_trace_id[client_request.trace_id] = request
        return request

    def add_attempt(self, request_id: str) -> tuple[PendingRequest, int]:
        """Gives an id to a new attempt; returns its request and its index.

        Raises:
            KeyError: the request is not pending.
        """
        self.attempt_count += 1
        request = self.by_id[request_id]
        request.attempt_ids.append(self.attempt_count)
        return request, len(request.attempt_ids) - 1

    def set_in_flight(self, request: PendingRequest, attempt_index: int) -> int:
        """Marks an attempt as sent; returns its id."""
        attempt_id = request.attempt_ids[attempt_index]
        self.attempts_in_flight[attempt_id] = request, attempt_index
        request.in_flight += 1
        return attempt_id

    def finish_attempt(self, attempt_id: int) -> tuple[PendingRequest, int] | None:
        """Ends an attempt; returns its request and its index, or None if it had ended before."""
        attempt = self.attempts_in_flight.pop(attempt_id, None)
        if attempt is not None:
            attempt[0].in_flight -= 1
        return attempt

    def settle(self, request: PendingRequest) -> None:
        """Marks a request as answered, or as needing no answer any more."""
        self.by_connection.pop(request.client_request.connection_id, None)
        request.is_settled = True

    def ids_in_flight(self, request: PendingRequest) -> list[int]:
        """Returns the ids of a request's attempts in flight, in the order of their start."""
        if not request.in_flight:
            return []
        return [attempt_id for attempt_id in request.attempt_ids if attempt_id in self.attempts_in_flight]

    def release_if_finished(self, request: PendingRequest) -> None:
        """Frees the trace id of a settled request without attempts in flight.

        Its id stays known until `remove_finished`: the decision maker may still refer to it in this round.
        """
        if request.is_settled and not request.in_flight:
            self._finished.append(request)
            self.by_trace_id.pop(request.client_request.trace_id, None)

    def remove_finished(self) -> None:
        """Removes the requests that were finished in this round."""
        for request in self._finished:
            if not request.in_flight:
                self.by_id.pop(request.request_id, None)
        self._finished = []
