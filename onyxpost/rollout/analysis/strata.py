"""The groups of requests that are tested for regressions, and the limits on their number.

Each level's share of the false halt probability is divided equally among a fixed number of groups, so no more
groups than that may be tested.
"""

from __future__ import annotations

from functools import lru_cache
from typing import NamedTuple

from onyxpost.rollout.analysis.thresholds import LEVEL_LIMITS, Level
from onyxpost.rollout.metrics.aggregation import Stratum
from onyxpost.rollout.metrics.protocol import OTHER_STRATUM_NAME

OVERFLOW_STRATUM = Stratum(OTHER_STRATUM_NAME, OTHER_STRATUM_NAME, OTHER_STRATUM_NAME)
"""The stratum that replaces all strata beyond the limits."""

OVERFLOW_DIMENSIONS = 3
"""Number of groups of the level `DIMENSION` that contain `OVERFLOW_STRATUM`."""


class Group(NamedTuple):
    """A set of strata whose requests are tested together."""

    level: Level
    name: str


ALL_REQUESTS = Group(Level.ALL, "all requests")


def stratum_name(stratum: Stratum) -> str:
    """Returns the name of the stratum's own group."""
    return f"{stratum.frontend}/{stratum.plan}/{stratum.zone}"


@lru_cache(maxsize=1024)
def groups_of(stratum: Stratum) -> tuple[Group, ...]:
    """Returns all groups that contain the stratum."""
    return (
        ALL_REQUESTS,
        Group(Level.DIMENSION, f"zone {stratum.zone}"),
        Group(Level.DIMENSION, f"plan {stratum.plan}"),
        Group(Level.DIMENSION, f"frontend {stratum.frontend}"),
        Group(Level.STRATUM, stratum_name(stratum)),
    )


class StratumRegistry:
    """Admits strata in the order in which they appear, up to the limits of all levels."""

    def __init__(self) -> None:
        self._strata: set[Stratum] = set()
        self._dimensions: set[Group] = set()

    def resolve(self, stratum: Stratum) -> Stratum:
        """Returns the stratum, or `OVERFLOW_STRATUM` if admitting the stratum would exceed a limit."""
        if stratum in self._strata:
            return stratum
        dimensions = self._dimensions.union(
            group for group in groups_of(stratum) if group.level is Level.DIMENSION
        )
        max_strata = LEVEL_LIMITS[Level.STRATUM].max_groups - 1
        max_dimensions = LEVEL_LIMITS[Level.DIMENSION].max_groups - OVERFLOW_DIMENSIONS
        if len(self._strata) >= max_strata or len(dimensions) > max_dimensions:
            return OVERFLOW_STRATUM
        self._strata.add(stratum)
        self._dimensions = dimensions
        return stratum
