"""Runs tests that are coroutine functions, each in its own event loop."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

POLL_SECONDS = 0.001


def in_event_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Makes a coroutine function a test that pytest can call; asyncio's debug checks are on."""

    @functools.wraps(test)
    def run_test(*args: Any, **kwargs: Any) -> None:
        asyncio.run(test(*args, **kwargs), debug=True)

    return run_test


async def wait_until(condition: Callable[[], Any], timeout_seconds: float = 5.0) -> None:
    """Polls until the condition holds.

    Raises:
        TimeoutError: the condition did not hold within `timeout_seconds`.
    """
    async with asyncio.timeout(timeout_seconds):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)
