"""Request counters of candidate and control: counting, merging, validation and the activity of nodes."""

from __future__ import annotations

from random import Random
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxpost.rollout.metrics.aggregation import MetricsAggregator, NodeActivity, RejectedSnapshot
from onyxpost.rollout.metrics.counters import Failure, Side, VersionCounters
from onyxpost.rollout.metrics.latency import BUCKET_COUNT, bucket_upper_bound, quantile
from onyxpost.rollout.metrics.protocol import (
    MAX_LATENCY_BUCKETS,
    MAX_SNAPSHOT_BYTES,
    MAX_STRATA_PER_NODE,
    MetricsSnapshot,
    RequestCounters,
    StratumCounters,
)

VERSION = "v2"
Totals = tuple[RequestCounters, RequestCounters]


def snapshot_history(seed: int, node: str = "n1", incarnation: int = 1) -> list[MetricsSnapshot]:
    """Snapshots of a node at five times; between them the node counts random requests."""
    rng = Random(seed)
    sides: list[Side] = list(Side)
    failures: list[Failure] = list(Failure)
    counters = VersionCounters(node, incarnation, "north", VERSION)
    snapshots: list[MetricsSnapshot] = []
    for tick in range(1, 6):
        for _ in range(rng.randrange(40)):
            plan = rng.choice(["gold", "basic"])
            side = rng.choice(sides)
            counters.record_request("web", plan, side)
            if rng.random() < 0.7:
                latency_ms = rng.expovariate(0.01)
                counters.record_success("web", plan, side, latency_ms, is_late=rng.random() < 0.1)
            else:
                counters.record_failure("web", plan, side, rng.choice(failures))
        snapshots += counters.snapshots(tick * 5000.0)
    return snapshots


def aggregated(snapshots: list[MetricsSnapshot]) -> Totals:
    aggregator = MetricsAggregator(VERSION)
    for snapshot in snapshots:
        assert not isinstance(aggregator.handle_snapshot(0.0, snapshot), RejectedSnapshot)
    return aggregator.totals()


def snapshot_of(
    requests: int = 10, clock_ms: float = 5000.0, version: str = VERSION, **candidate: object
) -> MetricsSnapshot:
    """A snapshot of one stratum; all requests succeeded, except as `candidate` replaces its counters."""
    counters = msgspec.structs.replace(RequestCounters(requests=requests, succeeded=requests), **candidate)
    strata = [StratumCounters("web", "gold", counters, RequestCounters())]
    return MetricsSnapshot("n1", 1, clock_ms, version, "north", strata)


def check_delivery_does_not_matter(seed: int, order: Random) -> None:
    """Checks that totals are the same if snapshots are lost, late, duplicated and reordered.

    Only the last snapshot of each incarnation always arrives.
    """
    snapshots = [
        *snapshot_history(seed),
        *snapshot_history(seed + 1, incarnation=2),
        *snapshot_history(seed + 2, "n2"),
    ]
    last_of_each = [snapshots[4], snapshots[9], snapshots[14]]
    delivered = [snapshot for snapshot in snapshots if order.random() < 0.7] + last_of_each
    delivered += [order.choice(snapshots) for _ in range(9)]
    order.shuffle(delivered)
    assert aggregated(delivered) == aggregated(snapshots)


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10_000), st.randoms(use_true_random=False))
def test_lost_late_duplicated_and_reordered_snapshots_do_not_change_totals(seed: int, order: Random) -> None:
    check_delivery_does_not_matter(seed, order)


def test_merging_by_addition_is_detected() -> None:
    def check_all() -> None:
        for seed in range(5):
            check_delivery_does_not_matter(seed, Random(seed))

    with (
        mock.patch.object(RequestCounters, "merged_with", RequestCounters.plus),
        pytest.raises(AssertionError),
    ):
        check_all()


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10_000), st.randoms(use_true_random=False))
def test_totals_never_decrease_and_each_increment_is_returned_once(seed: int, order: Random) -> None:
    aggregator = MetricsAggregator(VERSION)
    increments = RequestCounters()
    before = RequestCounters()
    first_reported: dict[tuple[str, str], RequestCounters] = {}
    for snapshot in order.choices(snapshot_history(seed), k=12):
        for entry in snapshot.strata:
            first_reported.setdefault(entry.key, entry.candidate)
        result = aggregator.handle_snapshot(0.0, snapshot)
        assert not isinstance(result, RejectedSnapshot)
        for increment in result:
            increments = increments.plus(increment.candidate)
        total, _ = aggregator.totals()
        assert min(total.minus(before).scalars()) >= 0
        assert sum(total.latencies.values()) >= sum(before.latencies.values())
        before = total
    for counters in first_reported.values():  # the first snapshot of a stratum yields no increment
        increments = increments.plus(counters)
    assert increments == before


def test_impossible_counters_are_rejected_and_change_nothing() -> None:
    aggregator = MetricsAggregator(VERSION)
    aggregator.handle_snapshot(0.0, snapshot_of(100))
    for snapshot, reason in (
        (snapshot_of(99, 6000.0), "decrease"),
        (snapshot_of(101, 4000.0), "decrease"),
        (snapshot_of(-1, 6000.0), "negative"),
        (snapshot_of(110, 6000.0, rejected_by_capacity=1), "finished than"),
        (snapshot_of(110, 6000.0, late=111), "late responses"),
        (snapshot_of(110, 6000.0, failed_attempts=881), "attempts"),
        (snapshot_of(110, 6000.0, latencies={5: 111}), "latencies"),
        (snapshot_of(110, 6000.0, latencies={104: 1}), "no bucket"),
        (snapshot_of(10**6, 6000.0), "since these strata were last reported"),
        (snapshot_of(110, 6000.0, "v3"), "another version"),
    ):
        result = aggregator.handle_snapshot(0.0, snapshot)
        assert isinstance(result, RejectedSnapshot), reason
        assert reason in result.reason
    assert aggregator.totals()[0].requests == 100
    assert aggregator.rejected_snapshots == 10


def test_stalled_and_silent_nodes_are_distinguished_from_active_ones() -> None:
    aggregator = MetricsAggregator(VERSION)
    for seconds in range(5, 65, 5):
        aggregator.handle_snapshot(seconds * 1000.0, snapshot_of(10, seconds * 1000.0))
    assert aggregator.activity(60_000.0, 3) == NodeActivity(active=0, stalled=1, silent=2)
    aggregator.handle_snapshot(61_000.0, snapshot_of(20, 61_000.0))
    assert aggregator.activity(61_000.0, 3) == NodeActivity(active=1, stalled=0, silent=2)
    assert aggregator.activity(80_000.0, 3) == NodeActivity(active=0, stalled=0, silent=3)


def test_a_restarted_node_counts_from_zero_and_its_earlier_counters_are_kept() -> None:
    aggregator = MetricsAggregator(VERSION)
    aggregator.handle_snapshot(0.0, snapshot_of(100))
    strata = [StratumCounters("web", "gold", RequestCounters(requests=3), RequestCounters())]
    aggregator.handle_snapshot(1.0, MetricsSnapshot("n1", 2, 10.0, VERSION, "north", strata))
    assert aggregator.totals()[0].requests == 103


def test_a_late_snapshot_of_an_earlier_incarnation_is_no_sign_of_activity() -> None:
    aggregator = MetricsAggregator(VERSION)
    aggregator.handle_snapshot(0.0, snapshot_of(100))
    strata = [StratumCounters("web", "gold", RequestCounters(requests=3), RequestCounters())]
    aggregator.handle_snapshot(1.0, MetricsSnapshot("n1", 2, 10.0, VERSION, "north", strata))
    aggregator.handle_snapshot(50_000.0, snapshot_of(100))
    assert aggregator.activity(50_000.0, 1) == NodeActivity(active=0, stalled=0, silent=1)


def test_strata_are_bounded_and_the_largest_snapshots_fit_a_frame() -> None:
    counters = VersionCounters("n" * 64, 1, "h" * 64, "v" * 64)
    for stratum in range(MAX_STRATA_PER_NODE + 3):
        for power in range(200):
            for side in Side:
                counters.record_request("f" * 64, f"{stratum:064}", side)
                counters.record_success("f" * 64, f"{stratum:064}", side, 1.06**power, is_late=False)
    snapshots = list(counters.snapshots(1e7))
    assert sum(len(snapshot.strata) for snapshot in snapshots) == MAX_STRATA_PER_NODE + 1
    encoded = [msgspec.msgpack.encode(snapshot) for snapshot in snapshots]
    assert all(len(data) <= MAX_SNAPSHOT_BYTES for data in encoded)
    aggregator = MetricsAggregator("v" * 64)
    for data in encoded:
        decoded: MetricsSnapshot = msgspec.msgpack.decode(data, type=MetricsSnapshot)
        assert not isinstance(aggregator.handle_snapshot(0.0, decoded), RejectedSnapshot)


def test_latency_buckets_are_no_wider_than_a_tenth() -> None:
    assert BUCKET_COUNT <= MAX_LATENCY_BUCKETS
    for latency_ms in (1, 17, 33, 80, 500, 4000, 119_000, 1e9):
        assert min(latency_ms, 120_000) <= bucket_upper_bound(latency_ms) <= 1.1 * latency_ms


def test_quantiles_are_upper_bounds_of_buckets() -> None:
    assert quantile({10: 50, 103: 50}, 0.4) == 10
    assert quantile({10: 50, 103: 50}, 0.8) == 103
