"""An asyncio event loop whose time jumps to what is due next."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable
from typing import Any

from onyxpost.simulation.errors import SimulationStalledError

STUCK = 200_000  # turns of the loop at one time: something goes round in circles


class _Jump(selectors.BaseSelector):
    """Waits for nothing: it moves the time on by as long as the loop would have waited."""

    def __init__(self) -> None:
        self.now = 0.0
        self.turns = 0
        self.keys: dict[Any, selectors.SelectorKey] = {}

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise SimulationStalledError("nothing is due any more")
        self.turns = 0 if timeout > 0.0 else self.turns + 1
        if self.turns > STUCK:
            raise SimulationStalledError(f"time stands still at {self.now:.6f} s")
        self.now += max(0.0, timeout)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        # Only the loop's own pipe to itself is ever registered, and never speaks.
        key = self.keys[fileobj] = selectors.SelectorKey(fileobj, int(fileobj), events, data)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self.keys.pop(fileobj)

    def get_map(self) -> dict[Any, selectors.SelectorKey]:
        return self.keys

    def close(self) -> None:
        self.keys.clear()


class Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.jump = _Jump()
        super().__init__(self.jump)
        self._clock_resolution = 1e-9  # what is due a little later is not due yet

    def time(self) -> float:
        return self.jump.now


def run(main: Awaitable[Any]) -> Any:
    loop = Loop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main)
    finally:
        loop.set_exception_handler(lambda loop, context: None)  # what is cut short here was not meant to end
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left, timeout=10.0))
        asyncio.set_event_loop(None)
        loop.close()
