"""Open-loop load: requests start when they are due, whether or not earlier ones were answered."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine
    from random import Random


class Arrival(NamedTuple):
    """A request is due; `number` counts from 1."""

    number: int
    due_seconds: float


async def poisson_arrivals(
    rng: Random, rate_per_second: float, duration_seconds: float, now_seconds: Callable[[], float]
) -> AsyncIterator[int]:
    """Yields 1, 2, ... at the arrivals of a Poisson process; the arguments are those of `timed_arrivals`."""
    async for arrival in timed_arrivals(rng, rate_per_second, duration_seconds, now_seconds):
        yield arrival.number


async def timed_arrivals(
    rng: Random, rate_per_second: float, duration_seconds: float, now_seconds: Callable[[], float]
) -> AsyncIterator[Arrival]:
    """Yields the arrivals of a Poisson process, each when it is due, until the duration is over.

    Args:
        rng: gives the interval before each arrival; the caller may draw from it between two of them.
        rate_per_second: mean number of arrivals in a second.
        duration_seconds: no arrival is due at or after this time.
        now_seconds: the clock, 0 at the start.
    """
    count = 0
    due_seconds = rng.expovariate(rate_per_second)
    while due_seconds < duration_seconds:
        await asyncio.sleep(max(0.0, due_seconds - now_seconds()))
        count += 1
        yield Arrival(count, due_seconds)
        due_seconds += rng.expovariate(rate_per_second)


class BackgroundTasks:
    """Tasks that run beside their caller until it waits for them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Starts a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait(self, timeout_seconds: float | None = None) -> None:
        """Waits until all tasks have finished, or the timeout is over; None: as long as it takes."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_seconds)
