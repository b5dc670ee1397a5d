"""Starts attempts, with their timeout and latest start, and counts them for their server and customer."""

from onyxpost.core.requests import Request, UpstreamServer
from onyxpost.core.sink import DecisionSink
from onyxpost.policy.load_balancing import LoadBalancer
from onyxpost.policy.retries import AttemptPolicy


class AttemptStarter:
    """Starts first attempts and retries."""

    def __init__(self, policy: AttemptPolicy, balancer: LoadBalancer) -> None:
        self._policy = policy
        self._balancer = balancer

    def start(self, now: float, request: Request, server: UpstreamServer, sink: DecisionSink) -> None:
        """Starts an attempt at the server and counts it as in flight."""
        timeout_ms = self._policy.attempt_timeout_ms(request, now)
        sink.start_attempt(request.id, server.id, timeout_ms, self._policy.latest_start_at(request))
        request.start_attempt(server, now)
        self._balancer.on_attempt_started(server)
