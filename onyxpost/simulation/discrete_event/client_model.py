"""Clients: Poisson arrivals of requests, the choice of a node, timeouts and retries."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING, Protocol

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.discrete_event import metrics as counters
from onyxpost.simulation.discrete_event.outcomes import Outcome, OutcomeCallback
from onyxpost.simulation.discrete_event.workload import ClientRequest, Customer, create_customers, mean_units

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from onyxpost.simulation.discrete_event.environment import Environment


class RequestReceiver(Protocol):
    """The interface of an edge node to its clients."""

    is_alive: bool
    incarnation: int

    def receive_request(self, request: ClientRequest, on_outcome: OutcomeCallback) -> str:
        """Handles a try of a request and returns its id; `on_outcome` may be called before this returns."""

    def disconnect_client(self, request_id: str) -> None:
        """Handles that the client of a request has disconnected."""


class ClientModel:
    """All clients of all customers.

    Attributes:
        customers: all customers, in the order of their plans.
    """

    def __init__(self, environment: Environment, nodes: Sequence[RequestReceiver]) -> None:
        self._environment = environment
        self._clock = environment.clock
        self._metrics = environment.metrics
        self._scenario = environment.scenario
        self._options = environment.scenario.clients
        self._nodes = nodes
        self._nodes_considered_up = [True] * len(nodes)
        self._rng = Random(f"{environment.seed}/clients")
        self._mean_units = mean_units(environment.scenario)
        self.customers = create_customers(environment.scenario, environment.plans, environment.seed)

    def start(self) -> None:
        """Starts the arrivals of all customers."""
        for customer in self.customers:
            self._change_node_weights(customer)
            self._schedule_request(customer)

    def set_node_considered_up(self, node_index: int, is_up: bool) -> None:
        """Sets whether clients send requests to a node."""
        self._nodes_considered_up[node_index] = is_up

    def start_surge(self, plan: str, factor: float) -> list[Customer]:
        """Multiplies the load of a plan's customers, or of all customers if `plan` is empty.

        Returns:
            The customers whose load was changed.
        """
        customers = [customer for customer in self.customers if not plan or customer.plan.name == plan]
        for customer in customers:
            customer.load_factor *= factor
        return customers

    def end_surge(self, customers: Iterable[Customer], factor: float) -> None:
        """Divides the load of customers by the factor of an earlier surge."""
        for customer in customers:
            customer.load_factor /= factor

    # Arrivals

    def _change_node_weights(self, customer: Customer) -> None:
        """Draws new weights by which a customer's requests are spread over its nodes."""
        customer.node_weights = [self._rng.expovariate(1.0) for _ in range(customer.node_count)]
        duration_ms = MS_PER_SECOND * self._rng.uniform(*self._options.weight_change_s)
        self._clock.call_after(duration_ms, self._change_node_weights, customer)

    def _schedule_request(self, customer: Customer) -> None:
        requests_per_ms = customer.demand * customer.load_factor / self._mean_units / MS_PER_SECOND
        self._clock.call_after(self._rng.expovariate(requests_per_ms), self._create_request, customer)

    def _create_request(self, customer: Customer) -> None:
        self._schedule_request(customer)
        workloads = self._scenario.workloads
        (index,) = self._rng.choices(range(len(workloads)), [workload.share for workload in workloads])
        workload = workloads[index]
        now_ms = self._clock.now_ms
        is_within_ideal_quota = customer.ideal_quota.refill(now_ms) >= workload.units
        if is_within_ideal_quota:
            customer.ideal_quota.consume(now_ms, workload.units)
        work_ms = self._rng.uniform(*workload.work_ms)
        request = ClientRequest(customer, self._environment.frontends[index], workload.units, work_ms, now_ms)
        self._metrics.count(counters.OFFERED)
        if is_within_ideal_quota:
            self._metrics.count(counters.OFFERED_WITHIN_QUOTA)
            self._metrics.count(counters.WEIGHT_OFFERED_WITHIN_QUOTA, request.weight())
        self._send(request)

    # Tries

    def _send(self, request: ClientRequest) -> None:
        request.tries += 1
        self._metrics.count(counters.TRIES)
        node = self._choose_node(request.customer)
        if node is None or not node.is_alive:
            self._finish_try(request, Outcome.NODE_DOWN, 0.0)
            return
        timeout_ms = request.frontend.client_timeout_ms
        disconnect_after_ms = timeout_ms * self._rng.uniform(*self._options.disconnect_fraction)
        request.current_try_id += 1
        try_id = request.current_try_id
        request_id = node.receive_request(request, partial(self._on_outcome, request, try_id))
        if request.current_try_id == try_id:
            self._clock.call_after(
                disconnect_after_ms, self._disconnect, request, try_id, node, node.incarnation, request_id
            )

    def _choose_node(self, customer: Customer) -> RequestReceiver | None:
        """Draws a node of the customer's set by its weight; None if all of them are considered down."""
        count = len(self._nodes)
        indexes = [(customer.first_node_index + offset) % count for offset in range(customer.node_count)]
        weights = [
            weight * self._nodes_considered_up[index]
            for index, weight in zip(indexes, customer.node_weights, strict=True)
        ]
        if not any(weights):
            return None
        return self._nodes[self._rng.choices(indexes, weights)[0]]

    def _on_outcome(
        self, request: ClientRequest, try_id: int, outcome: Outcome, retry_after_ms: float
    ) -> None:
        if request.current_try_id == try_id:
            request.current_try_id += 1
            self._finish_try(request, outcome, retry_after_ms)

    def _disconnect(
        self,
        request: ClientRequest,
        try_id: int,
        node: RequestReceiver,
        incarnation: int,
        request_id: str,
    ) -> None:
        if request.current_try_id == try_id:
            request.current_try_id += 1
            if node.incarnation == incarnation:
                node.disconnect_client(request_id)
            self._finish_try(request, Outcome.CLIENT_DISCONNECTED, 0.0)

    def _finish_try(self, request: ClientRequest, outcome: Outcome, retry_after_ms: float) -> None:
        self._metrics.count(outcome.value)
        if outcome is Outcome.SUCCEEDED:
            self._count_success(request)
            return
        now_ms = self._clock.now_ms
        if outcome is Outcome.REJECTED and request.customer.quota.refill(now_ms) >= request.units:
            self._metrics.count(counters.REJECTED_WITHIN_QUOTA)
        if request.tries <= self._options.max_retries:
            delay_ms = max(retry_after_ms, self._rng.uniform(*self._options.retry_delay_ms))
            self._clock.call_after(delay_ms, self._send, request)

    def _count_success(self, request: ClientRequest) -> None:
        frontend = request.frontend
        latency_ms = self._clock.now_ms - request.created_at_ms
        is_late = latency_ms > frontend.latency_objective_ms
        if request.is_within_quota:
            weight = request.weight() * (frontend.late_weight if is_late else 1.0)
            self._metrics.count(counters.SUCCEEDED_WEIGHT, weight)
        self._metrics.count(counters.LATE if is_late else counters.ON_TIME)
        self._metrics.count(counters.LATENCY_MS, latency_ms)
