"""Ends requests that are not retried any more: rejected if no second execution is possible, else aborted."""

from onyxpost.core.requests import Request
from onyxpost.core.sink import DecisionSink
from onyxpost.policy.load_shedding import LatencyLoadShedder
from onyxpost.policy.possible_execution import ExecutionSafety
from onyxpost.policy.request_completion import RequestCompletion
from onyxpost.policy.request_rejection import RequestRejecter


class FailureResponder:
    """Ends requests that got no final answer from a server."""

    def __init__(
        self,
        shedder: LatencyLoadShedder,
        completion: RequestCompletion,
        execution: ExecutionSafety,
        rejecter: RequestRejecter,
    ) -> None:
        self._shedder = shedder
        self._completion = completion
        self._execution = execution
        self._rejecter = rejecter

    def respond(self, request: Request, sink: DecisionSink) -> None:
        """Rejects a request if its client may send it again without a second execution, else aborts it.

        The load shedder counts the request as answered at its deadline.
        """
        self._shedder.record_unanswered(request, request.arrived_at)
        self._completion.finish(request, sink)
        if self._execution.safe_to_reject(request):
            self._rejecter.reject_for_capacity(request, sink)
        else:
            sink.abort(request.id)
