"""Checks retries and rejections of requests that were possibly executed. Times are in ms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.types import DeduplicationScope, Idempotency
from onyxpost.simulation.invariants.records import Invariant

if TYPE_CHECKING:
    from collections.abc import Iterator

    from onyxpost.simulation.invariants.records import AttemptRecord, RequestRecord, Violation

REJECTED = "denied"


class IdempotencyChecker:
    """Checks attempts and final answers against the idempotency of the request's frontend."""

    def __init__(self, tolerance_ms: float) -> None:
        self.tolerance_ms = tolerance_ms

    def violations_of_attempt(self, request: RequestRecord, attempt: AttemptRecord) -> Iterator[Violation]:
        """Yields the violations by an attempt; must be called before it is added to the request."""
        earlier = request.first_possible_execution()
        if earlier is None:
            return
        match request.frontend.idempotency:
            case Idempotency.NON_IDEMPOTENT:
                description = f"retried though it was possibly executed at {earlier.server}"
                yield attempt.violation(Invariant.IDEMPOTENCY, description)
            case Idempotency.IDEMPOTENCY_KEY:
                for description in self._deduplication_failures(request, earlier, attempt):
                    yield attempt.violation(Invariant.IDEMPOTENCY, description)

    def _deduplication_failures(
        self, request: RequestRecord, earlier: AttemptRecord, attempt: AttemptRecord
    ) -> Iterator[str]:
        frontend = request.frontend
        if not _is_same_scope(frontend.deduplication_scope, earlier, attempt):
            yield f"retried outside of the deduplication scope of {earlier.server}"
        late_ms = attempt.sent_at_ms - earlier.first_byte_at_ms - frontend.deduplication_window_ms
        window_end_ms = earlier.first_byte_at_ms + frontend.deduplication_window_ms
        if attempt.sent_at_ms > window_end_ms + self.tolerance_ms:
            yield f"retried {late_ms:.0f} ms past the deduplication window"

    def violation_of_answer(self, request: RequestRecord, at_ms: float) -> Violation | None:
        """Returns a violation if the final answer of the request is not permitted."""
        earlier = request.first_possible_execution()
        if request.final_answer != REJECTED or earlier is None or _is_safe_to_reject(request):
            return None
        description = "rejected though it was possibly executed"
        return request.violation(Invariant.IDEMPOTENCY, at_ms, description, earlier.server)


def _is_same_scope(scope: DeduplicationScope, earlier: AttemptRecord, attempt: AttemptRecord) -> bool:
    match scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return attempt.zone == earlier.zone
        case _:
            return attempt.cell == earlier.cell


def _is_safe_to_reject(request: RequestRecord) -> bool:
    frontend = request.frontend
    if frontend.idempotency is Idempotency.IDEMPOTENCY_KEY:
        return frontend.deduplication_scope is DeduplicationScope.ALL
    return frontend.idempotency is Idempotency.IDEMPOTENT
