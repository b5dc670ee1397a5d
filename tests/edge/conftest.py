"""Fixtures for the tests of an edge node."""

from __future__ import annotations

import pytest

from onyxpost.edge import client_connection
from onyxpost.node import edge_node
from tests.edge.shutdown_steps import ACCEPT_SECONDS


@pytest.fixture
def short_accept_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shortens the time for which a node accepts connections after SIGTERM to `ACCEPT_SECONDS`."""
    monkeypatch.setattr(edge_node, "ACCEPT_AFTER_STOP_SECONDS", ACCEPT_SECONDS)


@pytest.fixture
def long_request_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Raises the request timeout to 60 s, so that clients without a complete request stay connected."""
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_MS", 60_000.0)
