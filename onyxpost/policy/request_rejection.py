"""Rejects requests, with the time after which their clients should retry (`Retry-After`)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpost.core.requests import Request
    from onyxpost.core.sink import DecisionSink
    from onyxpost.policy.leases import LeaseHolder


class RequestRejecter:
    """Rejects requests (429) with a `Retry-After` no longer than the deployment permits."""

    RETRY_AFTER_FRACTION = 0.03  # Retry-After for lack of capacity, as a fraction of the latency objective
    NEW_CUSTOMER_RETRY_AFTER_MS = 250.0  # unused customers are dropped in the meantime

    def __init__(self, max_retry_after_ms: float, leases: LeaseHolder) -> None:
        self._max_retry_after_ms = max_retry_after_ms
        self._leases = leases

    def reject_for_capacity(self, request: Request, sink: DecisionSink) -> None:
        """Rejects a request for lack of capacity.

        `Retry-After` is short, so that the client's retry can still be answered within the latency objective
        of the first request.
        """
        self._reject(request, self.RETRY_AFTER_FRACTION * request.frontend.latency_objective_ms, sink)

    def reject_over_limit(self, request: Request, sink: DecisionSink) -> None:
        """Rejects a request over its customer's quota, hard limit or concurrency limit, or at random.

        `Retry-After` is the time until the quota's bucket holds the request's units. If the bucket holds them
        already, because another limit or random admission is the reason, the time is 0 and the answer has no
        `Retry-After`.
        """
        self._leases.report_rejected_units(request, sink)
        self._reject(request, request.customer.quota.wait_ms(request.units), sink)

    def reject_new_customer(self, request_id: str, sink: DecisionSink) -> None:
        """Rejects a request of a customer that this node's memory cannot hold."""
        sink.reject(request_id, min(self._max_retry_after_ms, self.NEW_CUSTOMER_RETRY_AFTER_MS))

    def _reject(self, request: Request, retry_after_ms: float, sink: DecisionSink) -> None:
        sink.reject(request.id, min(self._max_retry_after_ms, retry_after_ms))
