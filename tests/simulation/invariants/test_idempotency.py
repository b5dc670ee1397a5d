"""The checker reports retries and rejections of possibly executed requests that their idempotency forbids."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.types import DeduplicationScope, Idempotency
from onyxpost.simulation.invariants import Invariant

if TYPE_CHECKING:
    from tests.simulation.invariants.checker_host import CheckerHost


def test_retry_or_rejection_of_possibly_executed_non_idempotent_request(host: CheckerHost) -> None:
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


def test_retry_outside_of_deduplication_scope_or_window_and_rejection_with_key(host: CheckerHost) -> None:
    host.receive(idempotency=Idempotency.IDEMPOTENCY_KEY, scope=DeduplicationScope.ZONE)
    host.send(10.0)
    host.send(20.0, "s2", zone="elsewhere")
    host.assert_only(Invariant.IDEMPOTENCY, 20.0, server="s2")
    host.send(1500.0)
    host.assert_only(Invariant.IDEMPOTENCY, 1500.0)
    host.checker.on_final_answer(1600.0, "n1", "r", "denied")
    host.assert_only(Invariant.IDEMPOTENCY, 1600.0)
