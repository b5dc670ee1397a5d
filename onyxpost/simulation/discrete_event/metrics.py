"""Metrics of a run for each simulated second. Their names are keys of result files."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from onyxpost.core.units import MS_PER_SECOND

if TYPE_CHECKING:
    from onyxpost.simulation.discrete_event.event_queue import EventQueue


# Clients
OFFERED = "offered"  # requests; the tries of a request are counted once
OFFERED_WITHIN_QUOTA = "offered_inside"
WEIGHT_OFFERED_WITHIN_QUOTA = "value_inside"
TRIES = "tries"
SUCCEEDED_WEIGHT = "value_passed"
ON_TIME = "in_time"
LATE = "late"
LATENCY_MS = "took_ms"
REJECTED_WITHIN_QUOTA = "denied_with_room"

# Nodes and network
ATTEMPTS = "attempts"
UNITS = "units"
UNITS_BEYOND_QUOTA = "units_beyond"
MESSAGES = "messages"
MESSAGE_BYTES = "message_bytes"
MESSAGES_LOST = "messages_lost"

# Servers
SERVERS_DIED = "servers_died"
SERVERS_OVERLOADED = "servers_fell"
MAX_REQUESTS_AT_SERVERS = "held_most"
MAX_CONNECTIONS_AT_SERVER = "connections_most"
MAX_SLOW_START_LOAD_PERMILLE = "cold_permille"


class RunMetrics:
    """Counters and maxima of a run.

    Attributes:
        seconds: metrics of each complete simulated second, and in the last entry those of the rest.
        mode_changes: number of the policy's log lines by kind.
    """

    def __init__(self, clock: EventQueue, seconds: float) -> None:
        self._clock = clock
        self.seconds: list[Counter[str]] = [Counter() for _ in range(int(seconds) + 1)]
        self.mode_changes: Counter[str] = Counter()

    def current_second(self) -> Counter[str]:
        """Returns the metrics of the current second."""
        return self.seconds[min(len(self.seconds) - 1, int(self._clock.now_ms // MS_PER_SECOND))]

    def count(self, name: str, amount: float = 1) -> None:
        """Adds to a counter of the current second."""
        self.current_second()[name] += amount  # type: ignore[assignment]  # weights and times are not integers

    def record_maximum(self, name: str, value: int) -> None:
        """Records a value of which the maximum in each second is kept."""
        second = self.current_second()
        second[name] = max(second[name], value)

    def count_mode_change(self, log_line: str) -> None:
        """Counts a log line of the policy by its first word, and an ejection of a server as `passed over`."""
        kind = "passed over" if " ejected: " in log_line else log_line.split(" ")[0]
        self.mode_changes[kind] += 1

    def totals(self) -> Counter[str]:
        """Returns the sum of each metric over all seconds."""
        totals: Counter[str] = Counter()
        for second in self.seconds:
            totals.update(second)
        return totals
