"""Open-loop load: requests start at their due times, whether or not earlier requests have been answered."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine
    from random import Random


class Arrival(NamedTuple):
    """An arrival of a request; `number` counts from 1, `due_seconds` is relative to the start."""

    number: int
    due_seconds: float


async def poisson_arrivals(
    rng: Random, rate_per_second: float, duration_seconds: float, now_seconds: Callable[[], float]
) -> AsyncIterator[int]:
    """Yields only the numbers of the arrivals of `timed_arrivals`, with the same arguments."""
    async for arrival in timed_arrivals(rng, rate_per_second, duration_seconds, now_seconds):
        yield arrival.number


async def timed_arrivals(
    rng: Random, rate_per_second: float, duration_seconds: float, now_seconds: Callable[[], float]
) -> AsyncIterator[Arrival]:
    """Yields the arrivals of a Poisson process, each when it is due, until the duration is over.

    Args:
        rng: source of the intervals between arrivals; the caller may draw from it between two arrivals.
        rate_per_second: mean number of arrivals in a second.
        duration_seconds: no arrival is due at or after this time.
        now_seconds: returns the time since the start.
    """
    count = 0
    due_seconds = rng.expovariate(rate_per_second)
    while due_seconds < duration_seconds:
        await asyncio.sleep(max(0.0, due_seconds - now_seconds()))
        count += 1
        yield Arrival(count, due_seconds)
        due_seconds += rng.expovariate(rate_per_second)


class BackgroundTasks:
    """Tasks that run concurrently with their caller, which can wait for all of them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Starts a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait(self, timeout_seconds: float | None = None) -> None:
        """Waits until all tasks have finished or the timeout has passed; None means no timeout."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_seconds)
