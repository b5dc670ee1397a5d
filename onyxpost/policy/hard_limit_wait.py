"""Decides which requests wait for hard-limit tokens, and when their wait is over."""

from collections.abc import Iterator
from typing import NamedTuple

from onyxpost.core.customer_quota import CustomerQuota
from onyxpost.core.requests import Request
from onyxpost.policy.hard_limit_queue import HardLimitQueue
from onyxpost.policy.latency_estimates import LatencyEstimator
from onyxpost.policy.quotas import QuotaPolicy


class WaitDecision(NamedTuple):
    """A request whose wait is over, and whether it is admitted or rejected."""

    request: Request
    is_admitted: bool


class HardLimitWait:
    """Queues requests that lack only hard-limit tokens, of customers whose plan has a quota.

    Args:
        quotas: decides whether a customer has capacity.
        queue: the queued requests.
        latency: estimates the time that an answer takes.
        may_wait: whether requests may wait at all; False where planners grant leases.
    """

    # Margin between the latest start of a queued request and its latency deadline, in mean latencies, so that
    # the answer is in time.
    START_MARGIN_LATENCIES = 2.0
    # Must be 0.5: this factor of the sum of a request's arrival and deadline is the middle between the two. A
    # queued request must start by then, so that attempts have the second half of the client's time.
    MAX_WAIT_FRACTION = 0.5

    def __init__(
        self, quotas: QuotaPolicy, queue: HardLimitQueue, latency: LatencyEstimator, *, may_wait: bool
    ) -> None:
        self._quotas = quotas
        self._queue = queue
        self._latency = latency
        self._may_wait = may_wait

    def _latest_start(self, request: Request) -> float:
        """Returns the time until which a request may wait, in ms on the host's clock."""
        margin_ms = self.START_MARGIN_LATENCIES * self._latency.mean_latency_ms
        latest_in_time = request.latency_deadline - margin_ms
        return min(latest_in_time, self.MAX_WAIT_FRACTION * (request.arrived_at + request.deadline))

    def has_waiting(self, customer: CustomerQuota) -> bool:
        """Returns whether the customer has queued requests; later requests must not overtake them."""
        return self._queue.has_requests(customer)

    def customers(self) -> list[CustomerQuota]:
        """Returns the customers that have queued requests."""
        return self._queue.customers()

    def should_wait(self, now: float, request: Request) -> bool:
        """Returns whether a request lacks only hard-limit tokens and would get them by its latest start.

        Always False for a plan without a quota, whose quota bucket never holds tokens.
        """
        if not self._may_wait:
            return False
        deferral_ms = self._quotas.deferral_ms(now, request, self._queue.units(request.customer))
        return deferral_ms is not None and now + deferral_ms <= self._latest_start(request)

    def add(self, request: Request) -> None:
        """Appends a request to its customer's queue."""
        self._queue.append(request)

    def release(self, now: float, customer: CustomerQuota) -> Iterator[WaitDecision]:
        """Removes and yields the customer's queued requests whose wait is over.

        A request is rejected if its latest start has passed or its customer has no capacity. Requests
        that were finished while queued are removed but not yielded.
        """
        while (request := self._queue.first(customer)) is not None:
            customer.refill(now)
            is_late = now > self._latest_start(request)
            if not request.is_finished and not is_late and customer.hard_limit.tokens < request.units:
                return
            self._queue.pop(customer)
            if not request.is_finished:
                yield WaitDecision(request, not is_late and self._quotas.has_capacity(now, request))
