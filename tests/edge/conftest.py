"""Fixtures of the tests of an edge node."""

from __future__ import annotations

import pytest

from onyxpost.edge import client_connection
from onyxpost.node import edge_node
from tests.edge.shutdown_steps import ACCEPT_SECONDS


@pytest.fixture
def short_accept(monkeypatch: pytest.MonkeyPatch) -> None:
    """A node goes on accepting for `ACCEPT_SECONDS` after SIGTERM."""
    monkeypatch.setattr(edge_node, "ACCEPT_AFTER_STOP_SECONDS", ACCEPT_SECONDS)


@pytest.fixture
def no_request_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that are slow to send a request are not disconnected for that."""
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_MS", 60_000.0)
