"""State machine of an edge node. No I/O and no clock: events and the time come in, effects go out."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

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
from onyxpost.core.types import AttemptResult
from onyxpost.edge.effect_sink import EffectSink
from onyxpost.edge.endpoint_table import EndpointTable
from onyxpost.edge.messages import (
    AttemptEnded,
    ClientDisconnected,
    ClientRequest,
    CloseAttempt,
    EdgeEvent,
    Effect,
    EndpointUpdate,
    EndpointUpdateFailed,
    FinalAnswer,
    RetireEndpoint,
    SendAnswer,
    SendAttempt,
    WithdrawAttempt,
)
from onyxpost.edge.pending_requests import PendingRequest, PendingRequests
from onyxpost.runtime.log_event import LogEvent, fault_event

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from onyxpost.config.deployment import Deployment
    from onyxpost.core.sink import DecisionMaker


class EdgeStateMachine(EffectSink):
    """Hosts the decision maker on sockets: passes events to it and carries out its decisions as effects.

    Each request gets exactly one final answer, also where the decision maker fails.

    Attributes:
        requests: all pending requests.
        endpoints: the servers that accept new attempts.
        deferred_events: events that the decision maker receives in the next round.
    """

    def __init__(self, deployment: Deployment, decision_maker: DecisionMaker) -> None:
        """Creates a state machine without requests and endpoints."""
        super().__init__()
        self.decision_maker = decision_maker
        self.requests = PendingRequests()
        self.endpoints = EndpointTable()
        self.deferred_events: list[DecisionEvent] = []
        self._answer_margin_ms = deployment.tick_ms  # an answer is sent before the client's timeout
        self._now = 0.0

    @property
    def unanswered_count(self) -> int:
        """The number of requests that are owed an answer."""
        return len(self.requests.by_connection)

    def step(self, now: float, events: Sequence[EdgeEvent]) -> list[Effect]:
        """Handles all events of one round; returns the effects in the order of the decisions."""
        self._now = now
        self.effects = []
        decision_events = self.deferred_events
        self.deferred_events = []
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
        return self.effects

    def _decide(self, remaining: Iterator[DecisionEvent]) -> bool:
        """Passes the remaining events to the decision maker; returns whether no further call is needed.

        An exception is logged, and the events after the one that raised it are left in `remaining`.
        """
        current: DecisionEvent | None = None

        def remember_current() -> Iterator[DecisionEvent]:
            nonlocal current
            for event in remaining:
                current = event
                yield event

        try:
            self.decision_maker.handle(self._now, remember_current(), self)
        except Exception as error:
            self.effects.append(fault_event(type(current).__name__, error))
            if isinstance(current, RequestArrived | AttemptFinished):
                request = self.requests.by_id.get(current.request_id)
                if request is not None and not request.in_flight:
                    self._abandon(request)  # nothing else would answer it
            return current is None  # a failure before the first event would repeat without end
        return True

    def _abort_overdue_requests(self) -> None:
        """Aborts requests past their client's timeout: the decision maker should have ended them before."""
        requests = self.requests.by_connection.values()
        overdue = [request for request in requests if self._now >= request.deadline + self._answer_margin_ms]
        for request in overdue:
            trace_id = request.client_request.trace_id
            self.effects.append(LogEvent("overdue", {"request": trace_id}, logging.ERROR))
            self._abandon(request)

    def _abandon(self, request: PendingRequest) -> None:
        """Aborts a request that the decision maker has not ended, and cancels it there in the next round."""
        for attempt_index in range(len(request.attempt_ids)):
            self.cancel_attempt(request.request_id, attempt_index)
        self._abort(request)
        self.deferred_events.append(RequestCancelled(request.request_id))

    # Events

    def _handle(self, event: EdgeEvent) -> DecisionEvent | None:
        """Applies an event to the state; returns the event for the decision maker, if there is one."""
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
                return EndpointsStale() if event.stale else EndpointPollFailed()
            case _:  # meant for the decision maker alone
                return event

    def handle_client_request(self, client_request: ClientRequest) -> DecisionEvent | None:
        """Adds a request; one with the trace id of a pending request is aborted without an attempt."""
        if client_request.trace_id in self.requests.by_trace_id:
            # Its attempts could be executed beside those of the first request with this trace id.
            self.effects.append(SendAnswer(client_request.connection_id, FinalAnswer.ABORTED))
            return None
        deadline = client_request.received_at + client_request.timeout_ms - self._answer_margin_ms
        request = self.requests.add(client_request, deadline)
        return RequestArrived(
            request.request_id,
            deadline,
            client_request.frontend,
            client_request.customer,
            client_request.plan,
            client_request.units,
            client_request.set_size,
            client_request.first_node,
        )

    def handle_client_disconnected(self, event: ClientDisconnected) -> DecisionEvent | None:
        """Cancels the request of a connection that has ended, if it has one."""
        request = self.requests.by_connection.get(event.connection_id)
        if request is None:
            return None
        self._settle(request)
        return RequestCancelled(request.request_id)

    def handle_endpoint_update(self, update: EndpointUpdate) -> DecisionEvent:
        """Retires the endpoints that are no longer ready or have moved."""
        self.effects += [RetireEndpoint(endpoint) for endpoint in self.endpoints.apply(update)]
        return EndpointsUpdated(update.complete, update.endpoints)

    def handle_attempt_ended(self, event: AttemptEnded) -> DecisionEvent | None:
        """Answers a request with its first successful response; a second end of an attempt is ignored."""
        attempt = self.requests.finish_attempt(event.attempt_id)
        if attempt is None:
            return None
        request, attempt_index = attempt
        settled = request.answered
        if event.result is AttemptResult.OK and not settled:
            settled = True
            connection_id = request.client_request.connection_id
            self._answer(request, SendAnswer(connection_id, FinalAnswer.FORWARDED, event.response))
        self.requests.release_if_finished(request)
        return AttemptFinished(request.request_id, attempt_index, event.result, event.latency_ms, settled, 0)

    # Answers

    def _answer(self, request: PendingRequest, answer: SendAnswer) -> None:
        if not request.answered:
            self.effects.append(answer)
            self._settle(request)

    def _abort(self, request: PendingRequest) -> None:
        self._answer(request, SendAnswer(request.client_request.connection_id, FinalAnswer.ABORTED))

    def _settle(self, request: PendingRequest) -> None:
        """Marks a request as needing no further answer, and withdraws its attempts that are not sent yet."""
        self.requests.set_answered(request)
        self.effects += [WithdrawAttempt(attempt) for attempt in self.requests.ids_in_flight(request)]
        self.requests.release_if_finished(request)

    # Decisions on requests (DecisionSink)

    def start_attempt(self, request_id: str, server: str, timeout_ms: float, begin_before: float) -> None:
        """Sends an attempt to a server; one that cannot be sent any more ends as unused in the next round."""
        request, attempt_index = self.requests.add_attempt(request_id)
        remaining_ms = min(timeout_ms, request.deadline - self._now)
        if request.answered or remaining_ms <= 0.0 or server not in self.endpoints.by_server:
            unused = AttemptFinished(
                request_id, attempt_index, AttemptResult.UNUSED, 0.0, request.answered, 0
            )
            self.deferred_events.append(unused)
            return
        attempt_id = self.requests.set_in_flight(request, attempt_index)
        endpoint = self.endpoints.by_server[server]
        self.effects.append(
            SendAttempt(attempt_id, endpoint, request.client_request, remaining_ms, begin_before)
        )

    def reject(self, request_id: str, retry_after_ms: float) -> None:
        """Answers that the request was not executed and may be sent again after `retry_after_ms`."""
        request = self.requests.by_id.get(request_id)
        if request is not None:
            connection_id = request.client_request.connection_id
            self._answer(request, SendAnswer(connection_id, FinalAnswer.REJECTED, None, retry_after_ms))

    def abort(self, request_id: str) -> None:
        """Answers that the request failed and may have been executed."""
        request = self.requests.by_id.get(request_id)
        if request is not None:
            self._abort(request)

    def cancel_attempt(self, request_id: str, attempt_index: int) -> None:
        """Closes the connection of an attempt that is still in flight."""
        request = self.requests.by_id.get(request_id)
        if request is None or attempt_index >= len(request.attempt_ids):
            return
        attempt_id = request.attempt_ids[attempt_index]
        if attempt_id in self.requests.attempts_in_flight:
            self.effects.append(CloseAttempt(attempt_id))
