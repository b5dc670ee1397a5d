"""Which requests count as possibly executed, and when their clients may send them again."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from onyxpost.core.requests import Attempt, Request
from onyxpost.core.types import DeduplicationScope, Idempotency

if TYPE_CHECKING:
    from onyxpost.core.types import AttemptResult

ExecutionRule = Callable[[Request], Attempt | None]


def finish_attempt(attempt: Attempt, result: AttemptResult) -> None:
    """Ends an attempt; it stays possibly executed unless its result proves that it never was."""
    attempt.possibly_executed = attempt.possibly_executed and not result.never_executed
    attempt.finish()


def first_possible_execution(request: Request) -> Attempt | None:
    """Returns the first attempt that may have executed the request; one in flight may have, too."""
    return next((attempt for attempt in request.attempts if attempt.possibly_executed), None)


class ExecutionSafety:
    """Says whether a request may have been executed.

    Attributes:
        first_possible_execution: the rule in use, `first_possible_execution` of this module.
    """

    def __init__(self) -> None:
        self.first_possible_execution: ExecutionRule = first_possible_execution

    def replace_rule(self, rule: ExecutionRule) -> None:
        """Sets another rule; only mutation testing does."""
        self.first_possible_execution = rule

    def safe_to_reject(self, request: Request) -> bool:
        """Returns whether the client may send the request again without the risk of a second execution."""
        frontend = request.frontend
        if frontend.idempotency is Idempotency.IDEMPOTENT or self.first_possible_execution(request) is None:
            return True
        has_key = frontend.idempotency is Idempotency.IDEMPOTENCY_KEY
        return has_key and frontend.deduplication_scope is DeduplicationScope.ALL
