"""The state machine of an edge node, which maps events and the time to effects. No I/O and no clock."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from onyxpost.core.customer_key import key_of_number
from onyxpost.core.events import (
    AttemptFinished,
    EndpointPollFailed,
    EndpointsStale,
    EndpointsUpdated,
    RequestArrived,
    RequestCancelled,
    TimerFired,
)
from onyxpost.core.events import Event as DecisionEvent
from onyxpost.core.types import AttemptResult, Idempotency
from onyxpost.edge.effect_sink import EffectSink
from onyxpost.edge.endpoint_table import EndpointTable
from onyxpost.edge.messages import (
    AttemptEnded,
    ClientDisconnected,
    ClientRequest,
    EdgeEvent,
    Effect,
    EndpointUpdate,
    EndpointUpdateFailed,
    FinalAnswer,
    RetireEndpoint,
    SendAnswer,
)
from onyxpost.edge.pending_requests import PendingRequest, PendingRequests
from onyxpost.edge.trace_id_reservations import TraceIdReservations
from onyxpost.runtime.log_event import LogEvent, fault_event

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from onyxpost.config.deployment import Deployment
    from onyxpost.core.sink import DecisionMaker


class EdgeStateMachine:
    """Passes events to the decision maker, and returns its decisions as effects.

    Each request gets exactly one final answer, even if the decision maker raises an exception.

    Attributes:
        decision_maker: decides on requests.
        requests: all pending requests.
        endpoints: the endpoints that accept new attempts.
        trace_id_reservations: the trace ids of requests that must not be executed again.
        sink: receives the decisions and converts them into effects.
    """

    def __init__(self, deployment: Deployment, decision_maker: DecisionMaker) -> None:
        """Creates a state machine without requests or endpoints."""
        self.decision_maker = decision_maker
        self.requests = PendingRequests()
        self.endpoints = EndpointTable()
        self.trace_id_reservations = TraceIdReservations()
        self._idempotent_frontends = {
            frontend.name
            for frontend in deployment.frontends
            if frontend.idempotency is Idempotency.IDEMPOTENT
        }
        self.sink = EffectSink(self.requests, self.endpoints)
        self._answer_margin_ms = deployment.tick_ms  # time before the client timeout at which answers are due
        self._now = 0.0

    @property
    def unanswered_count(self) -> int:
        """The number of requests without a final answer."""
        return len(self.requests.by_connection)

    @property
    def has_deferred_events(self) -> bool:
        """Whether events were deferred to the next round."""
        return bool(self.sink.deferred_events)

    def step(self, now: float, events: Sequence[EdgeEvent]) -> list[Effect]:
        """Handles the events of a round at `now` (ms) and returns the effects in order."""
        self._now = now
        decision_events = self.sink.begin_round(now)
        for event in events:
            decision_event = self._handle(event)
            if decision_event is not None:
                decision_events.append(decision_event)
        remaining = iter(decision_events)
        while not self._decide(remaining):
            pass
        if any(isinstance(event, TimerFired) for event in events):
            self._abort_overdue_requests()
        self.requests.remove_finished()
        return self.sink.effects

    def _decide(self, remaining: Iterator[DecisionEvent]) -> bool:
        """Passes the remaining events to the decision maker.

        If the decision maker raises an exception, this is logged, and the events after the current one stay
        in `remaining`.

        Returns:
            Whether no further call is needed.
        """
        current: DecisionEvent | None = None

        def remember_current() -> Iterator[DecisionEvent]:
            nonlocal current
            for event in remaining:
                current = event
                yield event

        try:
            self.decision_maker.handle(self._now, remember_current(), self.sink)
        except Exception as error:
            self.sink.emit(fault_event(type(current).__name__, error))
            if isinstance(current, RequestArrived | AttemptFinished):
                request = self.requests.by_id.get(current.request_id)
                if request is not None and not request.in_flight:
                    self.sink.abort_undecided(request)  # no later event would lead to an answer
            return current is None  # an exception before the first event would recur in each call
        return True

    def _abort_overdue_requests(self) -> None:
        """Aborts requests past their client timeout, which the decision maker should have ended before."""
        requests = self.requests.by_connection.values()
        overdue = [request for request in requests if self._now >= request.deadline + self._answer_margin_ms]
        for request in overdue:
            trace_id = request.client_request.trace_id
            self.sink.emit(LogEvent("overdue", {"request": trace_id}, logging.ERROR))
            self.sink.abort_undecided(request)

    # Events

    def _handle(self, event: EdgeEvent) -> DecisionEvent | None:
        """Applies an event to the state and returns the event for the decision maker, if there is one."""
        match event:
            case ClientRequest():
                return self.handle_client_request(event)
            case AttemptEnded():
                return self.handle_attempt_ended(event)
            case ClientDisconnected():
                return self.handle_client_disconnected(event)
            case EndpointUpdate():
                return self.handle_endpoint_update(event)
            case EndpointUpdateFailed():
                return EndpointsStale() if event.is_stale else EndpointPollFailed()
            case _:  # relevant only to the decision maker
                return event

    def handle_client_request(self, client_request: ClientRequest) -> DecisionEvent | None:
        """Adds a request; one with a trace id that is pending or reserved is aborted without an attempt."""
        trace_id = client_request.trace_id
        is_reserved = self.trace_id_reservations.is_reserved(trace_id, self._now)
        if is_reserved or trace_id in self.requests.by_trace_id:
            # Its attempts could be executed in addition to those of the earlier request.
            self.sink.emit(SendAnswer(client_request.connection_id, FinalAnswer.ABORTED))
            return None
        deadline = client_request.received_at + client_request.timeout_ms - self._answer_margin_ms
        request = self.requests.add(client_request, deadline)
        return RequestArrived(
            request.request_id,
            deadline,
            client_request.frontend,
            key_of_number(int(client_request.customer, 16)),
            client_request.plan,
            client_request.units,
            client_request.set_size,
            client_request.first_node_index,
        )

    def handle_client_disconnected(self, event: ClientDisconnected) -> DecisionEvent | None:
        """Cancels the unanswered request of a connection that has ended, if there is one."""
        request = self.requests.by_connection.get(event.connection_id)
        if request is None:
            return None
        self.sink.settle(request)
        self._reserve_trace_id(request)
        return RequestCancelled(request.request_id)

    def _reserve_trace_id(self, request: PendingRequest) -> None:
        """Reserves the trace id of a request whose client got no response though it may have been executed.

        While its attempts are in flight, the trace id is pending.
        """
        is_repeatable = request.client_request.frontend in self._idempotent_frontends
        if request.is_possibly_executed and not request.is_forwarded and not is_repeatable:
            self.trace_id_reservations.reserve(request.client_request.trace_id, self._now)

    def handle_endpoint_update(self, update: EndpointUpdate) -> DecisionEvent:
        """Applies an update, and retires the endpoints that are no longer ready or have another address."""
        for endpoint in self.endpoints.apply(update):
            self.sink.emit(RetireEndpoint(endpoint))
        return EndpointsUpdated(update.is_complete, update.endpoints)

    def handle_attempt_ended(self, event: AttemptEnded) -> DecisionEvent | None:
        """Answers a request with its first successful response; a repeated end of an attempt is ignored."""
        attempt = self.requests.finish_attempt(event.attempt_id)
        if attempt is None:
            return None
        request, attempt_index = attempt
        if event.result is AttemptResult.OK:
            connection_id = request.client_request.connection_id
            request.is_forwarded = not request.is_finished
            self.sink.answer(request, SendAnswer(connection_id, FinalAnswer.FORWARDED, event.response))
        request.is_possibly_executed |= not event.result.never_executed
        self._reserve_trace_id(request)
        self.requests.release_if_finished(request)
        return AttemptFinished(
            request.request_id, attempt_index, event.result, event.latency_ms, request.is_finished, 0
        )
