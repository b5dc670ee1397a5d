"""A planner's account of one customer: its rate limits, leases and recent requests. Times are in ms."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.planner.leased_token_bucket import EMPTY_BUCKET, BucketSize, LeasedTokenBucket

if TYPE_CHECKING:
    from onyxpost.core.types import Plan
    from onyxpost.planner.lease import Lease

REQUEST_MEMORY_MS = 3000.0  # how long a forwarder's request counts when available units are shared out
IDLE_BEFORE_REVOCATION_MS = 300.0  # a lease unused for this long may be revoked for another forwarder
ACCOUNT_MEMORY_MS = 60_000.0  # an unused account with full buckets is dropped after this time


class RecentRequest(NamedTuple):
    """The last request of one forwarder."""

    received_at_ms: float
    missing_units: int  # requested, and not granted so far


class CustomerAccount:
    """State of one customer at its planner."""

    def __init__(self, plan: Plan, sizes: list[BucketSize], opens_at_ms: float, now_ms: float) -> None:
        self.plan = plan
        self.buckets = [LeasedTokenBucket(size, opens_at_ms) for size in sizes]
        self.last_seen_at_ms = now_ms
        self.leases: dict[int, Lease] = {}
        self.recent_requests: dict[str, RecentRequest] = {}  # by forwarder

    def mark_seen(self, now_ms: float) -> None:
        """The customer was named in a message."""
        self.last_seen_at_ms = now_ms

    def record_request(self, now_ms: float, forwarder: str, missing_units: int) -> None:
        """Keeps a forwarder's last request, of which `missing_units` are not granted so far."""
        self.recent_requests[forwarder] = RecentRequest(now_ms, missing_units)

    def grant_lease(self, lease: Lease) -> None:
        """Moves available units into a new lease."""
        self.leases[lease.lease_id] = lease
        for bucket in self.buckets:
            bucket.lease(lease.units)

    def recover_lease(self, lease: Lease) -> None:
        """Adds a lease of the planner's previous incarnation, whose units were never available here."""
        self.leases[lease.lease_id] = lease
        for bucket in self.buckets:
            bucket.recover_lease(lease.units)

    def record_spent(self, now_ms: float, units: int) -> None:
        """Counts units of a lease as spent, which goes on."""
        for bucket in self.buckets:
            bucket.settle(now_ms, units, 0.0)

    def end_lease(self, now_ms: float, lease: Lease, unused_units: int) -> None:
        """Ends a lease; its `unused_units` become available again."""
        for bucket in self.buckets:
            bucket.settle(now_ms, lease.units, unused_units)
        del self.leases[lease.lease_id]

    def available_units(self, now_ms: float) -> float:
        """Units that can be leased now: what the strictest limit allows."""
        for bucket in self.buckets:
            bucket.refill(now_ms)
        return min(bucket.available for bucket in self.buckets)

    def is_forgettable(self, now_ms: float) -> bool:
        """Whether a new account would be in the same state: full buckets, no lease, long unused."""
        self.available_units(now_ms)
        is_full = all(bucket.available >= bucket.burst for bucket in self.buckets)
        return is_full and not self.leases and now_ms - self.last_seen_at_ms > ACCOUNT_MEMORY_MS

    def fair_share(self, now_ms: float, units: int, min_units: int) -> float:
        """The units that may be granted to a request of `units`, which `recent_requests` contains already.

        All available units if they suffice for all recent requests, else a part in proportion to them. A part
        below `min_units` would be of no use to the forwarder, so it gets that much if it is available.
        """
        self.recent_requests = {
            forwarder: request
            for forwarder, request in self.recent_requests.items()
            if now_ms - request.received_at_ms <= REQUEST_MEMORY_MS
        }
        wanted = sum(request.missing_units for request in self.recent_requests.values())
        available = self.available_units(now_ms)
        if wanted <= available:
            return available
        return max(min(min_units, available), available * units / wanted)

    def ms_until_available(self, units: int) -> float:
        """Time until the refill alone makes `units` available; infinite if it never does."""
        return max(
            (units - bucket.available) / bucket.rate * MS_PER_SECOND if bucket.rate else float("inf")
            for bucket in self.buckets
        )

    def revoke_idle_lease(self, now_ms: float, requester: str) -> Lease | None:
        """Revokes the longest unused lease of another forwarder, if there is one that is idle."""
        candidates = [
            lease for lease in self.leases.values() if lease.forwarder != requester and not lease.is_revoked
        ]
        lease = min(candidates, key=lambda candidate: candidate.last_used_at_ms, default=None)
        if lease is None or now_ms - lease.last_used_at_ms < IDLE_BEFORE_REVOCATION_MS:
            return None
        lease.revoke()
        return lease

    def resize(self, now_ms: float, plan: Plan | None, sizes: list[BucketSize]) -> None:
        """Applies a changed plan; `plan` is None if it was removed, and `sizes` is then empty.

        Sizes are matched to buckets by position (quota, then hard limit). If the plan gained or lost a limit,
        buckets without a size admit nothing and surplus sizes are ignored, until the account is dropped and
        created again.
        """
        count = len(self.buckets)
        if plan is not None and len(sizes) == count:
            self.plan = plan
        padded = (sizes + [EMPTY_BUCKET] * count)[:count]
        for bucket, size in zip(self.buckets, padded, strict=True):
            bucket.resize(now_ms, size)

    def revoke_surplus(self) -> list[Lease]:
        """Revokes the newest leases until what stays leased fits the burst; returns the revoked ones."""
        surplus = max((bucket.leased - bucket.burst for bucket in self.buckets), default=0.0)
        surplus -= sum(lease.units for lease in self.leases.values() if lease.is_revoked)
        revoked: list[Lease] = []
        for lease in sorted(self.leases.values(), key=lambda candidate: -candidate.lease_id):
            if surplus <= 0.0:
                break
            if not lease.is_revoked:
                lease.revoke()
                revoked.append(lease)
                surplus -= lease.units
        return revoked
