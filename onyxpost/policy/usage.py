"""Counts the units that requests use, in leases, in buckets and for reports to peers."""

from onyxpost.core.requests import Request
from onyxpost.core.sink import DecisionSink
from onyxpost.policy.gossip_messages import GossipMessenger
from onyxpost.policy.leases import LeaseHolder


class UsageRecorder:
    """Counts units against the customer's quota and marks its usage as to be reported."""

    def __init__(self, leases: LeaseHolder, gossip: GossipMessenger) -> None:
        self._leases = leases
        self._gossip = gossip

    def spend(self, now: float, request: Request, sink: DecisionSink) -> None:
        """Counts the units of a request when its first attempt starts."""
        self._leases.spend(now, request, sink)
        self._gossip.mark_changed(request.customer)

    def record_actual_units(self, request: Request, units: int) -> None:
        """Corrects the quota's tokens and the count of used units to the units that the server reports.

        Neither the hard limit nor a lease from which the units were taken is corrected.

        Args:
            request: the request.
            units: units that the server reports as used; 0 means that it reports none.
        """
        if units:
            request.customer.consume(int(units) - request.units, 0)
            self._gossip.mark_changed(request.customer)
