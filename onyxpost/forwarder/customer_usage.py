"""A forwarder's recent use of one customer's quota, which determines the size of the next lease."""

from __future__ import annotations

import math
from typing import NamedTuple

RATE_WINDOW_MS = 2000.0  # window of the mean rate of use
# For this long after a customer's last request, its leases have to cover its largest request.
USAGE_RETENTION_MS = 10_000.0


class UsageSample(NamedTuple):
    """Units that one client request consumed, or that it needed and did not get."""

    used_at_ms: float
    units: int


class CustomerUsage:
    """Use of one customer's quota at this forwarder, and the time of the next lease request."""

    def __init__(self, plan: str) -> None:
        self.plan = plan
        self.samples: list[UsageSample] = []
        self.last_seen_at_ms = -math.inf
        self.largest_request = 0  # units of the largest recent request
        self.request_sent_at_ms = -math.inf  # time of the lease request without an answer
        self.retry_not_before_ms = -math.inf

    def record(self, now_ms: float, plan: str, units: int) -> None:
        """Records a client request of `units`, and its plan for the next lease request."""
        is_recent = now_ms - self.last_seen_at_ms < USAGE_RETENTION_MS
        self.plan = plan
        self.samples.append(UsageSample(now_ms, units))
        self.largest_request = max(units, self.largest_request if is_recent else 0)
        self.last_seen_at_ms = now_ms

    def units_per_ms(self, now_ms: float) -> float:
        """Returns the mean rate of use over `RATE_WINDOW_MS`."""
        self.samples = [sample for sample in self.samples if now_ms - sample.used_at_ms < RATE_WINDOW_MS]
        return sum(sample.units for sample in self.samples) / RATE_WINDOW_MS

    def units_needed(self, now_ms: float, lease_duration_ms: float) -> float:
        """Returns the units that cover a lease's duration, and at least the largest recent request.

        This is 0 for a customer without a recent request.
        """
        if now_ms - self.last_seen_at_ms >= USAGE_RETENTION_MS:
            return 0.0
        return max(self.units_per_ms(now_ms) * lease_duration_ms, self.largest_request)

    def on_request_sent(self, now_ms: float) -> None:
        """Records that a lease request was sent, which is unanswered so far."""
        self.request_sent_at_ms = now_ms

    def on_request_rejected(self, retry_not_before_ms: float) -> None:
        """Records that a lease request was rejected, and the earliest time of the next one."""
        self.retry_not_before_ms = retry_not_before_ms
        self.clear_pending_request()

    def allow_request(self) -> None:
        """Allows the next lease request at once, as other planners are responsible now."""
        self.retry_not_before_ms = -math.inf
        self.clear_pending_request()

    def clear_pending_request(self) -> None:
        """Records that no lease request is unanswered."""
        self.request_sent_at_ms = -math.inf
