"""Snapshots of request counters, by the case names of the recorded data."""

from __future__ import annotations

from typing import Any

import msgspec

from onyxpost.rollout.metrics import protocol as counts


def counts_messages() -> dict[str, Any]:
    """Returns snapshots of a node's request counters during the rollout of a version, by case."""
    tally = counts.RequestCounters(
        requests=100,
        succeeded=80,
        rejected_by_quota=5,
        rejected_by_capacity=4,
        rejected_by_load_shedding=3,
        aborted=2,
        failed_attempts=9,
        late=7,
        latencies={12: 50, 200: 30},
    )
    entry = counts.StratumCounters(
        frontend="lookup", plan="team", candidate=tally, control=counts.RequestCounters()
    )
    other = counts.StratumCounters(
        frontend=counts.OTHER_STRATUM_NAME,
        plan=counts.OTHER_STRATUM_NAME,
        candidate=counts.RequestCounters(requests=1),
        control=tally,
    )
    snapshot = counts.MetricsSnapshot(
        node="n1", incarnation=4, clock_ms=1500.5, version="v2", zone="a", strata=[entry, other]
    )
    return {
        "counts": snapshot,
        "counts, no entry": msgspec.structs.replace(snapshot, strata=[]),
        "counts, one entry": msgspec.structs.replace(snapshot, strata=[entry]),
    }


def split_counts() -> list[bytes]:
    """Returns the parts in which a snapshot too large for one frame is sent."""
    tally = counts.RequestCounters(requests=2**52, succeeded=2**51, latencies={k: 2**50 for k in range(64)})
    entries = [counts.StratumCounters(f"frontend-{i}", "p" * 64, tally, tally) for i in range(60)]
    snapshot = counts.MetricsSnapshot(
        node="n1", incarnation=4, clock_ms=1.0, version="v2", zone="a", strata=entries
    )
    return [msgspec.msgpack.encode(part) for part in counts.split_to_frames(snapshot)]
