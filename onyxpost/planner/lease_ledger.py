"""Lease ledger of one planner: the leases that it has granted and the units that it may still grant.

No I/O and no clock: times are arguments, in milliseconds.

For each customer and rate limit (quota, hard limit) the ledger keeps `available + leased <= burst`, and only
the refill at the limit's rate adds to `available`. In any interval of length t all forwarders together
therefore spend at most `burst + rate * t` leased units, whenever they use their leases: each of these units
was leased or available at the start of the interval, or was refilled during it.

A lease ends when its forwarder returns it or when it expires. It expires later at the planner than at the
forwarder (`LeaseTerms.planner_duration_ms`). Units of an expired lease that were not reported count as spent.

A restarted planner does not know the leases of its previous incarnation. It starts with empty buckets and
grants nothing until all these leases have expired, or until all forwarders have reported theirs (`recover`).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.planner.customer_account import CustomerAccount
from onyxpost.planner.lease import Lease
from onyxpost.planner.leased_token_bucket import BucketSize

if TYPE_CHECKING:
    from collections.abc import Iterable

    from onyxpost.core.types import Plan
    from onyxpost.planner.lease_terms import LeaseTerms

REVOCATION_RETRY_MS = 60.0  # retry time after the revocation of an idle lease, long enough for its return
MIN_RETRY_MS = 20.0  # lower limit of the retry time in a rejection
ROUNDING_TOLERANCE = 1e-9  # units; a floating-point share this close below an integer counts as the integer


class ReportedLease(NamedTuple):
    """A lease of the planner's previous incarnation, as reported by its forwarder."""

    forwarder: str
    customer: int
    plan: str
    units: int
    expires_at_ms: float  # by the planner's clock


class Rejection(NamedTuple):
    """A rejected lease request.

    `revoked` is an idle lease of another forwarder, to which the caller must send the revocation; None if no
    lease was revoked.
    """

    retry_after_ms: float
    revoked: Lease | None = None


@dataclass(slots=True)
class LedgerCounters:
    """Totals since the planner started, in units, except for `rejected`, which counts lease requests."""

    granted: int = 0
    spent: int = 0
    expired: int = 0
    returned: int = 0
    rejected: int = 0


class LeaseLedger:
    """Grants leases to forwarders within the limits of their customers' plans.

    `leasable_share` is the part of each rate and burst that planners grant. Forwarders use the rest without
    leases, as their safe shares.
    """

    def __init__(
        self, now_ms: float, plans: Iterable[Plan], terms: LeaseTerms, leasable_share: float
    ) -> None:
        self.terms = terms
        self.leasable_share = leasable_share
        self.plans = {plan.name: plan for plan in plans}
        # All leases of the previous incarnation have expired by then.
        self.granting_starts_at_ms = now_ms + terms.planner_duration_ms
        self.accounts: dict[int, CustomerAccount] = {}
        self.leases: dict[int, Lease] = {}
        self.last_lease_id = 0
        self.counters = LedgerCounters()

    # Start and recovery

    def reset_and_wait(self, now_ms: float, extra_ms: float = 0.0) -> None:
        """Drops all accounts and leases, and grants nothing until all leases of any planner have expired.

        `extra_ms` is added to the duration of a lease, for leases that another planner may still grant.
        """
        self.granting_starts_at_ms = now_ms + self.terms.planner_duration_ms + extra_ms
        self.accounts = {}
        self.leases = {}

    def recover(self, now_ms: float, reports: Iterable[ReportedLease]) -> None:
        """Starts granting at once, with the leases that all forwarders reported; no other lease can exist.

        The use of these leases is not reported to this incarnation, so their units count as spent when they
        expire.
        """
        self.granting_starts_at_ms = now_ms
        self.accounts = {}
        self.leases = {}
        for report in reports:
            plan = self.plans.get(report.plan)
            if plan is not None and report.expires_at_ms > now_ms:
                lease = Lease(
                    self._next_lease_id(),
                    report.forwarder,
                    report.customer,
                    report.units,
                    report.expires_at_ms,
                    is_revoked=True,
                )
                self.leases[lease.lease_id] = lease
                self.get_or_create_account(now_ms, report.customer, plan).recover_lease(lease)

    def get_or_create_account(self, now_ms: float, customer: int, plan: Plan) -> CustomerAccount:
        """Returns the account of a customer, with the current time as the time of its last use."""
        account = self.accounts.get(customer)
        if account is None:
            account = CustomerAccount(plan, self._bucket_sizes(plan), self.granting_starts_at_ms, now_ms)
            self.accounts[customer] = account
        account.mark_seen(now_ms)
        return account

    def _bucket_sizes(self, plan: Plan) -> list[BucketSize]:
        sizes = []
        if plan.rate:
            sizes.append((plan.rate, plan.burst))
        if plan.hard_limit_rate:
            sizes.append((plan.hard_limit_rate, plan.hard_limit_burst))
        return [BucketSize(rate * self.leasable_share, burst * self.leasable_share) for rate, burst in sizes]

    def _next_lease_id(self) -> int:
        self.last_lease_id += 1
        return self.last_lease_id

    # Messages of forwarders

    def request_lease(
        self, now_ms: float, forwarder: str, customer: int, plan_name: str, units: int, min_units: int = 1
    ) -> Lease | Rejection:
        """Grants a lease of at most `units`; rejects the request if fewer than `min_units` can be granted."""
        plan = self.plans.get(plan_name)
        if plan is None or units <= 0:
            return self._reject(math.inf)
        account = self.get_or_create_account(now_ms, customer, plan)
        account.record_request(now_ms, forwarder, units)
        if now_ms < self.granting_starts_at_ms:
            return self._reject(self.granting_starts_at_ms - now_ms)
        if not account.buckets:  # a plan without limits
            return self._grant(now_ms, account, forwarder, customer, units)
        min_units = max(1, min(min_units, units))
        share = account.fair_share(now_ms, units, min_units)
        granted = min(units, math.floor(share + ROUNDING_TOLERANCE))
        account.record_request(now_ms, forwarder, units - max(0, granted))
        if granted >= min_units:
            return self._grant(now_ms, account, forwarder, customer, granted)
        idle_lease = account.revoke_idle_lease(now_ms, forwarder)
        if idle_lease is not None:
            return self._reject(REVOCATION_RETRY_MS, idle_lease)
        return self._reject(max(MIN_RETRY_MS, account.ms_until_available(min_units)))

    def _reject(self, retry_after_ms: float, revoked: Lease | None = None) -> Rejection:
        self.counters.rejected += 1
        return Rejection(retry_after_ms, revoked)

    def _grant(
        self, now_ms: float, account: CustomerAccount, forwarder: str, customer: int, units: int
    ) -> Lease:
        self.counters.granted += units
        expires_at_ms = now_ms + self.terms.planner_duration_ms
        lease = Lease(
            self._next_lease_id(), forwarder, customer, units, expires_at_ms, last_used_at_ms=now_ms
        )
        self.leases[lease.lease_id] = lease
        account.grant_lease(lease)
        return lease

    def record_use(self, now_ms: float, forwarder: str, lease_id: int, units: int) -> None:
        """Counts `units` of a lease as spent; ignores the report if the forwarder does not hold the lease."""
        lease = self._lease_of(forwarder, lease_id)
        if lease is None:
            return
        spent = lease.record_use(now_ms, units)
        self.counters.spent += spent
        self.accounts[lease.customer].record_spent(now_ms, spent)

    def return_lease(self, now_ms: float, forwarder: str, lease_id: int, unused_units: int) -> None:
        """Ends a lease; units that are not returned as unused count as spent, even if never reported."""
        lease = self._lease_of(forwarder, lease_id)
        if lease is None:
            return
        returned = min(max(0, unused_units), lease.units)
        self.counters.returned += returned
        self.counters.spent += lease.units - returned
        self._end_lease(now_ms, lease, returned)

    def _lease_of(self, forwarder: str, lease_id: int) -> Lease | None:
        lease = self.leases.get(lease_id)
        return lease if lease is not None and lease.forwarder == forwarder else None

    def _end_lease(self, now_ms: float, lease: Lease, unused_units: int) -> None:
        self.accounts[lease.customer].end_lease(now_ms, lease, unused_units)
        del self.leases[lease.lease_id]

    # Time and configuration

    def expire(self, now_ms: float) -> list[Lease]:
        """Ends and returns expired leases, whose remaining units count as spent; drops unused accounts."""
        expired = [lease for lease in self.leases.values() if now_ms >= lease.expires_at_ms]
        for lease in expired:
            self.counters.expired += lease.units
            self._end_lease(now_ms, lease, 0)
        if now_ms >= self.granting_starts_at_ms:
            self.accounts = {
                customer: account
                for customer, account in self.accounts.items()
                if not account.can_be_dropped(now_ms)
            }
        return expired

    def update_plans(self, now_ms: float, plans: Iterable[Plan]) -> list[Lease]:
        """Applies changed plans; returns the leases that are revoked to fit the new limits."""
        self.plans = {plan.name: plan for plan in plans}
        revoked: list[Lease] = []
        for account in self.accounts.values():
            plan = self.plans.get(account.plan.name)
            account.resize(now_ms, plan, [] if plan is None else self._bucket_sizes(plan))
            revoked += account.revoke_surplus()
        return revoked

    def outstanding_units(self) -> int:
        """Returns the units of all leases that were neither reported as spent nor returned."""
        return sum(lease.units for lease in self.leases.values())
