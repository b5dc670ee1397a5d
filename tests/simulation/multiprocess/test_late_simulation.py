"""A late simulation accuses no node, and hides none that sends after its answer."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from onyxpost.simulation.invariants import Invariant
from onyxpost.simulation.multiprocess.checker import check_history
from onyxpost.simulation.multiprocess.history import AttemptForwarded, RequestAnswered
from tests.simulation.multiprocess.late_simulation import REJECTION, SEED, record_history, send_attempt

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable
    from pathlib import Path

    from onyxpost.config.address import Address

pytestmark = pytest.mark.xdist_group("quiet")  # measures time

ATTEMPT_TIMEOUT_SECONDS = 0.02
LATE_SECONDS = 0.15  # more than the order of two sockets may be unknown for
MIN_REQUESTS = 5


def reject_after_attempt(client: socket.socket, trace: bytes, proxy: Address) -> None:
    """Sends an attempt, gives it up, and rejects the request."""
    with send_attempt(trace, proxy):
        time.sleep(ATTEMPT_TIMEOUT_SECONDS)
        client.sendall(REJECTION)
        client.recv(1)  # until the client closes


def send_after_rejection(client: socket.socket, trace: bytes, proxy: Address) -> None:
    """Rejects the request, and sends an attempt all the same."""
    client.sendall(REJECTION)
    time.sleep(LATE_SECONDS)
    with send_attempt(trace, proxy):
        time.sleep(LATE_SECONDS)


def find_violations(
    handle: Callable[[socket.socket, bytes, Address], None], folder: Path
) -> tuple[int, list[str]]:
    """Returns the number of rejected requests that were sent to the server, and what violated `answers`."""
    events, invariant = asyncio.run(record_history(handle, folder))
    answered = {event.trace for event in events if isinstance(event, RequestAnswered)}
    forwarded = {event.trace for event in events if isinstance(event, AttemptForwarded)}
    violations = check_history(events, [invariant], SEED)
    assert {violation.invariant for violation in violations} <= {Invariant.ANSWERS}
    return len(answered & forwarded), [violation.description for violation in violations]


def test_attempt_that_waits_in_the_proxy_while_it_is_rejected_is_no_violation(tmp_path: Path) -> None:
    requests, violations = find_violations(reject_after_attempt, tmp_path)
    assert requests >= MIN_REQUESTS
    assert violations == []


def test_attempt_that_leaves_the_node_after_the_rejection_is_a_violation(tmp_path: Path) -> None:
    requests, violations = find_violations(send_after_rejection, tmp_path)
    assert requests >= MIN_REQUESTS
    assert len(violations) == requests
    assert all("sent after its final answer (denied)" in description for description in violations)
