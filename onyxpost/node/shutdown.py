"""Awaits work that a stop signal interrupts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


async def wait_unless_stopped(stop: asyncio.Event, work: Coroutine[Any, Any, None]) -> None:
    """Awaits `work`, or cancels it as soon as `stop` is set. Exceptions of `work` propagate."""
    tasks = asyncio.ensure_future(work), asyncio.ensure_future(stop.wait())
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if not task.cancel():
            task.result()
