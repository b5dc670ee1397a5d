"""The request counters of one node during the rollout of a version. No I/O and no clock."""

from __future__ import annotations

from enum import StrEnum, auto
from typing import TYPE_CHECKING

from onyxpost.rollout.metrics.latency import bucket_upper_bound
from onyxpost.rollout.metrics.protocol import (
    MAX_STRATA_PER_NODE,
    OTHER_STRATUM_NAME,
    MetricsSnapshot,
    RequestCounters,
    StratumCounters,
    split_to_frames,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


class Side(StrEnum):
    """The routing rules that a request was served under: new ones (candidate) or old ones (control)."""

    CANDIDATE = auto()
    CONTROL = auto()


class Failure(StrEnum):
    """The result of a request that did not succeed."""

    REJECTED_BY_QUOTA = auto()
    REJECTED_BY_CAPACITY = auto()
    REJECTED_BY_LOAD_SHEDDING = auto()
    ABORTED = auto()


class VersionCounters:
    """Counts requests by frontend, plan and side, for one version in one incarnation of the node."""

    def __init__(self, node: str, incarnation: int, zone: str, version: str) -> None:
        self.node = node
        self.incarnation = incarnation
        self.zone = zone
        self.version = version
        self._strata: dict[tuple[str, str], dict[Side, RequestCounters]] = {}

    def record_request(self, frontend: str, plan: str, side: Side) -> None:
        """Counts the arrival of a request."""
        self._counters(frontend, plan, side).requests += 1

    def record_success(
        self, frontend: str, plan: str, side: Side, latency_ms: float, *, is_late: bool
    ) -> None:
        """Counts a request that succeeded.

        Args:
            frontend: the request's frontend.
            plan: the customer's plan.
            side: the rules that the request was served under.
            latency_ms: the time from the arrival of the request to its success.
            is_late: whether the latency exceeds the latency objective.
        """
        counters = self._counters(frontend, plan, side)
        upper_bound_ms = bucket_upper_bound(latency_ms)
        counters.succeeded += 1
        counters.late += is_late
        counters.latencies[upper_bound_ms] = counters.latencies.get(upper_bound_ms, 0) + 1

    def record_failure(self, frontend: str, plan: str, side: Side, failure: Failure) -> None:
        """Counts a request that was rejected or aborted."""
        counters = self._counters(frontend, plan, side)
        match failure:
            case Failure.REJECTED_BY_QUOTA:
                counters.rejected_by_quota += 1
            case Failure.REJECTED_BY_CAPACITY:
                counters.rejected_by_capacity += 1
            case Failure.REJECTED_BY_LOAD_SHEDDING:
                counters.rejected_by_load_shedding += 1
            case Failure.ABORTED:
                counters.aborted += 1

    def record_failed_attempt(self, frontend: str, plan: str, side: Side) -> None:
        """Counts a failed attempt; the request itself may still succeed by a retry."""
        self._counters(frontend, plan, side).failed_attempts += 1

    def snapshots(self, clock_ms: float) -> Iterator[MetricsSnapshot]:
        """Yields all counters in snapshots that fit a frame; `clock_ms` counts from the node's start."""
        strata = [
            StratumCounters(frontend, plan, _copy(sides[Side.CANDIDATE]), _copy(sides[Side.CONTROL]))
            for (frontend, plan), sides in self._strata.items()
        ]
        return split_to_frames(
            MetricsSnapshot(
                node=self.node,
                incarnation=self.incarnation,
                clock_ms=clock_ms,
                version=self.version,
                zone=self.zone,
                strata=strata,
            )
        )

    def _counters(self, frontend: str, plan: str, side: Side) -> RequestCounters:
        key = (frontend, plan)
        if key not in self._strata:
            if len(self._strata) >= MAX_STRATA_PER_NODE:
                key = (OTHER_STRATUM_NAME, OTHER_STRATUM_NAME)
            self._strata.setdefault(key, {each: RequestCounters() for each in Side})
        return self._strata[key][side]


def _copy(counters: RequestCounters) -> RequestCounters:
    return counters.plus(RequestCounters())
