"""The simulator host in a process of its own, and the schedule of the events that it receives."""

from __future__ import annotations

import heapq
import json
import subprocess
from typing import TYPE_CHECKING

from tests.compatibility import test_simulator_wire as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.compatibility.http_requests import Fields


class SimulatorProgram:
    """Exchanges batches with the simulator host, and stores each batch and reply in `lines`."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self._process = subprocess.Popen(
            wire.simulator_command(), stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=wire.ROOT
        )

    def exchange(self, now_us: int, events: list[Fields]) -> list[Fields]:
        """Sends all events of one time as a batch; returns the actions of the reply."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        batch = {"at_time_us": now_us, "news": events}
        line = json.dumps(batch, separators=(",", ":")).encode() + b"\n"
        self._process.stdin.write(line)
        self._process.stdin.flush()
        reply = self._process.stdout.readline()
        self.lines += [line, reply]
        actions: list[Fields] = json.loads(reply)["output"]
        return actions

    def close(self) -> None:
        """Closes the program's standard input and checks that the program then exits with 0."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        assert self._process.wait() == 0


class CallSchedule:
    """Scheduled calls, ordered by time; calls of the same time keep the order in which they were added."""

    def __init__(self) -> None:
        self.now_us = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._entry_count = 0

    def call_at(self, at_us: float, call: Callable[[], None]) -> None:
        """Schedules a call, at the earliest for the next microsecond."""
        self._entry_count += 1
        heapq.heappush(self._due, (max(round(at_us), self.now_us + 1), self._entry_count, call))

    def call_after(self, delay_us: float, call: Callable[[], None]) -> None:
        """Schedules a call after a delay."""
        self.call_at(self.now_us + delay_us, call)

    def run_next(self, end_us: float) -> bool:
        """Makes all calls of the next scheduled time; returns False if none is scheduled up to `end_us`."""
        if not self._due or self._due[0][0] > end_us:
            return False
        self.now_us = self._due[0][0]
        while self._due and self._due[0][0] == self.now_us:
            heapq.heappop(self._due)[2]()
        return True
