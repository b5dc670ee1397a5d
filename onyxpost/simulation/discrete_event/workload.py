"""Plans, customers and client requests, as a scenario describes them."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from onyxpost.core.types import Frontend, Plan
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.discrete_event.exact_quota import ExactQuota

if TYPE_CHECKING:
    from onyxpost.simulation.discrete_event.scenario import Scenario
    from onyxpost.simulation.discrete_event.scenario_sections import ClientSection

MIN_BURST_UNITS = 2.0


class Customer:
    """A customer.

    Attributes:
        key: name of the customer in requests.
        plan: its plan.
        demand: quota units that it asks for in a second.
        first_node_index: index of the first node of its set.
        node_count: size of its set of nodes.
        quota: counts the units that nodes sent to servers.
        ideal_quota: counts the units that a single counter of all requests would admit.
        node_weights: how its requests are spread over its nodes.
        load_factor: demand relative to `demand`, raised by load surges.
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
    """A client's request with all its tries.

    Attributes:
        work_ms: work on a core of speed 1.
        created_at_ms: time of the first try.
        within_quota: whether it was first sent to a server while the customer's quota held its units.
        tries: number of tries so far.
        open_try: number that identifies the try whose answer counts; a try that ended raises it.
    """

    __slots__ = (
        "created_at_ms",
        "customer",
        "frontend",
        "open_try",
        "tries",
        "units",
        "within_quota",
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
        self.within_quota = False
        self.tries = 0
        self.open_try = 0

    def weight(self) -> float:
        """Returns the weight of an answer in time."""
        return self.frontend.priority_weight * self.units * self.customer.plan.priority_factor


def mean_units(scenario: Scenario) -> float:
    """Returns the mean quota units of a request."""
    return sum(work.share * work.units for work in scenario.work) / sum(work.share for work in scenario.work)


def create_plans(scenario: Scenario) -> list[Plan]:
    """Returns plans under which use within all quotas is the scenario's share of the servers' capacity."""
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
    """Returns the quota of a customer of weight 1, in units a second."""
    cluster = scenario.cluster
    clients = scenario.clients
    share_sum = sum(work.share for work in scenario.work)
    mean_work_ms = sum(work.share / share_sum * sum(work.work_ms) / 2.0 for work in scenario.work)
    units = sum(work.share / share_sum * work.units for work in scenario.work)
    core_speed = cluster.servers * cluster.cores * sum(cluster.speed) / 2.0
    capacity = core_speed * MS_PER_SECOND / mean_work_ms  # requests a second
    # The part of its quota that a customer uses on average: the greedy ones use all of it.
    used_share = clients.greedy_share + (1.0 - clients.greedy_share) * sum(clients.demand_factor) / 2.0
    weight = sum(plan.customers * plan.quota_weight for plan in scenario.plans)
    return clients.utilization * capacity * units / (used_share * weight)


def create_customers(scenario: Scenario, plans: list[Plan], seed: int) -> list[Customer]:
    """Draws the customers of all plans."""
    rng = Random(f"{seed}/customers")
    clients = scenario.clients
    customers = []
    for section, plan in zip(scenario.plans, plans, strict=True):
        greedy = _greedy_customers(rng, section.customers, clients)
        for index in range(section.customers):
            demand_range = clients.greedy_demand_factor if index in greedy else clients.demand_factor
            demand_factor = rng.uniform(*demand_range)
            node_count = rng.randint(*section.nodes_per_customer)
            first_node_index = rng.randrange(scenario.cluster.nodes)
            key = f"{section.name}-{index}"
            customers.append(Customer(key, plan, demand_factor * plan.rate, first_node_index, node_count))
    return customers


def _greedy_customers(rng: Random, count: int, clients: ClientSection) -> set[int]:
    """Draws which customers are greedy; their number is fixed, as else seeds would differ in their load."""
    return set(rng.sample(range(count), round(clients.greedy_share * count)))
