"""The lease cache of a forwarder: accepted and discarded grants, lease requests and returns."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from onyxpost.core.events import LeaseGranted, LeaseRevoked
from onyxpost.forwarder.lease_cache import EXPIRY_MARGIN_MS, LeaseCache
from onyxpost.planner import protocol

if TYPE_CHECKING:
    from collections.abc import Callable

CUSTOMER = 7


@pytest.fixture
def cache() -> LeaseCache:
    """A cache with a connection to the planner p1, whose epoch is e1."""
    cache = LeaseCache("f", ["p1"], 1)
    connect(cache, 0.0, "e1")
    return cache


def connect(cache: LeaseCache, now_ms: float, epoch: str) -> None:
    cache.handle_connected(now_ms, "p1", protocol.Welcome(1, "p1", epoch, 1, 2000.0))


def sent_requests(cache: LeaseCache) -> list[protocol.LeaseRequest]:
    messages = [message for _, message in cache.take_output().messages]
    return [message for message in messages if isinstance(message, protocol.LeaseRequest)]


def spend(cache: LeaseCache, now_ms: float, units: int = 3, local_id: int = 0) -> None:
    cache.record_units_spent(now_ms, CUSTOMER, "p", units, local_id)


def request_lease(cache: LeaseCache, now_ms: float) -> protocol.LeaseRequest:
    spend(cache, now_ms)
    (request,) = sent_requests(cache)
    return request


def make_grant(
    request: protocol.LeaseRequest, lease_id: int = 1, epoch: str = "e1", units: int = 5
) -> protocol.LeaseGrant:
    return protocol.LeaseGrant(request.request_id, lease_id, CUSTOMER, "p", units, epoch)


def test_lease_expires_by_the_time_of_its_request(cache: LeaseCache) -> None:
    request = request_lease(cache, 100.0)
    cache.handle_message(700.0, "p1", make_grant(request))
    assert cache.take_output().lease_events == [LeaseGranted(CUSTOMER, 1, 5, 2100.0 - EXPIRY_MARGIN_MS)]
    cache.tick(2000.0)
    assert LeaseRevoked(CUSTOMER, 1) in cache.take_output().lease_events


def test_duplicate_grant_counts_once(cache: LeaseCache) -> None:
    request = request_lease(cache, 100.0)
    for _ in range(2):
        cache.handle_message(200.0, "p1", make_grant(request))
    assert len(cache.take_output().lease_events) == 1


def test_grant_after_its_revocation_is_not_accepted(cache: LeaseCache) -> None:
    request = request_lease(cache, 100.0)
    cache.handle_message(200.0, "p1", protocol.LeaseRevocation(1, "e1"))
    cache.handle_message(210.0, "p1", make_grant(request))
    assert cache.take_output() == ([("p1", protocol.LeaseReturn(1, 0, "e1"))], [])


def test_revoked_lease_is_returned_with_its_unused_units(cache: LeaseCache) -> None:
    cache.handle_message(200.0, "p1", make_grant(request_lease(cache, 100.0)))
    spend(cache, 300.0, 2, local_id=1)
    cache.handle_message(400.0, "p1", protocol.LeaseRevocation(1, "e1"))
    assert LeaseRevoked(CUSTOMER, 1) in cache.take_output().lease_events
    cache.return_lease(1, 3)
    assert ("p1", protocol.LeaseReturn(1, 3, "e1")) in cache.take_output().messages


def test_grant_of_another_incarnation_or_without_a_request_is_not_accepted(cache: LeaseCache) -> None:
    request = request_lease(cache, 100.0)
    connect(cache, 150.0, "e2")
    cache.handle_message(200.0, "p1", make_grant(request))
    cache.handle_message(200.0, "p1", protocol.LeaseGrant(99, 5, CUSTOMER, "p", 5, "e2"))
    assert cache.take_output().lease_events == []


def test_grant_that_arrives_after_its_expiry_is_returned_unused(cache: LeaseCache) -> None:
    request = request_lease(cache, 100.0)
    cache.handle_message(2100.0, "p1", make_grant(request))
    assert cache.take_output() == ([("p1", protocol.LeaseReturn(1, 5, "e1"))], [])


def test_rejected_request_is_not_repeated_before_its_retry_time(cache: LeaseCache) -> None:
    request = request_lease(cache, 100.0)
    rejection = protocol.LeaseRejection(request.request_id, CUSTOMER, 400.0, "nothing is free")
    cache.handle_message(110.0, "p1", rejection)
    spend(cache, 200.0)
    assert sent_requests(cache) == []
    spend(cache, 511.0)
    assert len(sent_requests(cache)) == 1


def test_older_membership_is_not_followed(cache: LeaseCache) -> None:
    cache.update_membership(["p1", "p2"], 5)
    cache.update_membership(["p1"], 4)
    assert cache.membership_version == 5
    assert cache.requester.planners == ["p1", "p2"]


def test_records_of_old_leases_customers_and_requests_are_dropped(cache: LeaseCache) -> None:
    for number in range(2000):
        cache.handle_message(number * 1.0, "p1", protocol.LeaseRevocation(number, "e1"))
        cache.record_units_spent(number * 1.0, number, "p", 1, 0)
    cache.tick(200_000.0)
    assert len(cache.seen_leases) == 0
    assert cache.requester.usage == {}
    assert cache.requester.pending_requests == {}


def test_unanswered_request_is_repeated_on_the_next_connection() -> None:
    cache = LeaseCache("f", ["p1"], 1)
    for epoch in ("e1", "e1", "e2"):
        connect(cache, 100.0, epoch)
        spend(cache, 100.0)
        messages = [type(message) for _, message in cache.take_output().messages]
        assert messages == [protocol.LeaseRequest]
        cache.handle_disconnected("p1")


@pytest.mark.parametrize(
    "drop_request",
    [lambda cache: cache.update_membership(["p1", "p2"], 2), lambda cache: cache.tick(5_200.0)],
    ids=["by another membership", "by time"],
)
def test_grant_for_a_dropped_request_is_returned_once(
    cache: LeaseCache, drop_request: Callable[[LeaseCache], None]
) -> None:
    request = request_lease(cache, 100.0)
    drop_request(cache)
    cache.take_output()
    for _ in range(2):
        cache.handle_message(5_300.0, "p1", make_grant(request, lease_id=4))
    cache.handle_message(5_300.0, "p1", make_grant(request, lease_id=5, epoch="earlier"))
    assert cache.take_output() == ([("p1", protocol.LeaseReturn(4, 5, "e1"))], [])
