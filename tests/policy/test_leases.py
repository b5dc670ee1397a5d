"""Leases of quota units: how they are spent before the node's own tokens, granted, revoked and returned."""

from __future__ import annotations

from unittest import mock

import pytest

from onyxpost.core.customer_quota import CustomerQuota, Lease
from onyxpost.core.customer_table import CustomerTable
from onyxpost.core.events import LeaseGranted, LeaseRevoked
from onyxpost.core.types import Plan
from onyxpost.policy.leases import OWN_SHARE_LEASE_ID, LeaseHolder, leased_units, spend

NOW = 1000.0
CUSTOMER_KEY = 7


@pytest.fixture
def customers() -> CustomerTable:
    """A table with one customer whose two buckets hold ten tokens each."""
    table = CustomerTable(NOW)
    customer = table.get(CUSTOMER_KEY)
    customer.set_plan(Plan("p", 1.0, 10.0, 0, 1.0, 1.0, 10.0), 1.0, 1.0, 1000.0)
    customer.quota.tokens = 10.0
    customer.hard_limit.tokens = 10.0
    return table


@pytest.fixture
def customer(customers: CustomerTable) -> CustomerQuota:
    return customers.get(CUSTOMER_KEY)


def test_leases_are_spent_in_their_order_before_own_tokens(customer: CustomerQuota) -> None:
    customer.leases = {1: Lease(2.0, NOW + 1.0), 2: Lease(5.0, NOW + 1.0)}
    assert spend(customer, NOW, 4) == [(1, 2), (2, 2)]
    assert [lease.units for lease in customer.leases.values()] == [0.0, 3.0]
    assert (customer.quota.tokens, customer.hard_limit.tokens, customer.units_used) == (10.0, 10.0, 4)


def test_leases_that_do_not_hold_all_units_are_not_touched(customer: CustomerQuota) -> None:
    customer.leases = {1: Lease(3.0, NOW + 1.0)}
    assert spend(customer, NOW, 4) == [(OWN_SHARE_LEASE_ID, 4)]
    assert customer.leases[1].units == 3.0
    assert (customer.quota.tokens, customer.hard_limit.tokens, customer.units_used) == (6.0, 6.0, 4)


def test_an_expired_lease_holds_nothing(customer: CustomerQuota) -> None:
    customer.leases = {1: Lease(5.0, NOW), 2: Lease(5.0, NOW + 1.0)}
    assert leased_units(customer, NOW) == 5.0
    assert spend(customer, NOW, 5) == [(2, 5)]
    assert customer.leases[1].units == 5.0


def test_a_lease_that_cannot_be_used_is_returned_at_once(customers: CustomerTable) -> None:
    sink = mock.Mock()
    holder = LeaseHolder(customers, has_planners=True)
    holder.on_lease_granted(NOW, LeaseGranted(CUSTOMER_KEY, 1, 5, NOW), sink)
    holder.on_lease_granted(NOW, LeaseGranted(CUSTOMER_KEY + 1, 2, 6, NOW + 1.0), sink)
    assert sink.mock_calls == [mock.call.return_lease(1, 5), mock.call.return_lease(2, 6)]
    assert customers.get(CUSTOMER_KEY).leases == {}


def test_a_revoked_lease_is_returned_with_what_is_left_of_it(customers: CustomerTable) -> None:
    sink = mock.Mock()
    holder = LeaseHolder(customers, has_planners=True)
    holder.on_lease_granted(NOW, LeaseGranted(CUSTOMER_KEY, 1, 5, NOW + 1.0), sink)
    spend(customers.get(CUSTOMER_KEY), NOW, 3)
    for _ in range(2):
        holder.on_lease_revoked(NOW, LeaseRevoked(CUSTOMER_KEY, 1), sink)
    assert sink.mock_calls == [mock.call.return_lease(1, 2), mock.call.return_lease(1, 0)]
