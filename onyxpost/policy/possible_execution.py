"""Decides which requests are possibly executed, and whether their clients may send them again."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from onyxpost.core.requests import Attempt, Request
from onyxpost.core.types import DeduplicationScope, Idempotency

if TYPE_CHECKING:
    from onyxpost.core.types import AttemptResult

ExecutionRule = Callable[[Request], Attempt | None]


def finish_attempt(attempt: Attempt, result: AttemptResult) -> None:
    """Ends an attempt; it remains possibly executed unless its result proves that it was never executed."""
    attempt.possibly_executed = attempt.possibly_executed and not result.never_executed
    attempt.finish()


def first_possible_execution(request: Request) -> Attempt | None:
    """Returns the first possibly executed attempt, in flight or ended; None if there is none."""
    return next((attempt for attempt in request.attempts if attempt.possibly_executed), None)


class ExecutionSafety:
    """Decides whether a second attempt or a retry by the client could execute a request twice.

    Attributes:
        first_possible_execution: the rule that returns a request's first possibly executed attempt, or None;
            the function of the same name in this module unless `replace_execution_rule` has replaced it.
    """

    def __init__(self) -> None:
        self.first_possible_execution: ExecutionRule = first_possible_execution

    def replace_execution_rule(self, rule: ExecutionRule) -> None:
        """Replaces the rule `first_possible_execution`; used by mutation testing only."""
        self.first_possible_execution = rule

    def safe_to_reject(self, request: Request) -> bool:
        """Returns whether the client may send the request again without risk of a second execution."""
        frontend = request.frontend
        if frontend.idempotency is Idempotency.IDEMPOTENT or self.first_possible_execution(request) is None:
            return True
        has_key = frontend.idempotency is Idempotency.IDEMPOTENCY_KEY
        return has_key and frontend.deduplication_scope is DeduplicationScope.ALL
