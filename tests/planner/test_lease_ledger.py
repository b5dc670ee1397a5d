"""The lease ledger: available and leased units never exceed the burst, for any sequence of messages."""

from __future__ import annotations

from random import Random

import pytest

from onyxpost.core.types import Plan
from onyxpost.planner.lease import Lease
from onyxpost.planner.lease_ledger import LeaseLedger, Rejection
from onyxpost.planner.lease_terms import LeaseTerms

TERMS = LeaseTerms(2000.0, 0.01)
GRANTING_AT_MS = TERMS.planner_duration_ms + 1.0  # the ledger grants from its start on
FULL_AT_MS = GRANTING_AT_MS + 60_000.0  # all buckets are full by then
CUSTOMER = 7


def make_plan(
    rate: float = 10.0, burst: float = 20.0, hard_rate: float = 0.0, hard_burst: float = 0.0
) -> Plan:
    return Plan("p", rate, burst, 0, 1.0, hard_rate, hard_burst)


def make_ledger(*plans: Plan, leasable_share: float = 1.0) -> LeaseLedger:
    return LeaseLedger(0.0, plans or [make_plan()], TERMS, leasable_share)


def request(
    ledger: LeaseLedger, now_ms: float, forwarder: str, units: int, min_units: int = 1
) -> Lease | Rejection:
    return ledger.request_lease(now_ms, forwarder, CUSTOMER, "p", units, min_units)


def expect_grant(ledger: LeaseLedger, now_ms: float, forwarder: str, units: int) -> Lease:
    lease = request(ledger, now_ms, forwarder, units)
    assert isinstance(lease, Lease), lease
    return lease


def expect_rejection(
    ledger: LeaseLedger, now_ms: float, forwarder: str, units: int, min_units: int = 1
) -> Rejection:
    rejection = request(ledger, now_ms, forwarder, units, min_units)
    assert isinstance(rejection, Rejection), rejection
    return rejection


def test_restarted_planner_grants_nothing_until_leases_of_its_previous_incarnation_are_over() -> None:
    ledger = make_ledger()
    expired_at_ms = TERMS.planner_duration_ms
    assert expect_rejection(ledger, 100.0, "a", 5) == Rejection(expired_at_ms - 100.0)
    # The buckets are empty at that time, because the previous incarnation may have granted all units.
    expect_rejection(ledger, expired_at_ms, "a", 5)
    assert expect_grant(ledger, expired_at_ms + 500.0, "a", 9).units == 5


def test_leased_units_leave_no_space_to_refill() -> None:
    ledger = make_ledger()
    lease = expect_grant(ledger, GRANTING_AT_MS + 5000.0, "a", 20)
    assert lease.units == 20
    expect_rejection(ledger, GRANTING_AT_MS + 6500.0, "b", 1)
    ledger.record_use(GRANTING_AT_MS + 6500.0, "a", lease.lease_id, 20)
    assert expect_grant(ledger, GRANTING_AT_MS + 7000.0, "b", 20).units == 5


def test_returned_units_can_be_granted_again_and_expired_units_cannot() -> None:
    ledger = make_ledger()
    now_ms = GRANTING_AT_MS + 5000.0
    first = expect_grant(ledger, now_ms, "a", 10)
    second = expect_grant(ledger, now_ms, "b", 10)
    ledger.return_lease(now_ms, "a", first.lease_id, 10)
    assert expect_grant(ledger, now_ms, "c", 10).units == 10
    expired = ledger.expire(now_ms + TERMS.planner_duration_ms)
    assert second in expired
    assert ledger.counters.expired == 20
    assert ledger.outstanding_units() == 0
    expect_rejection(ledger, now_ms + TERMS.planner_duration_ms, "a", 1)  # the buckets are empty


def test_duplicate_reports_and_reports_of_other_forwarders_change_nothing() -> None:
    ledger = make_ledger()
    now_ms = GRANTING_AT_MS + 5000.0
    lease = expect_grant(ledger, now_ms, "a", 10)
    ledger.return_lease(now_ms, "b", lease.lease_id, 10)
    assert ledger.outstanding_units() == 10
    ledger.return_lease(now_ms, "a", lease.lease_id, 4)
    ledger.return_lease(now_ms, "a", lease.lease_id, 4)
    ledger.record_use(now_ms, "a", lease.lease_id, 4)
    assert (ledger.counters.returned, ledger.counters.spent) == (4, 6)


def test_stricter_of_quota_and_hard_limit_applies() -> None:
    ledger = make_ledger(make_plan(10.0, 20.0, 2.0, 3.0))
    assert expect_grant(ledger, FULL_AT_MS, "a", 50).units == 3


def test_planner_grants_only_the_leasable_share() -> None:
    assert expect_grant(make_ledger(leasable_share=0.75), FULL_AT_MS, "a", 50).units == 15


def test_forwarders_that_request_at_the_same_time_share_available_units() -> None:
    ledger = make_ledger()
    lease = expect_grant(ledger, FULL_AT_MS, "a", 30)
    assert lease.units == 20  # the only forwarder gets all units, 10 fewer than it requested
    ledger.record_use(FULL_AT_MS, "a", lease.lease_id, 20)
    # Half of the 10 units that are available: the forwarder a still needs 10 units, too.
    assert expect_grant(ledger, FULL_AT_MS + 1000.0, "b", 10).units == 5


def test_plan_lowered_below_leased_units_revokes_the_newest_leases() -> None:
    ledger = make_ledger()
    leases = [expect_grant(ledger, FULL_AT_MS, name, 5) for name in ("a", "b", "c")]
    revoked = ledger.update_plans(FULL_AT_MS, [make_plan(1.0, 8.0)])
    assert [lease.lease_id for lease in revoked] == [leases[2].lease_id, leases[1].lease_id]
    expect_rejection(ledger, FULL_AT_MS + 9000.0, "d", 1)
    for lease in revoked:
        ledger.return_lease(FULL_AT_MS, lease.forwarder, lease.lease_id, 5)
    assert ledger.outstanding_units() == 5
    assert expect_grant(ledger, FULL_AT_MS + 9100.0, "d", 9).units <= 3


def test_idle_lease_is_revoked_for_a_forwarder_without_units() -> None:
    ledger = make_ledger()
    now_ms = FULL_AT_MS
    idle = expect_grant(ledger, now_ms, "a", 10)
    busy = expect_grant(ledger, now_ms + 1.0, "b", 10)
    assert expect_rejection(ledger, now_ms + 200.0, "c", 3, 3).revoked is None
    ledger.record_use(now_ms + 310.0, "b", busy.lease_id, 1)
    assert expect_rejection(ledger, now_ms + 320.0, "c", 9, 9).revoked is idle
    assert expect_rejection(ledger, now_ms + 330.0, "c", 9, 9).revoked is None
    ledger.return_lease(now_ms + 340.0, "a", idle.lease_id, 10)
    assert expect_grant(ledger, now_ms + 380.0, "c", 9).units == 9


def test_removed_plan_grants_nothing_more() -> None:
    ledger = make_ledger()
    expect_grant(ledger, FULL_AT_MS, "a", 5)
    assert len(ledger.update_plans(FULL_AT_MS, [])) == 1
    expect_rejection(ledger, FULL_AT_MS, "a", 1)


class RandomForwarders:
    """Four forwarders that request, use and return leases at random; some of their messages are lost."""

    def __init__(self, ledger: LeaseLedger, rng: Random) -> None:
        self.ledger = ledger
        self.rng = rng
        self.leases: list[Lease] = []
        self.units_left: dict[int, int] = {}  # by lease id, as counted by the forwarder
        self.spent: list[tuple[float, int]] = []  # time in ms, and units

    def act(self, now_ms: float) -> None:
        forwarder = self.rng.choice("abcd")
        match self.rng.randrange(4):
            case 0 | 1:
                lease = request(self.ledger, now_ms, forwarder, self.rng.randint(1, 12))
                if isinstance(lease, Lease):
                    self.leases.append(lease)
                    self.units_left[lease.lease_id] = lease.units
            case 2 if self.leases:
                self.use_one_unit(now_ms, self.rng.choice(self.leases))
            case 3 if self.leases:
                lease = self.leases.pop(self.rng.randrange(len(self.leases)))
                if now_ms < lease.expires_at_ms and self.rng.random() < 0.7:
                    unused = self.units_left[lease.lease_id]
                    self.ledger.return_lease(now_ms, lease.forwarder, lease.lease_id, unused)

    def use_one_unit(self, now_ms: float, lease: Lease) -> None:
        usable_until_ms = lease.expires_at_ms - 2.0 * TERMS.clock_drift * TERMS.duration_ms
        if now_ms < usable_until_ms and self.units_left[lease.lease_id]:
            self.units_left[lease.lease_id] -= 1
            self.spent.append((now_ms, 1))
            if self.rng.random() < 0.5:  # otherwise the report is lost
                self.ledger.record_use(now_ms, lease.forwarder, lease.lease_id, 1)


@pytest.mark.parametrize("seed", range(30))
def test_rate_limits_hold_for_random_sequences_of_messages(seed: int) -> None:
    rng = Random(seed)
    ledger = make_ledger(make_plan(30.0, 25.0, 40.0, 30.0))
    forwarders = RandomForwarders(ledger, rng)
    now_ms = GRANTING_AT_MS
    for _ in range(600):
        now_ms += rng.uniform(0.0, 60.0)
        forwarders.act(now_ms)
        ledger.expire(now_ms)
        account = ledger.accounts.get(CUSTOMER)
        for bucket in account.buckets if account is not None else []:
            assert bucket.available + bucket.leased <= bucket.burst + 1e-6
    for first, (start_ms, _) in enumerate(forwarders.spent):
        total = 0
        for at_ms, units in forwarders.spent[first:]:
            total += units
            assert total <= 25.0 + 30.0 * (at_ms - start_ms) / 1000.0 + 1.0
