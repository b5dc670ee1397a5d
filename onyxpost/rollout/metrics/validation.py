"""Plausibility checks of snapshots, so that a faulty node cannot distort the analysis of a rollout."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from onyxpost.rollout.metrics.latency import is_bucket_upper_bound
from onyxpost.rollout.metrics.protocol import MAX_ATTEMPTS_PER_REQUEST

if TYPE_CHECKING:
    from onyxpost.rollout.metrics.protocol import MetricsSnapshot, RequestCounters, StratumCounters

MAX_REQUESTS_PER_MS = 20.0
"""Maximum rate of a node's requests: ten times the highest rate that one process forwards."""

MAX_REQUEST_BURST = 20_000.0
"""Requests allowed in addition to `MAX_REQUESTS_PER_MS`, because requests may have waited in queues."""

MAX_STRATA_PER_INCARNATION = 128
"""Maximum number of strata that one incarnation of a node may report for one version.

A node reports at most 65: `MAX_STRATA_PER_NODE`, and the one for all others.
"""


class InvalidSnapshotError(ValueError):
    """A snapshot with impossible counters; the message is the reason. `MetricsAggregator` catches it."""


@dataclass(slots=True)
class IncarnationState:
    """The merged counters of one incarnation of a node; times are in ms by the node's own clock.

    `stratum_clock_ms` holds the latest time at which each stratum was reported.
    """

    zone: str
    clock_ms: float = 0.0
    last_growth_ms: float = 0.0
    strata: dict[tuple[str, str], StratumCounters] = field(default_factory=dict)
    stratum_clock_ms: dict[tuple[str, str], float] = field(default_factory=dict)

    def set_counters(self, clock_ms: float, counters: StratumCounters) -> None:
        """Replaces the counters of one stratum, reported at `clock_ms`, by merged counters."""
        self.strata[counters.key] = counters
        self.stratum_clock_ms[counters.key] = max(clock_ms, self.stratum_clock_ms.get(counters.key, 0.0))

    def advance_clock(self, clock_ms: float, *, has_grown: bool) -> None:
        """Advances to the time of a snapshot; `has_grown` tells whether the snapshot added requests."""
        if has_grown:
            self.last_growth_ms = max(self.last_growth_ms, clock_ms)
        self.clock_ms = max(self.clock_ms, clock_ms)

    def request_count(self) -> int:
        """Returns the number of requests over both sides of all strata."""
        return sum(entry.candidate.requests + entry.control.requests for entry in self.strata.values())


def check_snapshot(snapshot: MetricsSnapshot, state: IncarnationState) -> None:
    """Checks that a snapshot is consistent in itself and with earlier snapshots of its incarnation.

    Raises:
        InvalidSnapshotError: the snapshot contradicts itself or an earlier one, or exceeds a limit.
    """
    if state.zone != snapshot.zone:
        raise InvalidSnapshotError(f"zone changed: expected {state.zone!r}, got {snapshot.zone!r}")
    reported = {entry.key: entry for entry in snapshot.strata}
    if len(reported) != len(snapshot.strata):
        raise InvalidSnapshotError(
            f"a stratum occurs twice: {len(snapshot.strata)} entries for {len(reported)} strata"
        )
    if len(reported.keys() | state.strata.keys()) > MAX_STRATA_PER_INCARNATION:
        raise InvalidSnapshotError(
            f"expected at most {MAX_STRATA_PER_INCARNATION} strata of one incarnation, "
            f"got {len(reported.keys() | state.strata.keys())}"
        )
    for entry in snapshot.strata:
        _check_counters(entry.candidate)
        _check_counters(entry.control)
    for key, entry in reported.items():
        if key in state.strata:
            previous = state.strata[key]
            if snapshot.clock_ms >= state.stratum_clock_ms[key]:
                _check_monotonic(earlier=previous, later=entry)
            else:
                _check_monotonic(earlier=entry, later=previous)
    _check_rate(snapshot, state, reported)


def _check_counters(counters: RequestCounters) -> None:
    if counters.has_negative():
        raise InvalidSnapshotError("a counter or the count of a latency bucket is negative")
    if counters.finished() > counters.requests:
        raise InvalidSnapshotError(
            f"more requests finished than arrived: {counters.finished()} of {counters.requests}"
        )
    if counters.late > counters.succeeded or sum(counters.latencies.values()) > counters.succeeded:
        raise InvalidSnapshotError(
            f"more late responses or latencies than succeeded requests: {counters.late} late responses, "
            f"{sum(counters.latencies.values())} latencies, {counters.succeeded} succeeded requests"
        )
    if counters.failed_attempts > MAX_ATTEMPTS_PER_REQUEST * counters.requests:
        raise InvalidSnapshotError(
            f"more than {MAX_ATTEMPTS_PER_REQUEST} failed attempts per request: "
            f"{counters.failed_attempts} for {counters.requests} requests"
        )
    if not all(map(is_bucket_upper_bound, counters.latencies)):
        raise InvalidSnapshotError("a latency is the upper bound of no bucket")


def _check_monotonic(*, earlier: StratumCounters, later: StratumCounters) -> None:
    """Checks that no counter decreases from the earlier to the later time of the node's clock."""
    for before, after in ((earlier.candidate, later.candidate), (earlier.control, later.control)):
        if after.minus(before).has_negative() or before.latencies.keys() - after.latencies.keys():
            raise InvalidSnapshotError(
                f"a counter of frontend {earlier.frontend!r} and plan {earlier.plan!r} "
                "decreased within an incarnation"
            )


def _check_rate(
    snapshot: MetricsSnapshot,
    state: IncarnationState,
    reported: dict[tuple[str, str], StratumCounters],
) -> None:
    """Checks that counters do not grow faster than a node can serve requests."""
    added_requests = 0
    for key, entry in reported.items():
        previous = state.strata.get(key)
        if previous is None:
            added_requests += entry.candidate.requests + entry.control.requests
        else:
            added_requests += max(0, entry.candidate.requests - previous.candidate.requests)
            added_requests += max(0, entry.control.requests - previous.control.requests)
    previous_clocks = (state.stratum_clock_ms.get(key, 0.0) for key in reported)
    previous_clock_ms = min(previous_clocks, default=snapshot.clock_ms)
    elapsed_ms = snapshot.clock_ms - min(snapshot.clock_ms, previous_clock_ms)
    if added_requests > MAX_REQUESTS_PER_MS * elapsed_ms + MAX_REQUEST_BURST:
        raise InvalidSnapshotError(
            f"{added_requests} requests in the {elapsed_ms:.0f} ms since these strata were last reported "
            f"exceed the limit of {MAX_REQUESTS_PER_MS * elapsed_ms + MAX_REQUEST_BURST:.0f}"
        )
    total_requests = added_requests + state.request_count()
    if total_requests > MAX_REQUESTS_PER_MS * max(snapshot.clock_ms, state.clock_ms) + MAX_REQUEST_BURST:
        raise InvalidSnapshotError(
            f"{total_requests} requests in the {max(snapshot.clock_ms, state.clock_ms):.0f} ms of this "
            f"incarnation exceed {MAX_REQUESTS_PER_MS:g} per ms and a burst of {MAX_REQUEST_BURST:.0f}"
        )
