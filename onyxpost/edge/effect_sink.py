"""Converts the decisions of a round into effects. No I/O and no clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.events import AttemptFinished, RequestCancelled
from onyxpost.core.types import AttemptResult
from onyxpost.edge.messages import (
    CloseAttempt,
    Effect,
    FinalAnswer,
    RecordUnitsSpent,
    ReturnLease,
    SendAnswer,
    SendAttempt,
    SendPeerMessage,
    StartTimer,
    WatchEndpoints,
    WithdrawAttempt,
    encode_datagram,
)
from onyxpost.runtime.log_event import LogEvent

if TYPE_CHECKING:
    from onyxpost.core.events import Event as DecisionEvent
    from onyxpost.edge.endpoint_table import EndpointTable
    from onyxpost.edge.pending_requests import PendingRequest, PendingRequests


class EffectSink:
    """Implements `onyxpost.core.sink.DecisionSink` for the state machine.

    Each request gets at most one final answer, even if several are decided.

    Attributes:
        effects: the effects of the current round, in the order of the decisions.
        deferred_events: the events that the decision maker receives in the next round.
    """

    def __init__(self, requests: PendingRequests, endpoints: EndpointTable) -> None:
        """Creates a sink without effects.

        Args:
            requests: all pending requests.
            endpoints: the endpoints that accept new attempts.
        """
        self.effects: list[Effect] = []
        self.deferred_events: list[DecisionEvent] = []
        self._requests = requests
        self._endpoints = endpoints
        self._now = 0.0

    def begin_round(self, now: float) -> list[DecisionEvent]:
        """Starts a round at `now` (ms) and returns the events that were deferred to it."""
        self._now = now
        self.effects = []
        deferred_events = self.deferred_events
        self.deferred_events = []
        return deferred_events

    def emit(self, effect: Effect) -> None:
        """Adds an effect that is not the result of a decision, such as a log event."""
        self.effects.append(effect)

    # Answers

    def answer(self, request: PendingRequest, answer: SendAnswer) -> None:
        """Sends the final answer to a request, unless the request is finished."""
        if not request.is_finished:
            self.effects.append(answer)
            self.settle(request)

    def settle(self, request: PendingRequest) -> None:
        """Marks a request as finished, and withdraws those of its attempts that are not sent yet."""
        self._requests.settle(request)
        self.effects += [WithdrawAttempt(attempt) for attempt in self._requests.ids_in_flight(request)]
        self._requests.release_if_finished(request)

    def abort_undecided(self, request: PendingRequest) -> None:
        """Aborts a request that the decision maker has not ended.

        Its attempts in flight are closed, and the decision maker gets `RequestCancelled` in the next round.
        """
        for attempt_index in range(len(request.attempt_ids)):
            self.cancel_attempt(request.request_id, attempt_index)
        self._abort(request)
        self.deferred_events.append(RequestCancelled(request.request_id))

    # Decisions about requests

    def start_attempt(self, request_id: str, server: str, timeout_ms: float, latest_start_at: float) -> None:
        """Sends an attempt to a server.

        An attempt that cannot be sent any more ends with the result `UNUSED` in the next round.
        """
        request, attempt_index = self._requests.add_attempt(request_id)
        remaining_ms = min(timeout_ms, request.deadline - self._now)
        if request.is_finished or remaining_ms <= 0.0 or server not in self._endpoints.by_server:
            unused = AttemptFinished(
                request_id, attempt_index, AttemptResult.UNUSED, 0.0, request.is_finished, 0
            )
            self.deferred_events.append(unused)
            return
        attempt_id = self._requests.set_in_flight(request, attempt_index)
        endpoint = self._endpoints.by_server[server]
        self.effects.append(
            SendAttempt(attempt_id, endpoint, request.client_request, remaining_ms, latest_start_at)
        )

    def reject(self, request_id: str, retry_after_ms: float) -> None:
        """Answers that the request was not executed and may be retried after `retry_after_ms`."""
        request = self._requests.by_id.get(request_id)
        if request is not None:
            connection_id = request.client_request.connection_id
            self.answer(request, SendAnswer(connection_id, FinalAnswer.REJECTED, None, retry_after_ms))

    def abort(self, request_id: str) -> None:
        """Answers that the request failed and was possibly executed."""
        request = self._requests.by_id.get(request_id)
        if request is not None:
            self._abort(request)

    def cancel_attempt(self, request_id: str, attempt_index: int) -> None:
        """Closes the connection of an attempt, if it is still in flight."""
        request = self._requests.by_id.get(request_id)
        if request is None or attempt_index >= len(request.attempt_ids):
            return
        attempt_id = request.attempt_ids[attempt_index]
        if attempt_id in self._requests.attempts_in_flight:
            self.effects.append(CloseAttempt(attempt_id))

    def _abort(self, request: PendingRequest) -> None:
        self.answer(request, SendAnswer(request.client_request.connection_id, FinalAnswer.ABORTED))

    # Decisions that do not depend on requests or endpoints

    def send_peer_message(self, peer: int, body: str) -> None:
        """Sends one message to another node."""
        self.effects.append(SendPeerMessage(peer, encode_datagram(body)))

    def start_timer(self, delay_ms: float, token: int) -> None:
        """Posts `TimerFired(token)` after `delay_ms`."""
        self.effects.append(StartTimer(delay_ms, token))

    def log(self, line: str) -> None:
        """Logs a line from the policy, such as a change of its mode, as the log event `mode`."""
        self.effects.append(LogEvent("mode", {"line": line}))

    def watch_endpoints(self) -> None:
        """Starts the watch on discovery, unless one is running."""
        self.effects.append(WatchEndpoints())

    def record_units_spent(self, customer: int, plan: str, units: int, lease_id: int) -> None:
        """Reports the units of a request; see `RecordUnitsSpent`."""
        self.effects.append(RecordUnitsSpent(customer, plan, units, lease_id))

    def return_lease(self, lease_id: int, units: int) -> None:
        """Returns a lease with its remaining units."""
        self.effects.append(ReturnLease(lease_id, units))
