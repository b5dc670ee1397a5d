"""A model of a server, which measures its load during warmup.

Unlike a real server it does not fail under overload.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.core.types import EndpointState, EndpointStatus
from onyxpost.core.units import MS_PER_SECOND

if TYPE_CHECKING:
    from onyxpost.simulation.slow_start.case import SlowStartCase

EPOCH_MS = 1_700_000_000_000.0  # Unix time at the start of the emulation
NETWORK_DELAY_MS = 20.0


class WarmupLoad(NamedTuple):
    """Load of a server in its worst window; N is the number of requests that it can serve in the window.

    Attributes:
        ratio: Received requests divided by N + 2 sqrt(N) + 2.
        is_overloaded: Whether more than N + 3 sqrt(N) + 3 requests were received.
    """

    ratio: float
    is_overloaded: bool


class ServerModel:
    """A server that processes one request at a time.

    Attributes:
        id: Instance id of the server.
        started_at_ms: Time of its start; 0 for a server that is warm from the beginning.
        state: State of the endpoint, as discovery reports it.
        arrivals_ms: Arrival times of the requests in the current window, during warmup only.
        warmup_load: Load in the worst window so far.
    """

    def __init__(self, server_id: str, started_at_ms: float, case: SlowStartCase) -> None:
        self.id = server_id
        self.started_at_ms = started_at_ms
        self.state = EndpointState.READY
        self.arrivals_ms: list[float] = []
        self.warmup_load = WarmupLoad(0.0, is_overloaded=False)
        self._case = case
        self._idle_at_ms = 0.0

    def status(self) -> EndpointStatus:
        """Returns the status that discovery reports to the nodes."""
        started_at_ms = EPOCH_MS + self.started_at_ms if self.started_at_ms else 0.0
        return EndpointStatus(self.id, "h0", 0, self.state, 1.0, started_at_ms)

    def receive(self, now_ms: float, work_ms: float) -> float:
        """Receives a request and returns the time of its response.

        Args:
            now_ms: Arrival time of the request.
            work_ms: Time that a warm server needs for it.
        """
        policy = self._case.policy
        age_ms = now_ms - self.started_at_ms
        warmup_fraction = 1.0
        if self.started_at_ms:
            warmup_fraction = min(1.0, max(policy.initial_fraction, age_ms / policy.warmup_ms))
            if age_ms < policy.warmup_ms:
                self._record_arrival(now_ms, warmup_fraction)
        self._idle_at_ms = max(now_ms, self._idle_at_ms) + work_ms / warmup_fraction
        return self._idle_at_ms + NETWORK_DELAY_MS

    def _record_arrival(self, now_ms: float, warmup_fraction: float) -> None:
        policy = self._case.policy
        window_ms = policy.overload_window_ms
        self.arrivals_ms = [at_ms for at_ms in self.arrivals_ms if at_ms > now_ms - window_ms]
        self.arrivals_ms.append(now_ms)
        received = len(self.arrivals_ms)
        rate = self._case.requests_per_second * warmup_fraction * policy.overload_multiple
        capacity = rate * window_ms / MS_PER_SECOND
        ratio = received / (capacity + 2.0 * sqrt(capacity) + 2.0)
        is_overloaded = received > capacity + 3.0 * sqrt(capacity) + 3.0
        worst = self.warmup_load
        self.warmup_load = WarmupLoad(max(worst.ratio, ratio), worst.is_overloaded or is_overloaded)
