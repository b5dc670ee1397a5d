"""Runs leader election with real processes.

The invariants must hold under faults, and each mutation must violate the invariant that is meant to find it.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import pytest

from onyxpost.simulation.multiprocess.fault_script import Fault
from onyxpost.simulation.multiprocess.leadership_invariants import (
    COMMITTED_RECORDS,
    FENCING_TOKENS,
    SINGLE_LEADER,
)
from tests.simulation.multiprocess import preconditions
from tests.simulation.multiprocess.leadership_runs import LeadershipRun, RunOutcome, run_until_conclusive

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent

pytestmark = pytest.mark.xdist_group("quiet")  # many processes: not beside what measures time

FAILOVERS = ("stop_ms", "kill_ms", "cut_ms")
MIN_COMMITTED_RECORDS = 20


def all_faults_had_an_effect(events: Sequence[HistoryEvent], result: dict[str, Any]) -> bool:
    """Whether each fault hit a leader, a delayed call was rejected, and enough records were committed."""
    return (
        result["refused_by_fence"] > 0
        and all(result.get(failover) for failover in FAILOVERS)
        and result["wrote"] > MIN_COMMITTED_RECORDS
    )


DELAYED_CALL = Fault(2.0, "late-act", "h0", 1.3)
RUNS = (  # the first run has no mutation
    LeadershipRun(
        "",
        invariant="",
        lease_seconds=1.0,
        seconds=9.0,
        faults=[DELAYED_CALL, Fault(4.6, "kill", "h1", 0.1), Fault(6.6, "alone", "h2", 1.4)],
        is_conclusive=all_faults_had_an_effect,
    ),
    LeadershipRun(
        "ignore-fencing-tokens",
        invariant=FENCING_TOKENS,
        lease_seconds=1.0,
        seconds=5.0,
        faults=[DELAYED_CALL],
        is_conclusive=lambda events, _: preconditions.stale_token_was_received(events),
    ),
    LeadershipRun(
        "ignore-lease-expiry",
        invariant=SINGLE_LEADER,
        lease_seconds=1.0,
        seconds=4.5,
        faults=[Fault(2.0, "alone", "h0", 1.8)],
        is_conclusive=lambda events, _: preconditions.successor_was_elected_during_isolation(events),
    ),
    # The lease must be longer than a restart. The acceptor on the leader's node is not restarted.
    LeadershipRun(
        "vote-without-recovery",
        invariant=SINGLE_LEADER,
        lease_seconds=4.0,
        seconds=9.5,
        faults=[Fault(6.0, "alone", "h0", 3.4), Fault(6.1, "voters-killed", "h0", 0.05)],
        is_conclusive=lambda events, _: preconditions.acceptors_restarted_early_during_isolation(events),
    ),
    LeadershipRun(
        "drop-committed-record",
        invariant=COMMITTED_RECORDS,
        lease_seconds=1.0,
        seconds=3.5,
        faults=[Fault(2.5, "term", "h0", 0.1)],
        is_conclusive=lambda events, _: preconditions.leader_followed_a_committed_record(events),
    ),
)


@pytest.fixture(scope="module")
def outcomes() -> dict[str, list[RunOutcome]]:
    """The outcomes of all runs, by mutation.

    The runs are concurrent, because they mostly wait for leases to end.
    """
    with ThreadPoolExecutor(len(RUNS)) as pool:
        return dict(zip((run.mutation for run in RUNS), pool.map(run_until_conclusive, RUNS), strict=True))


def test_leaders_that_are_killed_isolated_and_paused_violate_no_invariant(
    outcomes: dict[str, list[RunOutcome]],
) -> None:
    for outcome in outcomes[""]:
        assert outcome.result["breaches"] == []
    result = outcomes[""][-1].result
    assert result["refused_by_fence"] > 0, result
    for failover in FAILOVERS:
        assert result[failover], result
    time_factor = len(outcomes[""])  # the minimum grows with the duration of the run
    assert result["wrote"] > MIN_COMMITTED_RECORDS * time_factor, result


@pytest.mark.parametrize("run", RUNS[1:], ids=[run.mutation for run in RUNS[1:]])
def test_mutation_is_found_by_the_invariant_that_it_violates(
    outcomes: dict[str, list[RunOutcome]], run: LeadershipRun
) -> None:
    last = outcomes[run.mutation][-1]
    assert run.invariant in last.violated_invariants, last
