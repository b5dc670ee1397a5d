"""Builds the components that select a server for each attempt and limit the attempts in flight."""

from onyxpost.core.node_state import NodeState
from onyxpost.core.seeded_random import SeededRandom
from onyxpost.policy.concurrency import ConcurrencyLimit
from onyxpost.policy.endpoint_updates import EndpointUpdates, StaleEndpointPolicy
from onyxpost.policy.latency_estimates import LatencyEstimator
from onyxpost.policy.load_balancing import LoadBalancer
from onyxpost.policy.load_shedding import LatencyLoadShedder
from onyxpost.policy.outlier_detection import OutlierDetector
from onyxpost.policy.possible_execution import ExecutionSafety
from onyxpost.policy.preference_order import PreferenceOrder
from onyxpost.policy.server_assessment import ServerAssessment
from onyxpost.policy.server_eligibility import ServerEligibility
from onyxpost.policy.slow_start import SlowStart


class ServerSelection:
    """The components that assess app servers and select one for each attempt.

    Attributes:
        latency: estimates each server's latency.
        slow_start: decides when a server that warms up is due for a request.
        concurrency: the limit on attempts in flight.
        order: orders the servers for each customer.
        stale_endpoints: limits how long after its last success a server is used while endpoints are stale.
        endpoints: applies updates from discovery.
        assessment: applies the results of attempts.
        balancer: picks the server for an attempt.
    """

    def __init__(
        self,
        now: float,
        state: NodeState,
        random: SeededRandom,
        shedder: LatencyLoadShedder,
        execution: ExecutionSafety,
    ) -> None:
        options = state.options
        servers = state.servers
        outliers = OutlierDetector(servers)
        self.order = PreferenceOrder(options.node_index, servers)
        self.latency = LatencyEstimator(options.shortest_latency_objective_ms)
        self.slow_start = SlowStart(now, options, servers)
        self.concurrency = ConcurrencyLimit(now, options, servers, shedder)
        self.stale_endpoints = StaleEndpointPolicy(
            options.limits.drain_grace_ms, polls_endpoints=options.polls_endpoints
        )
        self.endpoints = EndpointUpdates(state, random, self.latency, self.slow_start, self.order)
        self.assessment = ServerAssessment(
            now, servers, self.latency, self.slow_start, outliers, self.concurrency
        )
        eligibility = ServerEligibility(self.stale_endpoints, execution, outliers)
        self.balancer = LoadBalancer(
            servers, self.order, self.concurrency, self.latency, self.slow_start, eligibility
        )
