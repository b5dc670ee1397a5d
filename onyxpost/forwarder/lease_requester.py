"""Lease requests of a forwarder: their time, their planner and their units.

No I/O and no clock: times are arguments, in milliseconds by the forwarder's clock.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.forwarder.customer_usage import USAGE_RETENTION_MS, CustomerUsage
from onyxpost.planner import protocol
from onyxpost.planner.customer_assignment import planner_for_customer
from onyxpost.planner.protocol import AddressedMessage

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.forwarder.planner_sessions import PlannerSessions

# A lease is requested when the units left are less than this part of the needed units, or less than the
# largest recent client request.
REQUEST_THRESHOLD = 0.5
REQUEST_RETRY_MS = 500.0  # an unanswered lease request is repeated after this time
REQUEST_RETENTION_MS = 10.0 * REQUEST_RETRY_MS  # an unanswered lease request is dropped after this time
# A planner is unresponsive if it leaves a request unanswered, and sends nothing at all, for this time.
ANSWER_TIMEOUT_MS = 3000.0
MAX_RETRY_DELAY_MS = 10_000.0  # upper limit of the retry time; planners may send up to 60 s


class PendingRequest(NamedTuple):
    """A lease request that was sent and is unanswered."""

    customer: int
    sent_at_ms: float
    planner: str


NO_REQUEST = PendingRequest(-1, 0.0, "")


class LeaseRequester:
    """Tracks the use of each customer's quota, and requests leases before units run out."""

    def __init__(self, sessions: PlannerSessions, planners: Sequence[str], membership_version: int) -> None:
        self.sessions = sessions
        self.planners = list(planners)
        self.membership_version = membership_version
        self.usage: dict[int, CustomerUsage] = {}  # by customer
        self.pending_requests: dict[int, PendingRequest] = {}  # by request id
        self.last_request_id = 0

    def record_use(self, now_ms: float, customer: int, plan: str, units: int) -> None:
        """Records units that a client request consumed, or that it needed and did not get."""
        if customer not in self.usage:
            self.usage[customer] = CustomerUsage(plan)
        self.usage[customer].record(now_ms, plan, units)

    def find_planner(self, now_ms: float, customer: int) -> str | None:
        """Returns the customer's planner if a lease may be requested from it now.

        Returns None while a recent request is unanswered, the retry time is not over or the planner is not
        connected.
        """
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
        """Returns a lease request if `units_left` in the customer's leases are too few, otherwise None."""
        usage = self.usage[customer]
        needed = usage.units_needed(now_ms, self.sessions.lease_duration_ms(planner))
        if units_left >= max(REQUEST_THRESHOLD * needed, usage.largest_request):
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

    def take_pending_request(self, request_id: int) -> PendingRequest:
        """Removes and returns the pending request with this id; returns `NO_REQUEST` for an unknown id."""
        return self.pending_requests.pop(request_id, NO_REQUEST)

    def handle_granted(self, customer: int) -> None:
        """Handles an accepted grant: the next lease request may be sent at once."""
        usage = self.usage.get(customer)
        if usage is not None:
            usage.clear_pending_request()

    def handle_rejection(self, now_ms: float, rejection: protocol.LeaseRejection) -> bool:
        """Delays the next request by the planner's retry time; returns False for an unknown request."""
        request = self.pending_requests.pop(rejection.request_id, None)
        if request is None:
            return False
        usage = self.usage[request.customer]
        usage.on_request_rejected(now_ms + min(rejection.retry_after_ms, MAX_RETRY_DELAY_MS))
        return True

    def handle_connected(self, planner: str) -> None:
        """Drops the planner's unanswered requests, because answers on its previous connection are lost."""
        for request in self.pending_requests.values():
            if request.planner == planner and request.customer in self.usage:
                self.usage[request.customer].clear_pending_request()
        self.pending_requests = {
            request_id: request
            for request_id, request in self.pending_requests.items()
            if request.planner != planner
        }

    def drop_old_requests(self, now_ms: float) -> None:
        """Drops requests that have been unanswered for `REQUEST_RETENTION_MS`."""
        self.pending_requests = {
            request_id: request
            for request_id, request in self.pending_requests.items()
            if now_ms - request.sent_at_ms < REQUEST_RETENTION_MS
        }

    def active_customers(self, now_ms: float) -> list[int]:
        """Returns the customers with a recent client request; drops the usage of all others."""
        self.usage = {
            customer: usage
            for customer, usage in self.usage.items()
            if now_ms - usage.last_seen_at_ms < USAGE_RETENTION_MS
        }
        return list(self.usage)

    def unresponsive_planners(self, now_ms: float) -> set[str]:
        """Returns connected planners with an overdue request that sent nothing for `ANSWER_TIMEOUT_MS`."""
        overdue = (
            request.planner
            for request in self.pending_requests.values()
            if now_ms - request.sent_at_ms >= ANSWER_TIMEOUT_MS
        )
        return {
            planner
            for planner in overdue
            if self.sessions.is_connected(planner)
            and now_ms - self.sessions.last_received_at_ms[planner] >= ANSWER_TIMEOUT_MS
        }

    def is_awaiting_answer(self) -> bool:
        """Returns whether a request to a connected planner is unanswered."""
        return any(self.sessions.is_connected(request.planner) for request in self.pending_requests.values())

    def update_membership(self, planners: Sequence[str], membership_version: int) -> None:
        """Requests leases from the planners of another membership version from now on, without delay."""
        self.planners = list(planners)
        self.membership_version = membership_version
        self.pending_requests = {}
        for usage in self.usage.values():
            usage.allow_request()
