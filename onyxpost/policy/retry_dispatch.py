"""Starts retries that the attempt policy, the retry budget and the attempt limits permit."""

from onyxpost.core.requests import Request
from onyxpost.core.sink import DecisionSink
from onyxpost.policy.attempts import AttemptStarter
from onyxpost.policy.latency_estimates import LatencyEstimator
from onyxpost.policy.load_balancing import LoadBalancer
from onyxpost.policy.retries import AttemptPolicy, RetryBudget


class RetryDispatcher:
    """Retries requests whose attempts have failed."""

    def __init__(
        self,
        policy: AttemptPolicy,
        budget: RetryBudget,
        balancer: LoadBalancer,
        latency: LatencyEstimator,
        attempts: AttemptStarter,
        max_attempts: int,
    ) -> None:
        self._policy = policy
        self._budget = budget
        self._balancer = balancer
        self._latency = latency
        self._attempts = attempts
        self._max_attempts = max_attempts

    def retry(self, now: float, request: Request, sink: DecisionSink) -> bool:
        """Starts a retry if policy, budget and attempt limits permit it and a server has capacity.

        Returns whether a retry was started.
        """
        if not self._may_retry(now, request):
            return False
        server = self._balancer.pick(now, request)
        if server is None:
            return False
        self._budget.consume()
        self._attempts.start(now, request, server, sink)
        return True

    def _may_retry(self, now: float, request: Request) -> bool:
        max_attempts = min(request.constraint.max_attempts, self._max_attempts)
        has_attempts_left = len(request.attempts) < max_attempts
        is_permitted = self._policy.may_retry(request, now, self._latency.mean_latency_ms)
        return is_permitted and has_attempts_left and self._budget.has_retry()
