"""Violations of each invariant of leader election are found, and no others are reported."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from onyxpost.simulation.multiprocess.checker import check_history
from onyxpost.simulation.multiprocess.leadership_invariants import (
    COMMITTED_RECORDS,
    FENCING_TOKENS,
    LEADERSHIP_INVARIANTS,
    SINGLE_LEADER,
)
from onyxpost.simulation.multiprocess.node_log import AcceptorVoting
from onyxpost.simulation.multiprocess.recovery_epochs import RecoveryEpochsJustified
from onyxpost.simulation.process_group import ProcessChange
from tests.simulation.multiprocess.events import (
    acquired,
    call_received,
    call_sent,
    committed,
    lost,
    paused,
    process,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent

pytestmark = pytest.mark.xdist_group("quiet")  # many processes would disturb tests that measure time


def violated_invariants(events: Sequence[HistoryEvent]) -> list[str]:
    """Returns the name of the violated invariant for each violation in a history."""
    return [violation.invariant for violation in check_history(events, LEADERSHIP_INVARIANTS, 1)]


@pytest.mark.parametrize(
    ("invariant", "events"),
    [
        pytest.param(
            SINGLE_LEADER,
            [acquired(0.0, "n0", 1), acquired(40.0, "n1", 2), lost(50.0, "n0")],
            id="two leaders",
        ),
        pytest.param(
            SINGLE_LEADER,
            [acquired(0.0, "n0", 1), *paused(10.0, 300.0), acquired(200.0, "n1", 2), lost(500.0, "n0")],
            id="two leaders after a pause",
        ),
        pytest.param(
            FENCING_TOKENS,
            [acquired(0.0, "n0", 1), lost(50.0, "n0"), acquired(60.0, "n1", 1)],
            id="token of an earlier term",
        ),
        pytest.param(
            FENCING_TOKENS,
            [call_received(1.0, "n1", 2), call_received(2.0, "n0", 1)],
            id="lower token accepted",
        ),
        pytest.param(
            FENCING_TOKENS,
            [call_received(1.0, "n1", 2), call_received(2.0, "n0", 2)],
            id="another leader's token accepted",
        ),
        pytest.param(
            COMMITTED_RECORDS,
            [
                acquired(0.0, "n0", 1),
                committed(20.0, "n0", 1, sequence=4),
                lost(50.0, "n0"),
                acquired(60.0, "n1", 2, sequence=3, record="w"),
            ],
            id="committed record lost",
        ),
        pytest.param(
            COMMITTED_RECORDS,
            [
                acquired(0.0, "n0", 1),
                committed(20.0, "n0", 1, sequence=4),
                lost(50.0, "n0"),
                acquired(60.0, "n1", 2, sequence=4, record="w"),
            ],
            id="another record in place of the committed one",
        ),
    ],
)
def test_violation_is_found_once_by_the_name_of_its_invariant(
    invariant: str, events: list[HistoryEvent]
) -> None:
    assert violated_invariants(events) == [invariant]


def test_paused_leader_and_its_successor_are_no_violation() -> None:
    events = [
        acquired(0.0, "n0", 1),
        committed(5.0, "n0", 1, sequence=1),
        *paused(10.0, 300.0),
        lost(301.0, "n0"),
        acquired(200.0, "n1", 2, sequence=1, record="x"),
        call_received(250.0, "n1", 2),
        call_received(301.0, "n0", 1, accepted=False),
        call_received(310.0, "n1", 2),
    ]
    assert violated_invariants(events) == []


def test_killed_leader_and_its_successor_are_no_violation() -> None:
    events = [
        acquired(0.0, "n0", 1),
        committed(5.0, "n0", 1, sequence=1),
        process(100.0, ProcessChange.KILLED),
        acquired(200.0, "n1", 2, sequence=1, record="x"),
    ]
    assert violated_invariants(events) == []


@pytest.mark.parametrize(
    ("ended_ms_ago", "invariants"),
    [(30.0, []), (0.0, [SINGLE_LEADER])],
    ids=["ended before the successor", "ended after the successor began"],
)
def test_term_ends_with_the_lease_and_not_with_its_log_line(
    ended_ms_ago: float, invariants: list[str]
) -> None:
    events = [acquired(0.0, "n0", 1), acquired(40.0, "n1", 2), lost(50.0, "n0", ended_ms_ago)]
    assert violated_invariants(events) == invariants


@pytest.mark.parametrize(
    ("at_ms", "invariants"),
    [(30.0, []), (1301.0, [SINGLE_LEADER])],
    ids=["during the lease", "after the lease, just resumed"],
)
def test_fenced_call_may_leave_its_node_only_during_the_lease(at_ms: float, invariants: list[str]) -> None:
    events = [
        acquired(0.0, "n0", 1),
        *paused(40.0, 1300.0),
        call_sent(at_ms, "n0", 1),
        lost(1302.0, "n0", 900.0),
    ]
    assert violated_invariants(events) == invariants


@pytest.mark.parametrize(
    ("committed_unix_ms", "invariants"),
    [(90.0, []), (110.0, [COMMITTED_RECORDS])],
    ids=["committed before the epoch", "committed after the epoch"],
)
def test_only_records_committed_before_the_recovery_epoch_may_be_missing(
    committed_unix_ms: float, invariants: list[str]
) -> None:
    events = [
        acquired(0.0, "n0", 1),
        committed(20.0, "n0", 1, sequence=4, unix_ms=committed_unix_ms),
        lost(50.0, "n0"),
        acquired(60.0, "n1", 2, recovery_epoch_ms=100.0),
    ]
    assert violated_invariants(events) == invariants


@pytest.mark.parametrize(
    ("killed", "invariants"),
    [(["n0"], [COMMITTED_RECORDS]), (["n0", "n1"], [])],
    ids=["a minority lost state", "a majority lost state"],
)
def test_recovery_epoch_begins_only_after_a_majority_of_acceptors_lost_state(
    killed: list[str], invariants: list[str]
) -> None:
    acceptors = ["n0", "n1", "n2"]
    events: list[HistoryEvent] = [AcceptorVoting(10.0, node=node, role="d") for node in acceptors]
    events += [process(5000.0, ProcessChange.KILLED, node) for node in killed]
    events += [AcceptorVoting(6000.0, node="n0", role="d")]
    events += [acquired(6100.0, "n4", 2, unix_ms=16100.0, recovery_epoch_ms=16000.0)]
    violations = check_history(events, [RecoveryEpochsJustified(acceptors, 300.0)], 1)
    assert [violation.invariant for violation in violations] == invariants
