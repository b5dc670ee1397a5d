"""When a forwarder requests leases, from which planner, and of how many units.

Pure state: no I/O and no clock; every time is passed in, in milliseconds by the forwarder's clock.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.forwarder.customer_usage import USAGE_MEMORY_MS, CustomerUsage
from onyxpost.planner import protocol
from onyxpost.planner.customer_assignment import planner_for_customer
from onyxpost.planner.protocol import AddressedMessage

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.forwarder.planner_sessions import PlannerSessions

REFILL_THRESHOLD = 0.5  # more units are requested when leases have less than this part of what is needed
REQUEST_RETRY_MS = 500.0  # an unanswered lease request is repeated after this time
REQUEST_MEMORY_MS = 10.0 * REQUEST_RETRY_MS  # an unanswered lease request is forgotten after this time
ANSWER_TIMEOUT_MS = 3000.0  # a planner silent for this long, with a request unanswered, is unresponsive
MAX_RETRY_AFTER_MS = 10_000.0  # a longer retry time, of up to 60 s on the wire, is cut to this


class PendingRequest(NamedTuple):
    """A lease request without an answer."""

    customer: int
    sent_at_ms: float
    planner: str


NO_REQUEST = PendingRequest(-1, 0.0, "")


class LeaseRequester:
    """Use of each customer's quota, and the lease requests that follow from it."""

    def __init__(self, sessions: PlannerSessions, planners: Sequence[str], membership_version: int) -> None:
        self.sessions = sessions
        self.planners = list(planners)
        self.membership_version = membership_version
        self.usage: dict[int, CustomerUsage] = {}  # by customer
        self.pending_requests: dict[int, PendingRequest] = {}  # by request id
        self.last_request_id = 0

    def record_use(self, now_ms: float, customer: int, plan: str, units: int) -> None:
        """Records units that a client request consumed or lacked."""
        if customer not in self.usage:
            self.usage[customer] = CustomerUsage(plan)
        self.usage[customer].record(now_ms, plan, units)

    def find_planner(self, now_ms: float, customer: int) -> str | None:
        """The planner from which a lease may be requested now, if there is one."""
        usage = self.usage[customer]
        is_waiting = (
            now_ms < usage.retry_not_before_ms or now_ms - usage.request_sent_at_ms < REQUEST_RETRY_MS
        )
        if not self.planners or is_waiting:
            return None
        planner = planner_for_customer(self.planners, customer)
        return planner if self.sessions.is_connected(planner) else None

    def request_if_needed(
        self, now_ms: float, customer: int, planner: str, units_left: float
    ) -> AddressedMessage | None:
        """A lease request, if `units_left` in the customer's leases are too few."""
        usage = self.usage[customer]
        needed = usage.units_needed(now_ms, self.sessions.lease_duration_ms(planner))
        if units_left >= max(REFILL_THRESHOLD * needed, usage.largest_request):
            return None
        self.last_request_id += 1
        usage.on_request_sent(now_ms)
        self.pending_requests[self.last_request_id] = PendingRequest(customer, now_ms, planner)
        request = protocol.LeaseRequest(
            self.last_request_id,
            customer,
            usage.plan,
            max(1, math.ceil(needed)),
            usage.largest_request,
            self.membership_version,
        )
        return AddressedMessage(planner, request)

    def take_pending(self, request_id: int) -> PendingRequest:
        """Removes and returns a request that was answered; `NO_REQUEST` if it is unknown."""
        return self.pending_requests.pop(request_id, NO_REQUEST)

    def handle_granted(self, customer: int) -> None:
        """A grant was accepted: the next request may follow."""
        usage = self.usage.get(customer)
        if usage is not None:
            usage.clear_pending_request()

    def handle_rejection(self, now_ms: float, rejection: protocol.LeaseRejection) -> bool:
        """Waits the time that the planner gave; returns False for an unknown request."""
        request = self.pending_requests.pop(rejection.request_id, None)
        if request is None:
            return False
        usage = self.usage[request.customer]
        usage.on_request_rejected(now_ms + min(rejection.retry_after_ms, MAX_RETRY_AFTER_MS))
        return True

    def handle_connected(self, planner: str) -> None:
        """Forgets the planner's unanswered requests: answers on its previous connection are lost."""
        for request in self.pending_requests.values():
            if request.planner == planner and request.customer in self.usage:
                self.usage[request.customer].clear_pending_request()
        self.pending_requests = {
            request_id: request
            for request_id, request in self.pending_requests.items()
            if request.planner != planner
        }

    def forget_requests(self, now_ms: float) -> None:
        """Drops requests that have been unanswered for long."""
        self.pending_requests = {
            request_id: request
            for request_id, request in self.pending_requests.items()
            if now_ms - request.sent_at_ms < REQUEST_MEMORY_MS
        }

    def active_customers(self, now_ms: float) -> list[int]:
        """Customers seen lately; the others are dropped."""
        self.usage = {
            customer: usage
            for customer, usage in self.usage.items()
            if now_ms - usage.last_seen_at_ms < USAGE_MEMORY_MS
        }
        return list(self.usage)

    def unresponsive_planners(self, now_ms: float) -> set[str]:
        """Connected planners that left a request unanswered, and sent nothing, for the answer timeout."""
        late = (
            request.planner
            for request in self.pending_requests.values()
            if now_ms - request.sent_at_ms >= ANSWER_TIMEOUT_MS
        )
        return {
            planner
            for planner in late
            if self.sessions.is_connected(planner)
            and now_ms - self.sessions.last_received_at_ms[planner] >= ANSWER_TIMEOUT_MS
        }

    def is_awaiting_answer(self) -> bool:
        """Whether a connected planner has still to answer."""
        return any(self.sessions.is_connected(request.planner) for request in self.pending_requests.values())

    def update_membership(self, planners: Sequence[str], membership_version: int) -> None:
        """Requests leases from the planners of another membership."""
        self.planners = list(planners)
        self.membership_version = membership_version
        self.pending_requests = {}
        for usage in self.usage.values():
            usage.allow_request()
