"""Admits requests by their customers' quotas: at once, or after a wait for hard-limit tokens."""

from onyxpost.core.customer_quota import CustomerQuota
from onyxpost.core.events import RequestArrived, TimerFired
from onyxpost.core.node_state import NodeState
from onyxpost.core.requests import Request
from onyxpost.core.seeded_random import SeededRandom
from onyxpost.core.sink import DecisionSink
from onyxpost.policy.hard_limit_wait import HardLimitWait
from onyxpost.policy.quotas import QuotaPolicy
from onyxpost.policy.request_rejection import RequestRejecter
from onyxpost.policy.request_routing import RequestRouter


class Admission:
    """Admits a request, queues it for hard-limit tokens, or rejects it over quota."""

    def __init__(
        self,
        state: NodeState,
        random: SeededRandom,
        quotas: QuotaPolicy,
        hard_limit_wait: HardLimitWait,
        router: RequestRouter,
        rejecter: RequestRejecter,
    ) -> None:
        self._state = state
        self._frontends = {frontend.name: frontend for frontend in state.options.frontends}
        self._random = random
        self._quotas = quotas
        self._hard_limit_wait = hard_limit_wait
        self._router = router
        self._rejecter = rejecter

    def on_request_arrived(self, now: float, event: RequestArrived, sink: DecisionSink) -> None:
        """Routes, queues or rejects a request that has just arrived."""
        if not self._state.customers.can_hold(event.customer):
            self._rejecter.reject_new_customer(event.request_id, sink)
            return
        request = self._new_request(now, event)
        customer = request.customer
        has_capacity = not self._hard_limit_wait.has_waiting(customer) and self._quotas.has_capacity(
            now, request
        )
        if not has_capacity and self._hard_limit_wait.should_wait(now, request):
            self._state.requests[request.id] = request
            self._hard_limit_wait.add(request)
        elif not has_capacity or self._random.next() > self._quotas.quota_admission_probability(customer):
            self._rejecter.reject_over_limit(request, sink)
        else:
            self._router.route(now, request, sink)

    def _new_request(self, now: float, event: RequestArrived) -> Request:
        customer = self._state.customers.get(event.customer)
        self._quotas.assign_plan(customer, now, self._state.options.placement(event))
        frontend = self._frontends[event.frontend]
        return Request(event.request_id, now, event.deadline, frontend, customer, event.units)

    def on_timer(self, now: float, _event: TimerFired, sink: DecisionSink) -> None:
        """Routes or rejects the queued requests of all customers whose wait is over."""
        for customer in self._hard_limit_wait.customers():
            self.release(now, customer, sink)

    def release(self, now: float, customer: CustomerQuota, sink: DecisionSink) -> None:
        """Routes or rejects the customer's queued requests whose wait is over."""
        for request, is_admitted in self._hard_limit_wait.release(now, customer):
            del self._state.requests[request.id]
            if is_admitted:
                self._router.route(now, request, sink)
            else:
                self._rejecter.reject_over_limit(request, sink)
