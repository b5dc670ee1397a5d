"""Finishes requests and cancels their attempts in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.core.events import RequestCancelled, ResponseStarted
    from onyxpost.core.node_state import NodeState
    from onyxpost.core.requests import Request
    from onyxpost.core.sink import DecisionSink


class RequestCompletion:
    """Finishes requests, and removes them from the node's state once they have no attempts in flight."""

    def __init__(self, state: NodeState) -> None:
        self._requests = state.requests
        self._may_cancel = state.options.limits.may_cancel_attempts

    def on_request_cancelled(self, _now: float, event: RequestCancelled, sink: DecisionSink) -> None:
        """Finishes a request whose client has disconnected or that the host has aborted."""
        request = self._requests.get(event.request_id)
        if request is not None and not request.is_finished:
            self.finish(request, sink)

    def on_response_started(self, _now: float, event: ResponseStarted, _sink: DecisionSink) -> None:
        """Marks a request as streaming: it is not retried any more, and its attempts are not cancelled."""
        if event.request_id in self._requests:
            self._requests[event.request_id].is_streaming = True

    def finish(self, request: Request, sink: DecisionSink) -> None:
        """Finishes a request; cancels its attempts in flight if permitted and no response is streaming."""
        request.is_finished = True
        for attempt in request.attempts:
            if attempt.in_flight and self._may_cancel and not request.is_streaming:
                sink.cancel_attempt(request.id, attempt.index)
        self.remove_if_no_attempt_in_flight(request)

    def remove_if_no_attempt_in_flight(self, request: Request) -> None:
        """Removes a finished request once it has no attempts in flight."""
        if not request.has_attempt_in_flight():
            self._requests.pop(request.id, None)
