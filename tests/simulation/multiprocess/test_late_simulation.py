"""Invariants must hold no node responsible for lag of the simulation, and still find real violations.

A late event loop reads an answer and an attempt long after both arrived, in any order. An attempt from before
the answer must then be no violation, and an attempt from after the answer must be one.
"""

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
LATE_SECONDS = 0.15  # longer than the error in the order of events of two sockets
MIN_REQUESTS = 5


def reject_after_attempt(client: socket.socket, trace: bytes, proxy: Address) -> None:
    """Sends an attempt, rejects the request after a timeout, and closes the attempt last."""
    with send_attempt(trace, proxy):
        time.sleep(ATTEMPT_TIMEOUT_SECONDS)
        client.sendall(REJECTION)
        client.recv(1)  # returns when the client closes the connection


def send_after_rejection(client: socket.socket, trace: bytes, proxy: Address) -> None:
    """Rejects the request, and then sends an attempt, which is a violation."""
    client.sendall(REJECTION)
    time.sleep(LATE_SECONDS)
    with send_attempt(trace, proxy):
        time.sleep(LATE_SECONDS)


def find_violations(
    handle: Callable[[socket.socket, bytes, Address], None], folder: Path
) -> tuple[int, list[str]]:
    """Returns the number of answered requests with an attempt, and descriptions of `answers` violations."""
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
