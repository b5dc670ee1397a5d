"""The message in which a node reports its request counters.

A snapshot holds cumulative counters, not differences; they only grow within one incarnation of the node.
A lost, late, duplicated or reordered snapshot therefore delays the receiver's totals, but cannot make them
wrong. Candidate and control counters of a stratum are sent in one entry, so both cover the same time on the
same node.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_SNAPSHOT_BYTES = 56 * 1024
"""Maximum size of one snapshot in MessagePack.

Both a message body between nodes (72 KiB) and a frame of the planner's protocol (64 KiB) have room for it.
"""

MAX_STRATA_PER_NODE = 64
"""Maximum number of strata that a node counts separately; further ones count as `OTHER_STRATUM_NAME`."""

OTHER_STRATUM_NAME = "other"
"""The frontend and plan under which a node counts the strata beyond `MAX_STRATA_PER_NODE`."""

MAX_LATENCY_BUCKETS = 256
"""Maximum number of latency buckets of one side; must be at least `metrics.latency.BUCKET_COUNT`."""

MAX_ATTEMPTS_PER_REQUEST = 8
"""Maximum number of failed attempts that a snapshot may report for each request, on average."""

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Count = Annotated[int, Meta(ge=0, lt=2**53)]
LatencyBuckets = Annotated[dict[Count, Count], Meta(max_length=MAX_LATENCY_BUCKETS)]


class RequestCounters(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Counters of one side (candidate or control) of a stratum; the order of the fields is the wire format.

    All counters but `failed_attempts` count requests. `late` counts succeeded requests that exceeded their
    latency objective; `latencies` counts succeeded requests by the upper bound, in ms, of their bucket.
    """

    requests: Count = 0
    succeeded: Count = 0
    rejected_by_quota: Count = 0
    rejected_by_capacity: Count = 0
    rejected_by_load_shedding: Count = 0
    aborted: Count = 0
    failed_attempts: Count = 0
    late: Count = 0
    latencies: LatencyBuckets = {}

    def scalars(self) -> tuple[int, ...]:
        """Returns all counters but the latency buckets, in the order of the fields."""
        return (
            self.requests,
            self.succeeded,
            self.rejected_by_quota,
            self.rejected_by_capacity,
            self.rejected_by_load_shedding,
            self.aborted,
            self.failed_attempts,
            self.late,
        )

    def finished_under_rules(self) -> int:
        """Returns the number of finished requests whose result routing rules can influence.

        Rejections by quota and by load shedding are excluded.
        """
        return self.succeeded + self.rejected_by_capacity + self.aborted

    def finished(self) -> int:
        """Returns the number of finished requests, whatever their result."""
        rejected = self.rejected_by_quota + self.rejected_by_capacity + self.rejected_by_load_shedding
        return self.succeeded + rejected + self.aborted

    def has_negative(self) -> bool:
        """Returns whether any counter is negative."""
        return min(self.scalars()) < 0 or min(self.latencies.values(), default=0) < 0

    def merged_with(self, other: RequestCounters) -> RequestCounters:
        """Returns the element-wise maximum of two snapshots of one incarnation.

        Each request is counted once, however often and in whichever order snapshots are merged.
        """
        latencies = dict(self.latencies)
        for upper_bound_ms, count in other.latencies.items():
            latencies[upper_bound_ms] = max(count, latencies.get(upper_bound_ms, 0))
        return _from_scalars(map(max, self.scalars(), other.scalars()), latencies)

    def minus(self, earlier: RequestCounters) -> RequestCounters:
        """Returns the counts since `earlier`, which are negative where `earlier` has the greater count."""
        differences = {
            upper_bound_ms: count - earlier.latencies.get(upper_bound_ms, 0)
            for upper_bound_ms, count in self.latencies.items()
        }
        latencies = {upper_bound_ms: count for upper_bound_ms, count in differences.items() if count}
        scalars = (after - before for after, before in zip(self.scalars(), earlier.scalars(), strict=True))
        return _from_scalars(scalars, latencies)

    def plus(self, other: RequestCounters) -> RequestCounters:
        """Returns the sum of counters of different requests, such as those of two nodes or two incarnations.

        Two snapshots of one incarnation must be merged with `merged_with` instead.
        """
        latencies = dict(self.latencies)
        for upper_bound_ms, count in other.latencies.items():
            latencies[upper_bound_ms] = count + latencies.get(upper_bound_ms, 0)
        return _from_scalars(map(sum, zip(self.scalars(), other.scalars(), strict=True)), latencies)


def _from_scalars(scalars: Iterable[int], latencies: dict[int, int]) -> RequestCounters:
    """Builds counters from values in the order of `RequestCounters.scalars`."""
    # mypy assumes that a starred argument of unknown length may also fill `latencies`.
    return RequestCounters(*scalars, latencies=latencies)  # type: ignore[arg-type, misc]


class StratumCounters(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Counters of one stratum at one node; the order of the fields is the wire format."""

    frontend: Name
    plan: Name
    candidate: RequestCounters
    control: RequestCounters

    @property
    def key(self) -> tuple[str, str]:
        """The frontend and plan, which identify a stratum within one node."""
        return self.frontend, self.plan


class MetricsSnapshot(msgspec.Struct, forbid_unknown_fields=True, tag_field="say", tag="counts"):
    """The counters of one incarnation of a node for one version.

    `incarnation` grows with each start of the node; `clock_ms` is the time since that start.
    """

    node: Name
    incarnation: Count = msgspec.field(name="life")
    clock_ms: Annotated[float, Meta(ge=0.0, le=1e12)] = msgspec.field(name="clock")
    version: Name
    zone: Name
    strata: Annotated[list[StratumCounters], Meta(max_length=MAX_STRATA_PER_NODE + 1)] = msgspec.field(
        name="entries"
    )


def split_to_frames(snapshot: MetricsSnapshot) -> Iterator[MetricsSnapshot]:
    """Yields the snapshot in parts of at most `MAX_SNAPSHOT_BYTES`; one stratum is never divided."""
    stratum_count = len(snapshot.strata)
    if stratum_count <= 1 or len(msgspec.msgpack.encode(snapshot)) <= MAX_SNAPSHOT_BYTES:
        yield snapshot
        return
    half = stratum_count // 2
    yield from split_to_frames(msgspec.structs.replace(snapshot, strata=snapshot.strata[:half]))
    yield from split_to_frames(msgspec.structs.replace(snapshot, strata=snapshot.strata[half:]))
