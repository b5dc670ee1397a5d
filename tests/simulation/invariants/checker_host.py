"""A host that reports events to the checker. Defaults: node n1, request r, server s1. Times are in ms."""

from __future__ import annotations

from onyxpost.core.types import DeduplicationScope, Frontend, Idempotency, Plan, SlowStartPolicy
from onyxpost.simulation.invariants import AttemptRecord, Invariant, InvariantChecker

CLIENT_TIMEOUT_MS = 2000.0
DEDUPLICATION_WINDOW_MS = 1000.0
DRAIN_GRACE_MS = 250.0
MAX_REQUEST_UNITS = 2
SLOW_START = SlowStartPolicy(0.2, 10_000.0, 4.0, 1000.0)
PLAN_WITH_HARD_LIMIT = Plan("p", 1.0, 4.0, 0, 1.0, 2.0, 10.0)


def frontend(idempotency: Idempotency, scope: DeduplicationScope = DeduplicationScope.ALL) -> Frontend:
    return Frontend(
        "f", 500.0, CLIENT_TIMEOUT_MS, idempotency, scope, DEDUPLICATION_WINDOW_MS, 1.0, 0.0, 0.0, False
    )


class CheckerHost:
    def __init__(self, tolerance_ms: float = 0.0) -> None:
        self.checker = InvariantChecker(
            drain_grace_ms=DRAIN_GRACE_MS,
            slow_start=SLOW_START,
            plans=[PLAN_WITH_HARD_LIMIT],
            tolerance_ms=tolerance_ms,
            max_request_units=MAX_REQUEST_UNITS,
        )

    def receive(
        self,
        request_id: str = "r",
        idempotency: Idempotency = Idempotency.IDEMPOTENT,
        scope: DeduplicationScope = DeduplicationScope.ALL,
        node: str = "n1",
    ) -> None:
        self.checker.on_request_received(
            0.0, node, request_id, frontend(idempotency, scope), "c", 2, CLIENT_TIMEOUT_MS
        )

    def send(
        self,
        at_ms: float,
        server: str = "s1",
        request_id: str = "r",
        *,
        node: str = "n1",
        zone: str = "h",
        plan: str = "",
        first_byte_at_ms: float | None = None,
    ) -> None:
        first_byte = at_ms if first_byte_at_ms is None else first_byte_at_ms
        self.checker.on_attempt_sent(
            AttemptRecord(node, request_id, server, at_ms, first_byte, zone, 0, plan)
        )

    def assert_no_violation(self) -> None:
        assert self.checker.violations == []

    def assert_only(
        self, invariant: Invariant, at_ms: float, request_id: str = "r", server: str = "s1"
    ) -> None:
        """Asserts that there is exactly one violation, by node n1, and removes it for the next assertion."""
        (violation,) = self.checker.violations
        found = (violation.invariant, violation.at_ms, violation.node, violation.request_id, violation.server)
        assert found == (invariant, at_ms, "n1", request_id, server)
        self.checker.violations.clear()
