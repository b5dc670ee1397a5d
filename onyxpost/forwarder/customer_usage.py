"""A forwarder's recent use of one customer's quota, from which the size of the next lease follows."""

from __future__ import annotations

import math
from typing import NamedTuple

RATE_WINDOW_MS = 2000.0  # the rate of use is measured over this time
USAGE_MEMORY_MS = 10_000.0  # for a customer seen within this time, leases cover at least one request


class UsageSample(NamedTuple):
    """Units that one client request consumed, or lacked."""

    used_at_ms: float
    units: int


class CustomerUsage:
    """Use of one customer's quota at this forwarder, and when a lease may be requested again."""

    def __init__(self, plan: str) -> None:
        self.plan = plan
        self.samples: list[UsageSample] = []
        self.last_seen_at_ms = -math.inf
        self.largest_request = 0  # units of the largest recent request
        self.request_sent_at_ms = -math.inf  # of the lease request that is unanswered
        self.retry_not_before_ms = -math.inf

    def record(self, now_ms: float, plan: str, units: int) -> None:
        """Records a client request of `units`."""
        is_recent = now_ms - self.last_seen_at_ms < USAGE_MEMORY_MS
        self.plan = plan
        self.samples.append(UsageSample(now_ms, units))
        self.largest_request = max(units, self.largest_request if is_recent else 0)
        self.last_seen_at_ms = now_ms

    def units_per_ms(self, now_ms: float) -> float:
        """Mean use over the rate window."""
        self.samples = [sample for sample in self.samples if now_ms - sample.used_at_ms < RATE_WINDOW_MS]
        return sum(sample.units for sample in self.samples) / RATE_WINDOW_MS

    def units_needed(self, now_ms: float, lease_duration_ms: float) -> float:
        """Size of the next lease: the use of a lease's duration, at least the largest recent request."""
        if now_ms - self.last_seen_at_ms >= USAGE_MEMORY_MS:
            return 0.0
        return max(self.units_per_ms(now_ms) * lease_duration_ms, self.largest_request)

    def on_request_sent(self, now_ms: float) -> None:
        """A lease request was sent."""
        self.request_sent_at_ms = now_ms

    def on_request_rejected(self, retry_not_before_ms: float) -> None:
        """A lease request was rejected; the next one may follow at the given time."""
        self.retry_not_before_ms = retry_not_before_ms
        self.clear_pending_request()

    def allow_request(self) -> None:
        """Makes the next lease request possible at once."""
        self.retry_not_before_ms = -math.inf
        self.clear_pending_request()

    def clear_pending_request(self) -> None:
        """No lease request is unanswered any more."""
        self.request_sent_at_ms = -math.inf
