"""A request that was possibly executed is retried and rejected only as its idempotency permits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.types import DeduplicationScope, Idempotency
from onyxpost.simulation.invariants import Invariant

if TYPE_CHECKING:
    from tests.simulation.invariants.checker_host import CheckerHost


def test_non_idempotent_request_retried_or_rejected_after_possible_execution(host: CheckerHost) -> None:
    host.receive(idempotency=Idempotency.NON_IDEMPOTENT)
    host.send(10.0)
    host.send(20.0, "s2")
    host.assert_only(Invariant.IDEMPOTENCY, 20.0, server="s2")
    host.checker.on_final_answer(30.0, "n1", "r", "denied")
    host.assert_only(Invariant.IDEMPOTENCY, 30.0)


def test_non_idempotent_request_that_was_never_executed_may_be_retried(host: CheckerHost) -> None:
    host.receive(idempotency=Idempotency.NON_IDEMPOTENT)
    host.send(10.0)
    host.checker.on_attempt_ended(15.0, "n1", "r", 0, never_executed=True)
    host.send(20.0, "s2")
    host.assert_no_violation()


def test_request_with_key_retried_outside_of_scope_or_window_or_rejected(host: CheckerHost) -> None:
    host.receive(idempotency=Idempotency.IDEMPOTENCY_KEY, scope=DeduplicationScope.ZONE)
    host.send(10.0)
    host.send(20.0, "s2", zone="elsewhere")
    host.assert_only(Invariant.IDEMPOTENCY, 20.0, server="s2")
    host.send(1500.0)
    host.assert_only(Invariant.IDEMPOTENCY, 1500.0)
    host.checker.on_final_answer(1600.0, "n1", "r", "denied")
    host.assert_only(Invariant.IDEMPOTENCY, 1600.0)
