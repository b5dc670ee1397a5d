"""The backoff between attempts to connect."""

from onyxpost.cluster.reconnect import INITIAL_DELAY_SECONDS, MAX_DELAY_SECONDS, ReconnectBackoff


def test_delays_double_up_to_a_limit_and_can_be_reset() -> None:
    backoff = ReconnectBackoff("a/b")
    delays = [backoff.next_delay_seconds() for _ in range(9)]
    assert 0.15 <= delays[0] <= 0.2
    assert max(delays) <= MAX_DELAY_SECONDS
    assert delays[-1] >= 0.75 * MAX_DELAY_SECONDS
    backoff.reset()
    assert backoff.next_delay_seconds() <= INITIAL_DELAY_SECONDS == 0.2


def test_delays_of_two_pairs_differ() -> None:
    first = ReconnectBackoff("a/b")
    second = ReconnectBackoff("a/c")
    assert [first.next_delay_seconds() for _ in range(9)] != [second.next_delay_seconds() for _ in range(9)]
