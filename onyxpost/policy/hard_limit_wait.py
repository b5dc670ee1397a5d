"""Which requests wait for tokens of the hard limit, and when they are decided on."""

from collections.abc import Iterator
from typing import NamedTuple

from onyxpost.core.customer_quota import CustomerQuota
from onyxpost.core.requests import Request
from onyxpost.policy.hard_limit_queue import HardLimitQueue
from onyxpost.policy.latency_estimates import LatencyEstimator
from onyxpost.policy.quotas import QuotaPolicy


class WaitDecision(NamedTuple):
    """A request that need not wait any more, and whether its quota admits it."""

    request: Request
    is_admitted: bool


class HardLimitWait:
    """Lets requests wait while only the hard limit lacks tokens.

    Args:
        quotas: what customers may spend.
        queue: the requests that wait.
        latency: how long an answer takes.
        may_wait: whether any request may wait; where planners grant leases, none does.
    """

    START_MARGIN_LATENCIES = 2.0  # mean latencies before the latency deadline, so that the answer is in time
    MAX_WAIT_FRACTION = 0.5  # of the time that the client waits

    def __init__(
        self, quotas: QuotaPolicy, queue: HardLimitQueue, latency: LatencyEstimator, *, may_wait: bool
    ) -> None:
        self._quotas = quotas
        self._queue = queue
        self._latency = latency
        self._may_wait = may_wait

    def _latest_start(self, request: Request) -> float:
        """Returns until when a request may wait, in ms."""
        margin_ms = self.START_MARGIN_LATENCIES * self._latency.mean_latency_ms
        in_time = request.latency_deadline - margin_ms
        return min(in_time, self.MAX_WAIT_FRACTION * (request.arrived_at + request.deadline))

    def has_waiting(self, customer: CustomerQuota) -> bool:
        """Returns whether requests of the customer wait, which later ones must not overtake."""
        return self._queue.has(customer)

    def customers(self) -> list[CustomerQuota]:
        """Returns the customers with requests that wait."""
        return self._queue.customers()

    def should_wait(self, now: float, request: Request) -> bool:
        """Returns whether a request lacks only hard-limit tokens, and gets them by its latest start."""
        if not self._may_wait:
            return False
        deferral_ms = self._quotas.deferral_ms(now, request, self._queue.units(request.customer))
        return deferral_ms is not None and now + deferral_ms <= self._latest_start(request)

    def add(self, request: Request) -> None:
        """Lets a request wait, behind those of the same customer that wait already."""
        self._queue.append(request)

    def release(self, now: float, customer: CustomerQuota) -> Iterator[WaitDecision]:
        """Removes requests that are finished (not yielded), too late (rejected) or have their tokens now."""
        while (request := self._queue.first(customer)) is not None:
            customer.refill(now)
            is_late = now > self._latest_start(request)
            if not request.is_finished and not is_late and customer.hard_limit.tokens < request.units:
                return
            self._queue.pop(customer)
            if not request.is_finished:
                yield WaitDecision(request, not is_late and self._quotas.has_capacity(now, request))
