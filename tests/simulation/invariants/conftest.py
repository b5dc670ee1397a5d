from __future__ import annotations

import pytest

from tests.simulation.invariants.checker_host import CheckerHost


@pytest.fixture
def host() -> CheckerHost:
    return CheckerHost()
