"""Handles the end of an attempt: the request is answered, retried, rejected or aborted."""

from onyxpost.core.events import AttemptFinished
from onyxpost.core.node_state import NodeState
from onyxpost.core.requests import Attempt
from onyxpost.core.sink import DecisionSink
from onyxpost.core.types import AttemptResult
from onyxpost.policy.failure_response import FailureResponder
from onyxpost.policy.load_shedding import LatencyLoadShedder
from onyxpost.policy.possible_execution import finish_attempt
from onyxpost.policy.request_completion import RequestCompletion
from onyxpost.policy.retry_dispatch import RetryDispatcher
from onyxpost.policy.server_assessment import ServerAssessment
from onyxpost.policy.usage import UsageRecorder


class AttemptResultHandler:
    """Decides whether a request whose attempt has ended is finished, retried, rejected or aborted."""

    def __init__(
        self,
        state: NodeState,
        assessment: ServerAssessment,
        shedder: LatencyLoadShedder,
        usage: UsageRecorder,
        completion: RequestCompletion,
        retries: RetryDispatcher,
        failure_responder: FailureResponder,
    ) -> None:
        self._requests = state.requests
        self._assessment = assessment
        self._shedder = shedder
        self._usage = usage
        self._completion = completion
        self._retries = retries
        self._failure_responder = failure_responder

    def on_attempt_finished(self, now: float, event: AttemptFinished, sink: DecisionSink) -> None:
        """Records the result of an attempt and decides on its request; unknown attempts are ignored."""
        attempt = self._find(event)
        if attempt is None:
            return
        request = attempt.request
        finish_attempt(attempt, event.result)
        self._assessment.record_result(now, attempt, event, sink)
        if event.result is AttemptResult.OK and not request.is_finished:
            self._shedder.record_completion(request, now)
            self._usage.record_actual_units(request, event.actual_units)
        if event.is_request_finished and not request.is_finished:
            self._completion.finish(request, sink)
        elif request.is_finished:
            self._completion.remove_if_no_attempt_in_flight(request)
        elif not (
            request.has_attempt_in_flight() or request.is_streaming or self._retries.retry(now, request, sink)
        ):
            self._failure_responder.respond(request, sink)

    def _find(self, event: AttemptFinished) -> Attempt | None:
        request = self._requests.get(event.request_id)
        if request is None or event.attempt_index >= len(request.attempts):
            return None
        return request.attempts[event.attempt_index]
