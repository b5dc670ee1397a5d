"""Reconnects to a peer whenever the connection ends or fails: exponential backoff with jitter."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from onyxpost.cluster.errors import ClusterError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

INITIAL_DELAY_SECONDS = 0.2  # a process that restarts is back in about that time
MAX_DELAY_SECONDS = 2.0  # with 256 members one node has at most 170 failing dials a second
MIN_JITTER_FACTOR = 0.75


class ReconnectBackoff:
    """Delays that double up to a limit, each shortened by up to a quarter.

    The jitter is drawn from `seed`, so that nodes that lost the same peer do not reconnect at the same moment
    and a simulation can be repeated.
    """

    def __init__(self, seed: str) -> None:
        self._rng = Random(seed)
        self._next_seconds = INITIAL_DELAY_SECONDS

    def reset(self) -> None:
        """Starts again from the initial delay, after a connection that lasted."""
        self._next_seconds = INITIAL_DELAY_SECONDS

    def next_delay_seconds(self) -> float:
        """Returns the time to wait before the next attempt."""
        delay_seconds = self._next_seconds
        self._next_seconds = min(MAX_DELAY_SECONDS, 2.0 * self._next_seconds)
        return delay_seconds * self._rng.uniform(MIN_JITTER_FACTOR, 1.0)


async def keep_connected(
    connect: Callable[[], Awaitable[None]], on_ended: Callable[[Exception | None], float]
) -> None:
    """Runs one connection after the other until it is cancelled.

    Args:
        connect: runs one connection from its dial to its end.
        on_ended: is given the error that ended it, or None, and returns the seconds to wait.
    """
    while True:
        cause: Exception | None = None
        try:
            await connect()
        except (OSError, EOFError, ClusterError) as err:
            cause = err
        await asyncio.sleep(on_ended(cause))
