"""Builds the components that handle a request from its arrival to its end."""

from onyxpost.core.node_state import NodeState
from onyxpost.core.seeded_random import SeededRandom
from onyxpost.policy.admission import Admission
from onyxpost.policy.attempt_result_handling import AttemptResultHandler
from onyxpost.policy.attempts import AttemptStarter
from onyxpost.policy.failure_response import FailureResponder
from onyxpost.policy.hard_limit_wait import HardLimitWait
from onyxpost.policy.load_shedding import LatencyLoadShedder
from onyxpost.policy.possible_execution import ExecutionSafety
from onyxpost.policy.quota_control import QuotaControl
from onyxpost.policy.request_completion import RequestCompletion
from onyxpost.policy.request_routing import RequestRouter
from onyxpost.policy.retries import AttemptPolicy, RetryBudget
from onyxpost.policy.retry_dispatch import RetryDispatcher
from onyxpost.policy.routing_constraints import RoutingConstraints
from onyxpost.policy.server_selection import ServerSelection


class RequestHandling:
    """The components that handle requests and their attempts.

    Attributes:
        retry_budget: limits the retries that the node may send.
        constraints: looks up the constraint that routing rules put on a request.
        admission: admits requests by their customers' quotas.
        completion: finishes requests.
        results: handles the ends of attempts.
    """

    def __init__(
        self,
        state: NodeState,
        random: SeededRandom,
        shedder: LatencyLoadShedder,
        execution: ExecutionSafety,
        quota_control: QuotaControl,
        selection: ServerSelection,
    ) -> None:
        limits = state.options.limits
        balancer = selection.balancer
        latency = selection.latency
        quotas = quota_control.quota_policy
        rejecter = quota_control.rejecter
        usage = quota_control.usage
        attempt_policy = AttemptPolicy(state.options.tick_ms, execution)
        attempts = AttemptStarter(attempt_policy, balancer)
        self.retry_budget = RetryBudget()
        self.constraints = RoutingConstraints(state)
        router = RequestRouter(state, self.constraints, shedder, balancer, attempts, usage, rejecter)
        hard_limit_wait = HardLimitWait(quotas, quota_control.queue, latency, may_wait=not limits.safe_share)
        self.admission = Admission(state, random, quotas, hard_limit_wait, router, rejecter)
        self.completion = RequestCompletion(state)
        retries = RetryDispatcher(
            attempt_policy, self.retry_budget, balancer, latency, attempts, limits.max_attempts
        )
        failure_responder = FailureResponder(shedder, self.completion, execution, rejecter)
        self.results = AttemptResultHandler(
            state, selection.assessment, shedder, usage, self.completion, retries, failure_responder
        )
