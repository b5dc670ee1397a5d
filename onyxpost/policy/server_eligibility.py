"""Decides which app servers a request's next attempt may be sent to."""

from onyxpost.core.requests import Request, UpstreamServer
from onyxpost.core.types import Idempotency
from onyxpost.policy.endpoint_updates import StaleEndpointPolicy
from onyxpost.policy.outlier_detection import OutlierDetector
from onyxpost.policy.possible_execution import ExecutionSafety


class ServerEligibility:
    """Filters servers by last success, deduplication scope, earlier attempts and circuit breakers."""

    def __init__(
        self, stale_endpoints: StaleEndpointPolicy, execution: ExecutionSafety, outliers: OutlierDetector
    ) -> None:
        self._stale_endpoints = stale_endpoints
        self._execution = execution
        self._outliers = outliers

    def candidates(self, now: float, servers: list[UpstreamServer], request: Request) -> list[UpstreamServer]:
        """Returns the eligible servers in the given order; ejected ones only if there are no others."""
        eligible = self._eligible(now, servers, request)
        return [each for each in eligible if self._outliers.may_attempt(now, each)] or eligible

    def _eligible(self, now: float, servers: list[UpstreamServer], request: Request) -> list[UpstreamServer]:
        """Returns the servers in the deduplication scope whose last success is recent enough.

        Servers that were tried before are included only if there are no others and the request was certainly
        never executed.
        """
        max_success_age_ms = self._stale_endpoints.max_success_age_ms
        servers = [each for each in servers if now - each.last_success_sent_at < max_success_age_ms]
        first_execution = self._execution.first_possible_execution(request)
        if first_execution is not None and request.frontend.idempotency is Idempotency.IDEMPOTENCY_KEY:
            scope = request.frontend.deduplication_scope
            scope_key = first_execution.server.scope_key(scope)
            servers = [each for each in servers if each.scope_key(scope) == scope_key]
        tried_servers = {attempt.server for attempt in request.attempts}
        return [each for each in servers if each not in tried_servers] or ([] if first_execution else servers)
