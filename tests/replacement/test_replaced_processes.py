"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import pytest

from tests.replacement.replacement_run import Case, play

pytestmark = pytest.mark.xdist_group("quiet")  # many requests would disturb tests that measure time


def test_no_request_runs_twice_while_servers_are_replaced_at_their_addresses() -> None:
    result = play(Case.SERVERS, 1, 5.0)
    assert result.violations == []
    assert result.replacements >= 10
    assert result.outcomes["passed"] > 100
