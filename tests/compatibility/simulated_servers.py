"""Simulated app servers: their condition, their load, and the results of attempts at them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from tests.compatibility.simulator_scenarios import READY

if TYPE_CHECKING:
    from random import Random

    from tests.compatibility.http_requests import Fields

# Share of the attempts at a server without a fault that are delivered.
DELIVERED_SHARE = 0.965
# Relative increase of an attempt's duration for each attempt in flight at its server.
LOAD_SLOWDOWN = 0.15
FAILURES = ["app_error", "shed", "dropped", "dial_failed", "unused"]


class AttemptEnd(NamedTuple):
    """The result of an attempt, and the time after which it ends."""

    result: str
    duration_us: float


class SimulatedServers:
    """App servers `s0`, `s1` and so on, all of which are ready at first."""

    def __init__(self, count: int) -> None:
        self.up_since = {f"s{number}": 0 for number in range(count)}
        self.condition = dict.fromkeys(self.up_since, READY)
        self.load: Counter[str] = Counter()  # attempts in flight by server
        self.failing: dict[str, str] = {}  # result of all attempts by failing server
        self.slowness = 1.0

    def row(self, server: str) -> Fields:
        """Returns the entry of a server in an endpoint list."""
        number = int(server[1:])
        row: Fields = {"server": server, "zone": f"z{number % 3}", "cohort": number % 2}
        row |= {"condition": self.condition[server], "up_since_us": self.up_since[server]}
        return row | ({"scale": 1.5} if number % 2 else {})

    def fail(self, server: str, result: str) -> None:
        """Sets the result of all attempts at a server; "" ends the fault."""
        self.failing[server] = result

    def slow(self, slowness: float) -> None:
        """Sets the factor by which the duration of all attempts is multiplied."""
        self.slowness = slowness

    def draw_end(self, rng: Random, server: str, timeout_us: int) -> AttemptEnd:
        """Draws the end of an attempt. The recorded transcripts depend on the order of the draws."""
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
