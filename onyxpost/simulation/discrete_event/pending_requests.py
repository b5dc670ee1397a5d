"""The requests of one node that are unanswered or have attempts in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.simulation.discrete_event.attempts import NEVER_SENT, PendingRequest
from onyxpost.simulation.discrete_event.metrics import UNITS, UNITS_BEYOND_QUOTA

if TYPE_CHECKING:
    from onyxpost.core.types import AttemptResult
    from onyxpost.simulation.discrete_event.attempts import AttemptInFlight
    from onyxpost.simulation.discrete_event.environment import Environment
    from onyxpost.simulation.discrete_event.outcomes import Outcome, OutcomeCallback
    from onyxpost.simulation.discrete_event.workload import ClientRequest

ANSWER_MARGIN_MS = 2.0  # before the client timeout, so that the answer still arrives in time


class PendingRequests:
    """Pending requests by id; counts their units, and reports their events to the invariant checker."""

    def __init__(self, environment: Environment, node: str) -> None:
        self._clock = environment.clock
        self._metrics = environment.metrics
        self._invariants = environment.invariants
        self._node = node
        self._requests: dict[str, PendingRequest] = {}

    def __getitem__(self, request_id: str) -> PendingRequest:
        return self._requests[request_id]

    def get(self, request_id: str) -> PendingRequest | None:
        """Returns a request, or None if its id is unknown or its request is complete."""
        return self._requests.get(request_id)

    def add(
        self, request_id: str, client_request: ClientRequest, on_outcome: OutcomeCallback
    ) -> PendingRequest:
        """Adds a request that the node receives at the current time."""
        frontend = client_request.frontend
        client_deadline_ms = self._clock.now_ms + frontend.client_timeout_ms
        # Written out, as `client_deadline_ms - ANSWER_MARGIN_MS` may be rounded differently.
        deadline_ms = self._clock.now_ms + frontend.client_timeout_ms - ANSWER_MARGIN_MS
        pending = PendingRequest(request_id, client_request, deadline_ms, on_outcome)
        self._requests[request_id] = pending
        customer = client_request.customer.key
        self._invariants.request_received(
            self._node, request_id, frontend, customer, client_request.units, client_deadline_ms
        )
        return pending

    def answer(self, pending: PendingRequest, outcome: Outcome, retry_after_ms: float) -> None:
        """Sends the final answer; does nothing if the request is finished."""
        if not pending.is_finished:
            pending.is_finished = True
            self._invariants.request_answered(self._node, pending.request_id, outcome.value)
            pending.on_outcome(outcome, retry_after_ms)

    def finish_without_answer(self, pending: PendingRequest) -> None:
        """Marks a request finished whose client disconnected."""
        pending.is_finished = True
        self._invariants.client_disconnected(self._node, pending.request_id)

    def remove_if_complete(self, pending: PendingRequest) -> None:
        """Removes a request if it is finished and has no attempt in flight."""
        if not pending.is_finished or pending.has_attempts_in_flight():
            return
        if self._requests.pop(pending.request_id, None) is not None:
            self._invariants.request_forgotten(self._node, pending.request_id)

    # Attempts

    def in_flight_attempts(self) -> list[AttemptInFlight]:
        """Returns all attempts of all requests that have not ended."""
        return [
            attempt
            for pending in self._requests.values()
            for attempt in pending.attempts
            if attempt is not None
        ]

    def record_sent(self, attempt: AttemptInFlight) -> None:
        """Records an attempt that reached a server; the first of a request also counts its units."""
        pending = attempt.request
        request = pending.client_request
        if not pending.has_counted_units:
            pending.has_counted_units = True
            self._metrics.count(UNITS, request.units)
            units_beyond_quota = request.customer.quota.consume(self._clock.now_ms, request.units)
            request.is_within_quota = not units_beyond_quota
            self._metrics.count(UNITS_BEYOND_QUOTA, units_beyond_quota)
        server = attempt.server
        plan = request.customer.plan.name
        self._invariants.attempt_sent(
            self._node, pending.request_id, server.server_id, server.zone, server.cell, plan
        )

    def record_end(self, attempt: AttemptInFlight, result: AttemptResult) -> None:
        """Records the result of an attempt, and removes the attempt from its request."""
        pending = attempt.request
        pending.attempts[attempt.index] = None
        if attempt.sent_index != NEVER_SENT:
            self._invariants.attempt_ended(
                self._node, pending.request_id, attempt.sent_index, result.never_executed
            )

    def remove_all(self) -> list[PendingRequest]:
        """Removes and returns all requests, for a node that is killed."""
        removed = list(self._requests.values())
        self._requests = {}
        return removed
