"""Each fault of discovery at each state of a watch, on the virtual clock.

A change during the fault has to arrive in time, or the list has to be reported as stale. If neither happens,
the node sends attempts to a server that drains or is gone.
"""

from __future__ import annotations

import itertools

import pytest

from onyxpost.edge.poll_schedule import (
    AGENT_ANSWER_MARGIN_MS,
    AGENT_BACKOFF_MAX_MS,
    AGENT_LONG_POLL_MS,
    ANSWER_TIMEOUT_MS,
    STALE_AFTER_MS,
    STALE_AFTER_RELOAD_MS,
)
from tests.edge.faulty_discovery import REACHED_FAULTS, Fault, FaultTiming, run_with_fault

# The shortest drain grace period of all sites. It begins as soon as an agent that was down and has a change
# can be reached.
DRAIN_GRACE_MS = 250.0
DURATIONS_MS = (700.0, 2500.0, 9000.0)
CASES = [
    pytest.param(fault, timing, duration_ms, id=f"{fault.value}-{timing.value}-{duration_ms}")
    for fault, timing, duration_ms in itertools.product(Fault, FaultTiming, DURATIONS_MS)
]


def stale_after_ms(timing: FaultTiming) -> float:
    return STALE_AFTER_RELOAD_MS if timing is FaultTiming.AFTER_MOVE else STALE_AFTER_MS


def becomes_stale_during_fault(fault: Fault, timing: FaultTiming, duration_ms: float) -> bool:
    """Returns whether the list counts as stale before the fault ends."""
    return fault in REACHED_FAULTS and duration_ms > stale_after_ms(timing)


@pytest.mark.parametrize(("fault", "timing", "duration_ms"), CASES)
def test_a_pushed_change_arrives_within_the_drain_grace_and_an_outage_hides_no_change(
    fault: Fault, timing: FaultTiming, duration_ms: float
) -> None:
    result = run_with_fault(fault, timing, duration_ms, shared=False)
    began_at = result.fault_ended_at - duration_ms
    assert result.has_occurred
    assert len(result.changes_at) == 1
    backoff_ms = AGENT_BACKOFF_MAX_MS if fault is Fault.OVERLOADED else 0.0
    # A fault that ends before the long poll affects only this poll, and the node waits for its answer.
    poll_ends_at = 0.0
    if fault in (Fault.SILENT, Fault.LATE):
        poll_ends_at = began_at + AGENT_LONG_POLL_MS + AGENT_ANSWER_MARGIN_MS
    assert result.changes_at[0] < max(result.fault_ended_at, poll_ends_at) + DRAIN_GRACE_MS + backoff_ms
    becomes_stale = becomes_stale_during_fault(fault, timing, duration_ms)
    assert len(result.stale_at) == becomes_stale
    if becomes_stale:
        assert result.stale_at[0] <= began_at + stale_after_ms(timing) + 10.0


@pytest.mark.parametrize(("fault", "timing", "duration_ms"), CASES)
def test_a_polled_change_arrives_within_6_s_or_counts_as_missed(
    fault: Fault, timing: FaultTiming, duration_ms: float
) -> None:
    result = run_with_fault(fault, timing, duration_ms, shared=True)
    assert result.has_occurred
    limit_ms = stale_after_ms(timing)
    assert result.changes_at[0] < result.fault_ended_at + limit_ms - ANSWER_TIMEOUT_MS
    if becomes_stale_during_fault(fault, timing, duration_ms):
        assert result.stale_at[0] <= result.fault_ended_at - duration_ms + limit_ms + 10.0
    else:
        assert not result.stale_at
