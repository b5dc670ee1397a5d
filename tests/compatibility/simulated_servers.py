"""App servers of the simulated world: their condition, their load, and how attempts at them end."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from tests.compatibility.simulator_scenarios import READY

if TYPE_CHECKING:
    from random import Random

    from tests.compatibility.http_requests import Fields

DELIVERED_SHARE = 0.965  # of the attempts at a server without a fault
LOAD_SLOWDOWN = 0.15  # of an attempt, for each attempt in flight at its server
FAILURES = ["app_error", "shed", "dropped", "dial_failed", "unused"]


class AttemptEnd(NamedTuple):
    """How an attempt will end, and after how long."""

    result: str
    duration_us: float


class SimulatedServers:
    """The servers by name; all are ready at first."""

    def __init__(self, count: int) -> None:
        self.up_since = {f"s{number}": 0 for number in range(count)}
        self.condition = dict.fromkeys(self.up_since, READY)
        self.load: Counter[str] = Counter()  # attempts in flight, by server
        self.failing: dict[str, str] = {}  # servers that fail, and how
        self.slowness = 1.0

    def row(self, server: str) -> Fields:
        """Returns the server's row in a list."""
        number = int(server[1:])
        row: Fields = {"server": server, "zone": f"z{number % 3}", "cohort": number % 2}
        row |= {"condition": self.condition[server], "up_since_us": self.up_since[server]}
        return row | ({"scale": 1.5} if number % 2 else {})

    def fail(self, server: str, how: str) -> None:
        """Lets all attempts at the server end in one way; "": no longer."""
        self.failing[server] = how

    def slow(self, slowness: float) -> None:
        """Makes all attempts slower by a factor."""
        self.slowness = slowness

    def draw_end(self, rng: Random, server: str, timeout_us: int) -> AttemptEnd:
        """Returns how an attempt ends. The recorded transcripts depend on the order of the draws."""
        draw = rng.random()
        result = self.failing.get(server) or ("delivered" if draw < DELIVERED_SHARE else "")
        result = result or rng.choice(FAILURES)
        if self.condition[server] != READY:
            result = "shed"
        duration_us = rng.uniform(8_000, 30_000) * self.slowness * (1.0 + LOAD_SLOWDOWN * self.load[server])
        if result not in ("delivered", "app_error", "expired"):
            duration_us = rng.uniform(500, 5_000)
        if duration_us > timeout_us or result == "expired":
            return AttemptEnd("expired", float(timeout_us))
        return AttemptEnd(result, duration_us)
