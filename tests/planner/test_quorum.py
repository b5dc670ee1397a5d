"""Assignment of customers to planners, and the quorum of forwarders that a planner needs to grant."""

from __future__ import annotations

from random import Random

import pytest

from onyxpost.planner.customer_assignment import planner_for_customer
from onyxpost.planner.lease_terms import LeaseTerms
from onyxpost.planner.quorum import HEARTBEAT_VALIDITY_MS, PlannerQuorum

TERMS = LeaseTerms(2000.0, 0.01)


def test_adding_a_planner_moves_only_customers_to_the_new_one() -> None:
    before = {customer: planner_for_customer(["p1", "p2", "p3"], customer) for customer in range(3000)}
    after = {customer: planner_for_customer(["p1", "p2", "p3", "p4"], customer) for customer in range(3000)}
    moved = [customer for customer in before if before[customer] != after[customer]]
    assert {after[customer] for customer in moved} == {"p4"}
    assert 600 < len(moved) < 900
    shares = [sum(1 for name in before.values() if name == planner) for planner in ("p1", "p2", "p3")]
    assert all(850 < share < 1150 for share in shares), shares


def test_majority_needs_valid_heartbeats_of_more_than_half_of_all_forwarders() -> None:
    quorum = PlannerQuorum(["a", "b", "c", "d"], 3)
    for forwarder in ("a", "b"):
        quorum.record_heartbeat(10.0, forwarder, 3)
    assert not quorum.has_majority(10.0)
    quorum.record_heartbeat(20.0, "c", 3)
    assert quorum.has_majority(20.0)
    assert not quorum.has_majority(20.0 + HEARTBEAT_VALIDITY_MS)
    assert not quorum.record_heartbeat(30.0, "unknown", 3)


@pytest.mark.parametrize("seed", range(40))
def test_no_two_membership_versions_have_a_majority_at_once(seed: int) -> None:
    forwarders = [f"n{index}" for index in range(7)]
    rng = Random(seed)
    now_ms = 0.0
    old = PlannerQuorum(forwarders, 1)
    new = PlannerQuorum(forwarders, 2)
    followed_version = dict.fromkeys(forwarders, 1)
    granting_starts_at_ms = None
    for _ in range(400):
        now_ms += rng.uniform(0.0, 100.0)
        forwarder = rng.choice(forwarders)
        if rng.random() < 0.05:
            followed_version[forwarder] = 2  # forwarders never follow an earlier version again
        for quorum in (old, new):
            if rng.random() < 0.6:  # otherwise the heartbeat is lost
                quorum.record_heartbeat(now_ms, forwarder, followed_version[forwarder])
        if new.detect_gain(now_ms):
            granting_starts_at_ms = now_ms + HEARTBEAT_VALIDITY_MS + TERMS.planner_duration_ms
        if granting_starts_at_ms is not None and now_ms >= granting_starts_at_ms:
            assert not old.has_majority(now_ms)
