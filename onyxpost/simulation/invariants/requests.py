"""The requests of a run, and those among them without a final answer. Times are in ms."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.simulation.invariants.records import RequestRecord

RequestKey = tuple[str, str]
"""A node's name and the id of a request at it."""


class RequestHistory:
    """The requests that can still have events, and those among them that require an answer."""

    def __init__(self) -> None:
        self.requests: dict[RequestKey, RequestRecord] = {}
        self._unanswered: dict[RequestKey, RequestRecord] = {}

    def add(self, request: RequestRecord) -> None:
        """Records a request that its node has received, and that requires a final answer."""
        key = (request.node, request.request_id)
        self.requests[key] = request
        self._unanswered[key] = request

    def get(self, node: str, request_id: str) -> RequestRecord | None:
        """Returns the request; None if it is unknown or was forgotten."""
        return self.requests.get((node, request_id))

    def forget(self, node: str, request_id: str) -> None:
        """Removes a request that can have no further events."""
        self.requests.pop((node, request_id), None)

    def record_answer(self, request: RequestRecord, final_answer: str) -> None:
        """Records the final answer of a request, which then is not overdue any more."""
        request.final_answer = final_answer
        self._unanswered.pop((request.node, request.request_id), None)

    def excuse_answer(self, node: str, request_id: str) -> RequestRecord | None:
        """Waives the answer to a request. Returns the request; None if it required no answer."""
        request = self._unanswered.pop((node, request_id), None)
        if request is not None:
            request.is_answer_excused = True
        return request

    def excuse_answers_of(self, node: str) -> None:
        """Waives the answers to all requests of a node."""
        for key in [key for key in self._unanswered if key[0] == node]:
            self.excuse_answer(*key)

    def overdue(self, now_ms: float, tolerance_ms: float) -> list[RequestRecord]:
        """Returns the requests that still require an answer past their deadline."""
        return [
            request for request in self._unanswered.values() if now_ms > request.deadline_ms + tolerance_ms
        ]
