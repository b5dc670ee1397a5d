"""Routes admitted requests: each is shed, rejected for lack of capacity, or sent to a server."""

from onyxpost.core.node_state import NodeState
from onyxpost.core.requests import Request
from onyxpost.core.sink import DecisionSink
from onyxpost.policy.attempts import AttemptStarter
from onyxpost.policy.load_balancing import LoadBalancer
from onyxpost.policy.load_shedding import LatencyLoadShedder
from onyxpost.policy.request_rejection import RequestRejecter
from onyxpost.policy.routing_constraints import RoutingConstraints
from onyxpost.policy.usage import UsageRecorder


class RequestRouter:
    """Sends admitted requests to a server, unless they are shed or no server has capacity."""

    def __init__(
        self,
        state: NodeState,
        constraints: RoutingConstraints,
        shedder: LatencyLoadShedder,
        balancer: LoadBalancer,
        attempts: AttemptStarter,
        usage: UsageRecorder,
        rejecter: RequestRejecter,
    ) -> None:
        self._requests = state.requests
        self._constraints = constraints
        self._shedder = shedder
        self._balancer = balancer
        self._attempts = attempts
        self._usage = usage
        self._rejecter = rejecter

    def route(self, now: float, request: Request, sink: DecisionSink) -> None:
        """Starts a request's first attempt, or rejects the request for lack of capacity."""
        request.admitted_at = now
        request.constraint = self._constraints.constraint_for(request)
        is_shed = self._shedder.should_shed()
        server = None if is_shed else self._balancer.pick(now, request)
        if server is None:
            if not is_shed:
                self._shedder.record_unanswered(request, now)
            self._rejecter.reject_for_capacity(request, sink)
            return
        self._requests[request.id] = request
        self._usage.spend(now, request, sink)
        self._attempts.start(now, request, server, sink)
