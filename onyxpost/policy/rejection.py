"""How requests are rejected, and the time after which their clients are asked to retry (`Retry-After`)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.core.requests import Request
    from onyxpost.core.sink import DecisionSink
    from onyxpost.policy.leases import LeaseHolder


class Rejections:
    """Rejects requests (429); no client is asked to wait for longer than the deployment permits."""

    RETRY_AFTER_FRACTION = 0.03  # of the latency objective: Retry-After where capacity is lacking

    def __init__(self, max_retry_after_ms: float, leases: LeaseHolder) -> None:
        self._max_retry_after_ms = max_retry_after_ms
        self._leases = leases

    def reject_for_capacity(self, request: Request, sink: DecisionSink) -> None:
        """Rejects a request for lack of capacity; a retry after a longer wait could not be in time."""
        self._reject(request, self.RETRY_AFTER_FRACTION * request.frontend.latency_objective_ms, sink)

    def reject_over_quota(self, request: Request, sink: DecisionSink) -> None:
        """Rejects a request over one of its customer's limits, until the quota's bucket holds its units.

        If that bucket holds them already (the hard limit or the concurrency limit is short, or admission is
        random), the time is 0 and the answer has no `Retry-After`.
        """
        self._leases.report_shortage(request, sink)
        self._reject(request, request.customer.quota.wait_ms(request.units), sink)

    def _reject(self, request: Request, retry_after_ms: float, sink: DecisionSink) -> None:
        sink.reject(request.id, min(self._max_retry_after_ms, retry_after_ms))
