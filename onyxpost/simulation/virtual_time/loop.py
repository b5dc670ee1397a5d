"""An asyncio event loop whose virtual clock advances to the next timer at once. Times are in seconds."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, TypeVar

from onyxpost.simulation.errors import SimulationStalledError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from _typeshed import FileDescriptorLike

Result = TypeVar("Result")

MAX_TURNS_AT_ONE_TIME = 200_000  # more iterations of the loop at the same virtual time are a livelock
CLOCK_RESOLUTION_SECONDS = 1e-9  # the loop runs timers that are due within this time
CANCEL_TIMEOUT_SECONDS = 10.0  # virtual time for the remaining tasks to end once they are cancelled


class VirtualClockSelector(selectors.BaseSelector):
    """A selector that advances the virtual clock by the time for which the loop would have waited.

    Raises:
        SimulationStalledError: No event is due any more, or the virtual time does not advance.
    """

    def __init__(self) -> None:
        self.now_seconds = 0.0
        self._turns_at_this_time = 0
        self._keys: dict[FileDescriptorLike, selectors.SelectorKey] = {}

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances the virtual clock by `timeout`; no file is ever ready."""
        if timeout is None:
            raise SimulationStalledError("no event is due any more, but the program has not ended")
        self._turns_at_this_time = 0 if timeout > 0.0 else self._turns_at_this_time + 1
        if self._turns_at_this_time > MAX_TURNS_AT_ONE_TIME:
            raise SimulationStalledError(f"the virtual time does not advance past {self.now_seconds:.6f} s")
        self.now_seconds += max(0.0, timeout)
        return []

    def register(
        self, fileobj: FileDescriptorLike, events: int, data: object = None
    ) -> selectors.SelectorKey:
        """Registers a file, which is never ready. The loop registers only the socket that wakes it up."""
        key = selectors.SelectorKey(fileobj, _file_descriptor(fileobj), events, data)
        self._keys[fileobj] = key
        return key

    def unregister(self, fileobj: FileDescriptorLike) -> selectors.SelectorKey:
        """Removes a file and returns its key."""
        return self._keys.pop(fileobj)

    def get_map(self) -> dict[FileDescriptorLike, selectors.SelectorKey]:
        """Returns the registered files."""
        return self._keys

    def close(self) -> None:
        """Removes all files."""
        self._keys.clear()


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock, which starts at 0."""

    def __init__(self) -> None:
        self._clock_selector = VirtualClockSelector()
        super().__init__(self._clock_selector)
        self._clock_resolution = CLOCK_RESOLUTION_SECONDS
        self._end_callbacks: list[Callable[[], None]] = []

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._clock_selector.now_seconds

    def call_at_end(self, callback: Callable[[], None]) -> None:
        """Calls `callback` when the loop is closed, before it stops accepting calls."""
        self._end_callbacks.append(callback)

    def close(self) -> None:
        """Calls the callbacks of `call_at_end`, then closes the loop."""
        end_callbacks = self._end_callbacks
        self._end_callbacks = []
        for callback in end_callbacks:
            callback()
        super().close()


def run(main: Awaitable[Result]) -> Result:
    """Runs a coroutine on a new `VirtualTimeLoop`, as `asyncio.run` does, and returns its result.

    Raises:
        SimulationStalledError: No event is due any more, or the virtual time does not advance.
    """
    loop = VirtualTimeLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main)
    finally:
        _cancel_tasks(loop)
        asyncio.set_event_loop(None)
        loop.close()


def _file_descriptor(fileobj: FileDescriptorLike) -> int:
    return fileobj if isinstance(fileobj, int) else fileobj.fileno()


def _cancel_tasks(loop: VirtualTimeLoop) -> None:
    # Tasks that are cancelled here were not expected to end, so that their errors are not reported.
    loop.set_exception_handler(lambda _loop, _context: None)
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks, timeout=CANCEL_TIMEOUT_SECONDS))
