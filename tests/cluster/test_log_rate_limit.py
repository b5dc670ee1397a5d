"""The rate limit of log lines that remote hosts can cause."""

from onyxpost.cluster.log_rate_limit import LogRateLimiter


def test_lines_of_one_kind_are_limited_and_count_the_suppressed_ones() -> None:
    limiter = LogRateLimiter(interval_ms=100.0)
    assert [limiter.allow(now_ms, "kind") for now_ms in (0.0, 1.0, 2.0, 150.0, 151.0)] == [1, 0, 0, 3, 0]


def test_kinds_are_limited_independently() -> None:
    limiter = LogRateLimiter(interval_ms=100.0)
    assert limiter.allow(2.0, "kind") == 1
    assert limiter.allow(3.0, "other") == 1
