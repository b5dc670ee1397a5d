"""Reconnects to a peer after its connection ended or failed, with exponential backoff and jitter."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from onyxpost.cluster.errors import ClusterError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

INITIAL_DELAY_SECONDS = 0.2  # about the time that a process takes to restart
MAX_DELAY_SECONDS = 2.0  # limits a node of 256 members to 170 failing dials per second
MIN_JITTER_FACTOR = 0.75


class ReconnectBackoff:
    """Delays that double up to a limit, each shortened by a random part of up to one quarter.

    `seed` determines the random numbers. It differs between nodes, so that nodes that lost the same peer do
    not reconnect at the same time, and it makes simulations reproducible.
    """

    def __init__(self, seed: str) -> None:
        self._rng = Random(seed)
        self._next_seconds = INITIAL_DELAY_SECONDS

    def reset(self) -> None:
        """Sets the next delay to the initial one, after a connection of at least `GONE_TIMEOUT_MS`."""
        self._next_seconds = INITIAL_DELAY_SECONDS

    def next_delay_seconds(self) -> float:
        """Returns the time to wait before the next attempt, and doubles the following delay."""
        delay_seconds = self._next_seconds
        self._next_seconds = min(MAX_DELAY_SECONDS, 2.0 * self._next_seconds)
        return delay_seconds * self._rng.uniform(MIN_JITTER_FACTOR, 1.0)


async def reconnect_forever(
    connect: Callable[[], Awaitable[None]], on_ended: Callable[[Exception | None], float]
) -> None:
    """Runs one connection after another until the task is cancelled.

    Args:
        connect: dials and runs a connection until it ends.
        on_ended: receives the error that ended the connection, or None, and returns the seconds to wait.
    """
    while True:
        cause: Exception | None = None
        try:
            await connect()
        except (OSError, EOFError, ClusterError) as err:
            cause = err
        await asyncio.sleep(on_ended(cause))
