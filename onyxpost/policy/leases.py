"""Leases of quota units. Requests spend leased units before the tokens of the node's own buckets."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.core.customer_quota import Lease

if TYPE_CHECKING:
    from onyxpost.core.customer_quota import CustomerQuota
    from onyxpost.core.customer_table import CustomerTable
    from onyxpost.core.events import LeaseGranted, LeaseRevoked
    from onyxpost.core.requests import Request
    from onyxpost.core.sink import DecisionSink

OWN_SHARE_LEASE_ID = 0  # stands for the node's own buckets, its share of the quota


class LeaseUse(NamedTuple):
    """Units that a request takes from a lease, or from the node's own share (`OWN_SHARE_LEASE_ID`)."""

    lease_id: int
    units: int


def leased_units(customer: CustomerQuota, now: float) -> float:
    """Returns the units that are left in the customer's unexpired leases."""
    return sum(lease.units for lease in customer.leases.values() if now < lease.expires_at)


def spend(customer: CustomerQuota, now: float, units: int) -> list[LeaseUse]:
    """Takes a request's units from leases if these hold all of them, else from this node's buckets.

    Returns the units that were taken from each lease, or from the buckets.
    """
    if leased_units(customer, now) < units:
        customer.consume(units, units)
        return [LeaseUse(OWN_SHARE_LEASE_ID, units)]
    customer.units_used += units
    uses = []
    for lease_id, lease in customer.leases.items():
        if now >= lease.expires_at:
            continue
        used_units = int(min(units, lease.units))
        lease.units -= used_units
        units -= used_units
        if used_units:
            uses.append(LeaseUse(lease_id, used_units))
    return uses


class LeaseHolder:
    """Holds the leases that planners grant, and reports the units that requests spend or ask for.

    Args:
        customers: the customers that this node knows.
        has_planners: whether planners grant leases; without them nothing is reported.
    """

    def __init__(self, customers: CustomerTable, *, has_planners: bool) -> None:
        self._customers = customers
        self._has_planners = has_planners

    def on_lease_granted(self, now: float, event: LeaseGranted, sink: DecisionSink) -> None:
        """Adds a lease; returns it at once if its customer is unknown or it has already expired."""
        customer = self._customers.by_key.get(event.customer)
        if customer is None or event.expires_at <= now:
            sink.return_lease(event.lease_id, event.units)
        else:
            customer.leases[event.lease_id] = Lease(event.units, event.expires_at)

    def on_lease_revoked(self, _now: float, event: LeaseRevoked, sink: DecisionSink) -> None:
        """Removes a lease and returns its remaining units; 0 units if the lease is not known."""
        customer = self._customers.by_key.get(event.customer)
        lease = None if customer is None else customer.leases.pop(event.lease_id, None)
        sink.return_lease(event.lease_id, 0 if lease is None else int(lease.units))

    def spend(self, now: float, request: Request, sink: DecisionSink) -> None:
        """Takes an admitted request's units from its customer's leases or buckets."""
        for use in spend(request.customer, now, request.units):
            self._report(request, use, sink)

    def report_rejected_units(self, request: Request, sink: DecisionSink) -> None:
        """Reports all units of a rejected request as demand, with `OWN_SHARE_LEASE_ID`."""
        self._report(request, LeaseUse(OWN_SHARE_LEASE_ID, request.units), sink)

    def _report(self, request: Request, use: LeaseUse, sink: DecisionSink) -> None:
        if self._has_planners:
            customer = request.customer
            sink.record_units_spent(customer.key, customer.plan.name, use.units, use.lease_id)
