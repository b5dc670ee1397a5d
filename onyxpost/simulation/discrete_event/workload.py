"""Plans, customers and client requests of a scenario."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from onyxpost.core.types import Frontend, Plan
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.discrete_event.exact_quota import ExactQuota

if TYPE_CHECKING:
    from onyxpost.simulation.discrete_event.scenario import Scenario
    from onyxpost.simulation.discrete_event.scenario_sections import ClientSection

MIN_BURST_UNITS = 2.0  # smallest burst of a quota


class Customer:
    """A customer, with its load and the exact counts of its usage.

    Attributes:
        key: name of the customer in requests.
        plan: plan of the customer.
        demand: quota units that its clients request in a second.
        first_node_index: index of the first node of the customer's set.
        node_count: number of nodes in the customer's set.
        quota: counts the units of requests that nodes sent to servers.
        ideal_quota: counts the units that one counter for all nodes would admit.
        node_weights: relative shares of its requests that its nodes receive.
        load_factor: current multiple of `demand`; load surges raise it above 1.
    """

    def __init__(self, key: str, plan: Plan, demand: float, first_node_index: int, node_count: int) -> None:
        self.key = key
        self.plan = plan
        self.demand = demand
        self.first_node_index = first_node_index
        self.node_count = node_count
        self.quota = ExactQuota(plan.rate, plan.burst)
        self.ideal_quota = ExactQuota(plan.rate, plan.burst)
        self.node_weights: list[float] = []
        self.load_factor = 1.0


class ClientRequest:
    """A client's request, including all its tries.

    Attributes:
        work_ms: work on a core of speed 1.
        created_at_ms: time of the first try.
        is_within_quota: whether the customer's quota held its units when it was first sent to a server.
        tries: number of tries so far.
        current_try_id: id of the current try, raised when a try starts or ends; an outcome with another id is
            ignored.
    """

    __slots__ = (
        "created_at_ms",
        "current_try_id",
        "customer",
        "frontend",
        "is_within_quota",
        "tries",
        "units",
        "work_ms",
    )

    def __init__(
        self, customer: Customer, frontend: Frontend, units: int, work_ms: float, created_at_ms: float
    ) -> None:
        self.customer = customer
        self.frontend = frontend
        self.units = units
        self.work_ms = work_ms
        self.created_at_ms = created_at_ms
        self.is_within_quota = False
        self.tries = 0
        self.current_try_id = 0

    def weight(self) -> float:
        """Returns the weight of an answer within the latency objective."""
        return self.frontend.priority_weight * self.units * self.customer.plan.priority_factor


def mean_units(scenario: Scenario) -> float:
    """Returns the mean number of quota units of a request."""
    return sum(workload.share * workload.units for workload in scenario.workloads) / sum(
        workload.share for workload in scenario.workloads
    )


def create_plans(scenario: Scenario) -> list[Plan]:
    """Returns the plans, with quotas that give the scenario's utilization of the servers."""
    rate_per_weight = _rate_per_weight(scenario)
    plans = []
    for section in scenario.plans:
        rate = rate_per_weight * section.quota_weight
        burst = max(MIN_BURST_UNITS, rate * (sum(section.burst_s) / 2.0))
        hard_limit_rate = section.hard_limit_factor * rate
        hard_limit_burst = section.hard_limit_factor * burst
        plan = Plan(section.name, rate, burst, 0, section.priority_factor, hard_limit_rate, hard_limit_burst)
        plans.append(plan)
    return plans


def _rate_per_weight(scenario: Scenario) -> float:
    """Returns the quota of a customer with weight 1, in units per second."""
    cluster = scenario.cluster
    clients = scenario.clients
    share_sum = sum(workload.share for workload in scenario.workloads)
    mean_work_ms = sum(
        workload.share / share_sum * sum(workload.work_ms) / 2.0 for workload in scenario.workloads
    )
    units_per_request = sum(workload.share / share_sum * workload.units for workload in scenario.workloads)
    total_speed = cluster.servers * cluster.cores * sum(cluster.speed) / 2.0
    max_requests_per_second = total_speed * MS_PER_SECOND / mean_work_ms
    # Mean share of the quota that a customer uses; heavy customers use all of theirs.
    used_share = clients.heavy_share + (1.0 - clients.heavy_share) * sum(clients.demand_factor) / 2.0
    total_weight = sum(plan.customers * plan.quota_weight for plan in scenario.plans)
    return clients.utilization * max_requests_per_second * units_per_request / (used_share * total_weight)


def create_customers(scenario: Scenario, plans: list[Plan], seed: int) -> list[Customer]:
    """Draws the customers of all plans, in the order of the plans."""
    rng = Random(f"{seed}/customers")
    clients = scenario.clients
    customers = []
    for section, plan in zip(scenario.plans, plans, strict=True):
        heavy_customers = _heavy_customers(rng, section.customers, clients)
        for index in range(section.customers):
            demand_range = clients.heavy_demand_factor if index in heavy_customers else clients.demand_factor
            demand_factor = rng.uniform(*demand_range)
            node_count = rng.randint(*section.nodes_per_customer)
            first_node_index = rng.randrange(scenario.cluster.nodes)
            key = f"{section.name}-{index}"
            customers.append(Customer(key, plan, demand_factor * plan.rate, first_node_index, node_count))
    return customers


def _heavy_customers(rng: Random, count: int, clients: ClientSection) -> set[int]:
    """Draws the indexes of heavy customers; a random number of them would make the load vary by seed."""
    return set(rng.sample(range(count), round(clients.heavy_share * count)))
