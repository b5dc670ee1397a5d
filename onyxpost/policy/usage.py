"""Counts the units that requests use, in leases and buckets, and for the reports to peers."""

from onyxpost.core.requests import Request
from onyxpost.core.sink import DecisionSink
from onyxpost.policy.leases import LeaseHolder
from onyxpost.policy.quota_gossip import QuotaGossip


class UsageRecorder:
    """Counts units for the customer's quota, and notes that its usage is to be reported."""

    def __init__(self, leases: LeaseHolder, gossip: QuotaGossip) -> None:
        self._leases = leases
        self._gossip = gossip

    def spend(self, now: float, request: Request, sink: DecisionSink) -> None:
        """Counts the units of a request that is sent."""
        self._leases.spend(now, request, sink)
        self._gossip.mark_changed(request.customer)

    def record_actual_units(self, request: Request, units: int) -> None:
        """Counts what the server says a request has used beyond its units; 0: it says nothing."""
        if units:
            request.customer.consume(int(units) - request.units, 0)
            self._gossip.mark_changed(request.customer)
