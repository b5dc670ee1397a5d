"""Durations of failovers are computed from a history, by name of the leader's fault."""

from __future__ import annotations

import pytest

from onyxpost.simulation.multiprocess.history import FaultStarted
from onyxpost.simulation.multiprocess.leadership_failover import failover_durations_ms
from tests.simulation.multiprocess.events import acquired, lost, paused

pytestmark = pytest.mark.xdist_group("quiet")  # many processes would disturb tests that measure time


def test_failover_of_a_paused_leader_counts_and_a_role_that_was_kept_does_not() -> None:
    isolation = FaultStarted(900.0, index=0, kind="alone", target="n1", duration_seconds=1.0)
    events = [
        acquired(0.0, "n0", 1),
        *paused(100.0, 1300.0),
        acquired(600.0, "n1", 2),
        isolation,
        lost(9000.0, "n1"),
        acquired(9010.0, "n2", 3),
        lost(1301.0, "n0", 750.0),
    ]
    ordered = sorted(events, key=lambda event: event.at_ms)
    assert failover_durations_ms(ordered, 1000.0) == {"stop": [500]}
