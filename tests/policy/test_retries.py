"""When requests whose attempts have failed are retried, aborted or rejected."""

from __future__ import annotations

from onyxpost.core.events import RequestCancelled
from onyxpost.core.types import AttemptResult, DeduplicationScope, Idempotency
from tests.policy.gateway_host import Host, kinds


def test_a_lost_request_with_a_key_is_retried_only_within_the_deduplication_window() -> None:
    # After 2.9 s, the servers are about to forget the key: the window is 3 s.
    for elapsed_ms, expected in ((300.0, "attempt"), (2900.0, "reject")):
        host = Host(idempotency=Idempotency.IDEMPOTENCY_KEY, late_weight=0.2)
        ((_, request_id, _, _),) = host.arrive()
        host.now += elapsed_ms
        assert kinds(host.end(request_id, AttemptResult.LOST, elapsed_ms)) == [expected]


def test_a_non_idempotent_request_that_was_possibly_executed_is_aborted() -> None:
    host = Host(idempotency=Idempotency.NON_IDEMPOTENT)
    ((_, request_id, _, _),) = host.arrive()
    assert kinds(host.end(request_id, AttemptResult.LOST)) == ["abort"]


def test_a_non_idempotent_request_that_was_not_executed_is_sent_to_another_server() -> None:
    host = Host(idempotency=Idempotency.NON_IDEMPOTENT)
    ((_, request_id, server, _),) = host.arrive()
    ((_, _, second, _),) = [d for d in host.end(request_id, AttemptResult.NO_CONNECTION) if d[0] == "attempt"]
    assert second != server


def test_a_request_with_a_key_of_its_zone_is_retried_in_its_zone_or_aborted() -> None:
    host = Host(
        servers=3, idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=DeduplicationScope.ZONE
    )  # one server per zone
    ((_, request_id, _, _),) = host.arrive()
    assert kinds(host.end(request_id, AttemptResult.ERROR)) == ["abort"]


def test_nothing_follows_a_final_answer() -> None:
    host = Host(servers=1)
    ((_, request_id, _, _),) = host.arrive()
    assert kinds(host.handle(RequestCancelled(request_id))) == ["cancel"]
    assert kinds(host.end(request_id, AttemptResult.CANCELLED, settled=True)) == []
    assert kinds(host.end(request_id, AttemptResult.CANCELLED, settled=True)) == []
