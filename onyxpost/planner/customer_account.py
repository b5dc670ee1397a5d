"""A planner's account of one customer: token buckets, leases and recent lease requests. Times are in ms."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.planner.leased_token_bucket import EMPTY_BUCKET, BucketSize, LeasedTokenBucket

if TYPE_CHECKING:
    from onyxpost.core.types import Plan
    from onyxpost.planner.lease import Lease

FAIR_SHARE_WINDOW_MS = 3000.0  # a forwarder's last request counts in the fair share for this time
IDLE_BEFORE_REVOCATION_MS = 300.0  # a lease unused for this long may be revoked for another forwarder
ACCOUNT_RETENTION_MS = 60_000.0  # an unused account with full buckets is dropped after this time


class RecentRequest(NamedTuple):
    """The last lease request of one forwarder."""

    received_at_ms: float
    ungranted_units: int  # units of the request that were not granted


class CustomerAccount:
    """Token buckets, leases and recent lease requests of one customer.

    There is one bucket for each rate limit of the plan (quota, then hard limit), and none for a plan without
    limits.
    """

    def __init__(
        self, plan: Plan, sizes: list[BucketSize], granting_starts_at_ms: float, now_ms: float
    ) -> None:
        self.plan = plan
        self.buckets = [LeasedTokenBucket(size, granting_starts_at_ms) for size in sizes]
        self.last_seen_at_ms = now_ms
        self.leases: dict[int, Lease] = {}
        self.recent_requests: dict[str, RecentRequest] = {}  # by forwarder

    def mark_seen(self, now_ms: float) -> None:
        """Records that a message named the customer, which delays the drop of the account."""
        self.last_seen_at_ms = now_ms

    def record_request(self, now_ms: float, forwarder: str, ungranted_units: int) -> None:
        """Replaces a forwarder's last lease request; `ungranted_units` of it were not granted."""
        self.recent_requests[forwarder] = RecentRequest(now_ms, ungranted_units)

    def grant_lease(self, lease: Lease) -> None:
        """Adds a new lease; its units are taken from the available ones."""
        self.leases[lease.lease_id] = lease
        for bucket in self.buckets:
            bucket.lease(lease.units)

    def recover_lease(self, lease: Lease) -> None:
        """Adds a lease of the planner's previous incarnation.

        Its units are not taken from the available ones: buckets are empty when a planner starts.
        """
        self.leases[lease.lease_id] = lease
        for bucket in self.buckets:
            bucket.recover_lease(lease.units)

    def record_spent(self, now_ms: float, units: int) -> None:
        """Counts units of a lease as spent; the lease continues with the rest."""
        for bucket in self.buckets:
            bucket.release(now_ms, units, 0.0)

    def end_lease(self, now_ms: float, lease: Lease, unused_units: int) -> None:
        """Ends a lease; its `unused_units` become available again."""
        for bucket in self.buckets:
            bucket.release(now_ms, lease.units, unused_units)
        del self.leases[lease.lease_id]

    def refill_and_count_available(self, now_ms: float) -> float:
        """Refills the buckets and returns the units that the strictest limit allows to lease now.

        Raises:
            ValueError: the plan has no limits.
        """
        for bucket in self.buckets:
            bucket.refill(now_ms)
        return min(bucket.available for bucket in self.buckets)

    def can_be_dropped(self, now_ms: float) -> bool:
        """Returns whether the account can be dropped: no leases, full buckets, and no recent message.

        Dropping loses nothing: a new account's buckets refill from the time when granting started, so they
        are full too.
        """
        self.refill_and_count_available(now_ms)
        is_full = all(bucket.available >= bucket.burst for bucket in self.buckets)
        return is_full and not self.leases and now_ms - self.last_seen_at_ms > ACCOUNT_RETENTION_MS

    def fair_share(self, now_ms: float, units: int, min_units: int) -> float:
        """Returns the units that may be granted to a request of `units`.

        The caller has recorded the request in `recent_requests`.

        These are all available units if they suffice for all recent requests; otherwise each request gets a
        part in proportion to its units. A forwarder cannot use a lease below `min_units`, so a smaller part
        is raised to `min_units`, or to all available units if they are fewer.
        """
        self.recent_requests = {
            forwarder: request
            for forwarder, request in self.recent_requests.items()
            if now_ms - request.received_at_ms <= FAIR_SHARE_WINDOW_MS
        }
        requested_units = sum(request.ungranted_units for request in self.recent_requests.values())
        available = self.refill_and_count_available(now_ms)
        if requested_units <= available:
            return available
        return max(min(min_units, available), available * units / requested_units)

    def ms_until_available(self, units: int) -> float:
        """Returns the time until the refill alone makes `units` available; infinite for a rate of 0."""
        return max(
            (units - bucket.available) / bucket.rate * MS_PER_SECOND if bucket.rate else float("inf")
            for bucket in self.buckets
        )

    def revoke_idle_lease(self, now_ms: float, requester: str) -> Lease | None:
        """Revokes the lease of another forwarder that has been unused for the longest time.

        Returns None if no lease of another forwarder has been unused for `IDLE_BEFORE_REVOCATION_MS`.
        """
        candidates = [
            lease for lease in self.leases.values() if lease.forwarder != requester and not lease.is_revoked
        ]
        lease = min(candidates, key=lambda candidate: candidate.last_used_at_ms, default=None)
        if lease is None or now_ms - lease.last_used_at_ms < IDLE_BEFORE_REVOCATION_MS:
            return None
        lease.revoke()
        return lease

    def resize(self, now_ms: float, plan: Plan | None, sizes: list[BucketSize]) -> None:
        """Applies a changed plan. For a plan that was removed, `plan` is None and `sizes` is empty.

        Sizes are matched to buckets by position (quota, then hard limit). If the plan gained or lost a limit,
        the account keeps its number of buckets until it is dropped and created again: a bucket without a size
        grants nothing, and sizes without a bucket are ignored.
        """
        count = len(self.buckets)
        if plan is not None and len(sizes) == count:
            self.plan = plan
        padded = (sizes + [EMPTY_BUCKET] * count)[:count]
        for bucket, size in zip(self.buckets, padded, strict=True):
            bucket.resize(now_ms, size)

    def revoke_surplus(self) -> list[Lease]:
        """Revokes leases, newest first, until the others fit into the burst; returns the revoked ones."""
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
