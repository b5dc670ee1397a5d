"""Arrivals of open-loop load depend only on the seed, rate and duration, not on earlier requests."""

from __future__ import annotations

import asyncio
from random import Random

from onyxpost.simulation.open_loop import BackgroundTasks, poisson_arrivals
from tests.edge.event_loop import in_event_loop


@in_event_loop
async def test_arrivals_are_those_of_the_seed_and_end_with_the_duration() -> None:
    rng = Random(7)
    expected = 0
    due_seconds = rng.expovariate(100.0)
    while due_seconds < 0.5:
        expected += 1
        due_seconds += rng.expovariate(100.0)
    now_seconds = 1.0  # after the end of the run, so that no arrival has to be waited for
    arrivals = [number async for number in poisson_arrivals(Random(7), 100.0, 0.5, lambda: now_seconds)]
    assert arrivals == list(range(1, expected + 1))


@in_event_loop
async def test_background_tasks_are_awaited_until_the_last_has_finished() -> None:
    finished: list[int] = []

    async def work(number: int) -> None:
        await asyncio.sleep(0.001 * number)
        finished.append(number)

    tasks = BackgroundTasks()
    await tasks.wait()
    for number in (2, 1):
        tasks.start(work(number))
    await tasks.wait()
    assert sorted(finished) == [1, 2]
