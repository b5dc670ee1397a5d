"""Aggregation of the nodes' snapshots. No I/O and no clock: the caller passes the time.

Snapshots are merged by maximum into one state for each incarnation of a node. A snapshot with impossible
counters is rejected with a reason and changes nothing. The requests that a snapshot adds to the state are
returned as increments, which the analysis takes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from onyxpost.rollout.metrics.protocol import MetricsSnapshot, RequestCounters, StratumCounters
from onyxpost.rollout.metrics.validation import IncarnationState, InvalidSnapshotError, check_snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_NODES = 4000
MAX_INCARNATIONS_PER_NODE = 8
"""Beyond this, the oldest incarnation is discarded; its increments were already returned."""

SILENT_AFTER_MS = 15_000.0
"""Time without a snapshot after which a node counts as silent."""

STALLED_AFTER_MS = 30_000.0
"""Time by the node's clock without new requests after which a node counts as stalled."""

NO_COUNTERS = RequestCounters()


@dataclass(frozen=True, slots=True)
class Stratum:
    """The requests of one frontend, plan and zone, within which candidate and control are compared."""

    frontend: str
    plan: str
    zone: str


@dataclass(frozen=True, slots=True)
class CounterIncrement:
    """The requests that one node counted in one stratum between two of its snapshots."""

    node: str
    stratum: Stratum
    candidate: RequestCounters
    control: RequestCounters


@dataclass(frozen=True, slots=True)
class RejectedSnapshot:
    """The sender of a snapshot that was not merged, and the reason."""

    node: str
    reason: str


@dataclass(frozen=True, slots=True)
class NodeActivity:
    """Numbers of nodes: active, stalled (the clock advances, but no requests are counted) and silent."""

    active: int
    stalled: int
    silent: int

    @property
    def expected(self) -> int:
        """The number of nodes that should report; more if more nodes reported."""
        return self.active + self.stalled + self.silent


def _every_stratum(_stratum: Stratum) -> bool:
    return True


class MetricsAggregator:
    """Merges the snapshots of all nodes for one version.

    A node is silent after `silent_after_ms` without a snapshot. It is stalled if it counted no requests for
    `stalled_after_ms` by its own clock.
    """

    def __init__(
        self,
        version: str,
        silent_after_ms: float = SILENT_AFTER_MS,
        stalled_after_ms: float = STALLED_AFTER_MS,
    ) -> None:
        self.version = version
        self.silent_after_ms = silent_after_ms
        self.stalled_after_ms = stalled_after_ms
        self.rejected_snapshots = 0
        self._states: dict[tuple[str, int], IncarnationState] = {}
        self._incarnations: dict[str, set[int]] = {}
        self._last_snapshot_ms: dict[str, float] = {}

    def handle_snapshot(
        self, now_ms: float, snapshot: MetricsSnapshot
    ) -> list[CounterIncrement] | RejectedSnapshot:
        """Merges a snapshot and returns the increments of strata that its incarnation reported before.

        The first snapshot of a stratum yields no increment and only sets the starting point: an earlier
        aggregator may already have returned its counts.
        """
        state = self._states.get((snapshot.node, snapshot.incarnation)) or IncarnationState(snapshot.zone)
        try:
            self._check_origin(snapshot)
            check_snapshot(snapshot, state)
        except InvalidSnapshotError as error:
            self.rejected_snapshots += 1
            return RejectedSnapshot(snapshot.node, str(error))
        self._states[(snapshot.node, snapshot.incarnation)] = state
        self._incarnations.setdefault(snapshot.node, set()).add(snapshot.incarnation)
        requests_before = state.request_count()
        merged = [_merge(snapshot, state, entry) for entry in snapshot.strata]
        state.advance_clock(snapshot.clock_ms, has_grown=state.request_count() > requests_before)
        if max(self._incarnations[snapshot.node]) == snapshot.incarnation:
            self._last_snapshot_ms[snapshot.node] = now_ms
        self._forget_old_incarnations(snapshot.node)
        return [increment for increment in merged if increment is not None]

    def activity(self, now_ms: float, expected_nodes: int) -> NodeActivity:
        """Returns how many nodes are active, stalled and silent.

        All nodes that reported lately count as active or stalled, even more than `expected_nodes`; the other
        expected nodes, also those that never reported, are silent. Only active nodes show how the version
        behaves.
        """
        active = 0
        stalled = 0
        for node, incarnations in self._incarnations.items():
            if now_ms - self._last_snapshot_ms.get(node, -self.silent_after_ms) >= self.silent_after_ms:
                continue
            state = self._states[(node, max(incarnations))]
            if state.clock_ms - state.last_growth_ms >= self.stalled_after_ms:
                stalled += 1
            else:
                active += 1
        return NodeActivity(active, stalled, max(0, expected_nodes - active - stalled))

    def totals(
        self, is_included: Callable[[Stratum], bool] = _every_stratum
    ) -> tuple[RequestCounters, RequestCounters]:
        """Returns the candidate's and control's counters in the included strata.

        They are sums over the kept incarnations of all nodes, and fall when an incarnation is discarded.
        """
        candidate = NO_COUNTERS
        control = NO_COUNTERS
        for state in self._states.values():
            for entry in state.strata.values():
                if is_included(Stratum(entry.frontend, entry.plan, state.zone)):
                    candidate = candidate.plus(entry.candidate)
                    control = control.plus(entry.control)
        return candidate, control

    def _check_origin(self, snapshot: MetricsSnapshot) -> None:
        if snapshot.version != self.version:
            raise InvalidSnapshotError(
                f"another version: expected {self.version!r}, got {snapshot.version!r}"
            )
        if snapshot.node not in self._incarnations and len(self._incarnations) >= MAX_NODES:
            raise InvalidSnapshotError(
                f"expected at most {MAX_NODES} nodes, got {snapshot.node!r} in addition"
            )

    def _forget_old_incarnations(self, node: str) -> None:
        for incarnation in sorted(self._incarnations[node])[:-MAX_INCARNATIONS_PER_NODE]:
            self._incarnations[node].discard(incarnation)
            del self._states[(node, incarnation)]


def _merge(
    snapshot: MetricsSnapshot, state: IncarnationState, entry: StratumCounters
) -> CounterIncrement | None:
    """Merges one stratum into the state.

    Returns the increment, or None if the stratum was not known before or nothing was added.
    """
    previous = state.strata.get(entry.key)
    before = previous or StratumCounters(entry.frontend, entry.plan, NO_COUNTERS, NO_COUNTERS)
    merged = StratumCounters(
        entry.frontend,
        entry.plan,
        before.candidate.merged_with(entry.candidate),
        before.control.merged_with(entry.control),
    )
    state.set_counters(snapshot.clock_ms, merged)
    candidate = merged.candidate.minus(before.candidate)
    control = merged.control.minus(before.control)
    if previous is None or not any(candidate.scalars() + control.scalars()):
        return None
    return CounterIncrement(
        snapshot.node, Stratum(entry.frontend, entry.plan, state.zone), candidate, control
    )
