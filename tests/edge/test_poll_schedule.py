"""The time from which the endpoint list counts as stale, and the time of the next poll.

If the list counts as stale too late, the node sends attempts to servers that are gone. If it counts as stale
without reason, the node stops using servers that are ready.
"""

from __future__ import annotations

from random import Random

import pytest

from onyxpost.edge.poll_schedule import (
    AGENT_BACKOFF_MAX_MS,
    AGENT_FIRST_MAX_BACKOFF_MS,
    ANSWER_TIMEOUT_MS,
    RETRY_PAUSE_MS,
    STALE_AFTER_MS,
    STALE_AFTER_RELOAD_MS,
    PollFailure,
    PollSchedule,
)


@pytest.fixture
def schedule() -> PollSchedule:
    return PollSchedule(Random(1))


@pytest.mark.parametrize(
    "failures",
    [
        [PollFailure.TIMEOUT],
        [PollFailure.OVERLOADED, PollFailure.TIMEOUT],
        [PollFailure.MALFORMED_ANSWER],
    ],
)
def test_after_a_failure_and_an_overload_the_first_failure_counts(
    schedule: PollSchedule, failures: list[PollFailure]
) -> None:
    now = 1000.0
    for failure in failures:
        schedule.on_poll_started(now, 1.0)
        now += 1900.0
        schedule.on_poll_failed(now, failure)
    schedule.on_poll_started(now, 1.0)
    schedule.on_poll_failed(now, PollFailure.OVERLOADED)
    assert schedule.stale_in_ms(now) == 1000.0 + STALE_AFTER_MS - now


@pytest.mark.parametrize("down", [PollFailure.TIMEOUT, PollFailure.UNREACHABLE])
@pytest.mark.parametrize(
    ("before", "may_miss_changes"),
    [
        ([], False),
        ([PollFailure.TIMEOUT], False),
        ([PollFailure.CONNECTION_CLOSED], False),
        ([PollFailure.OVERLOADED], True),
        ([PollFailure.MALFORMED_ANSWER], True),
        ([PollFailure.LOCAL_RESOURCES], True),
    ],
)
def test_an_outage_restarts_the_6_s_unless_a_change_may_have_been_missed_before(
    schedule: PollSchedule, before: list[PollFailure], may_miss_changes: bool, down: PollFailure
) -> None:
    now = 1000.0
    schedule.on_poll_started(now, 1.0)
    schedule.on_poll_answered()
    for failure in [*before, down, down]:
        schedule.on_poll_started(now, 1.0)
        now += 1000.0
        schedule.on_poll_failed(now, failure)
    stale_in_ms = schedule.stale_in_ms(now)
    assert stale_in_ms == (1000.0 + STALE_AFTER_MS - now if may_miss_changes else None)
    schedule.on_poll_started(now, 1.0)
    schedule.on_poll_failed(now, PollFailure.OVERLOADED)
    if may_miss_changes:
        reachable_since = 1000.0
    elif down is PollFailure.TIMEOUT:
        reachable_since = now - 1000.0  # discovery was down when the unanswered poll started
    else:
        reachable_since = now  # discovery was down when the connection was refused
    assert schedule.stale_in_ms(now) == reachable_since + STALE_AFTER_MS - now


def test_a_watch_that_times_out_counts_from_the_start_of_its_poll(schedule: PollSchedule) -> None:
    schedule.on_poll_started(0.0, 1.0)
    schedule.on_poll_answered()
    schedule.on_poll_started(1000.0, 1000.0)
    schedule.on_poll_failed(2250.0, PollFailure.TIMEOUT)
    schedule.on_poll_started(2250.0, 1.0)
    schedule.on_poll_failed(2251.0, PollFailure.OVERLOADED)
    assert schedule.stale_in_ms(2251.0) == 1000.0 + STALE_AFTER_MS - 2251.0


def test_after_a_move_the_list_is_stale_4_s_after_the_first_timeout(schedule: PollSchedule) -> None:
    schedule.on_poll_started(1000.0, 1.0, is_after_move=True)
    schedule.on_poll_failed(1251.0, PollFailure.TIMEOUT)
    schedule.on_poll_started(1251.0, 1.0, is_after_move=True)
    schedule.on_poll_failed(1260.0, PollFailure.OVERLOADED)
    assert schedule.stale_in_ms(1260.0) == 1000.0 + STALE_AFTER_RELOAD_MS - 1260.0


@pytest.mark.parametrize("first", [PollFailure.OVERLOADED, PollFailure.CONNECTION_CLOSED])
def test_connections_that_keep_closing_make_the_list_stale_after_6_s(
    schedule: PollSchedule, first: PollFailure
) -> None:
    now = 1000.0
    while now < 1000.0 + STALE_AFTER_MS:
        for failure in (first, PollFailure.CONNECTION_CLOSED):
            schedule.on_poll_started(now, 1.0)
            now += schedule.on_poll_failed(now, failure)
    assert schedule.stale_in_ms(now) == 0.0


@pytest.mark.parametrize("shared", [False, True])
@pytest.mark.parametrize("seed", range(20))
def test_the_next_poll_leaves_time_for_its_answer_before_the_list_is_stale(shared: bool, seed: int) -> None:
    schedule = PollSchedule(Random(seed), is_shared_service=shared)
    now = 1_000_000.0
    schedule.on_poll_started(now, 1.0)
    pauses = []
    for _ in range(4):
        pauses.append(schedule.on_poll_failed(now, PollFailure.OVERLOADED))
        remaining_ms = schedule.stale_in_ms(now)
        assert remaining_ms is not None
        if remaining_ms > ANSWER_TIMEOUT_MS + RETRY_PAUSE_MS:
            assert pauses[-1] + ANSWER_TIMEOUT_MS <= remaining_ms
        now += pauses[-1]
        schedule.on_poll_started(now, 1.0)
    assert max(pauses) <= (STALE_AFTER_MS - ANSWER_TIMEOUT_MS if shared else AGENT_BACKOFF_MAX_MS)


def test_a_malformed_answer_is_retried_soon_and_an_answer_resets_the_backoff(
    schedule: PollSchedule,
) -> None:
    schedule.on_poll_started(0.0, 1.0)
    pauses = [schedule.on_poll_failed(1.0, PollFailure.MALFORMED_ANSWER) for _ in range(40)]
    assert max(pauses) <= 1.25 * RETRY_PAUSE_MS  # discovery keeps a watch for 200 ms without a poll
    assert max(pauses) - min(pauses) > 0.5 * RETRY_PAUSE_MS  # jitter against simultaneous polls
    for _ in range(4):
        schedule.on_poll_failed(1.0, PollFailure.OVERLOADED)
    backoffs = [schedule.on_poll_failed(1.0, PollFailure.OVERLOADED) for _ in range(40)]
    assert max(backoffs) > AGENT_FIRST_MAX_BACKOFF_MS
    schedule.on_poll_answered()
    for _ in range(40):
        schedule.on_poll_started(0.0, 1.0)
        assert schedule.on_poll_failed(1.0, PollFailure.OVERLOADED) <= AGENT_FIRST_MAX_BACKOFF_MS
        schedule.on_poll_answered()
