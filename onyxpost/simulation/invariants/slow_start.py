"""Checks the load that all nodes together send to a server in slow start. Times and work are in ms."""

from __future__ import annotations

from collections import deque
from math import sqrt
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from onyxpost.core.types import SlowStartPolicy

# Too many calls violate the invariant only if a larger fraction of them comes from nodes that know the start:
# other nodes cannot limit their calls.
INFORMED_CALLS_FRACTION = 2.0 / 3.0


class Work(NamedTuple):
    """An amount of work that reached a server."""

    at_ms: float
    work_ms: float


class Call(NamedTuple):
    """A call that reached a server."""

    at_ms: float
    is_informed: bool
    """Whether the call is from a node that knows that the server has started."""


class WorkResult(NamedTuple):
    """Whether work that reached a server overloads it."""

    is_overloaded: bool
    violation: str | None = None
    """A description of the violation, at the first overload of this incarnation only."""


def max_calls(allowed: float) -> float:
    """Returns the number of calls tolerated in a window whose expected number is `allowed`.

    With independent nodes the number is nearly Poisson distributed. The limit is the mean plus two standard
    deviations, plus two calls for rounding.
    """
    return allowed + 2.0 * sqrt(allowed) + 2.0


class WarmingServer:
    """One incarnation of a server during its slow start.

    Args:
        started_at_ms: When it started.
        capacity: The ms of work that it completes per ms when it is warm.
        call_work_ms: The work of a typical call.
    """

    def __init__(self, started_at_ms: float, capacity: float, call_work_ms: float) -> None:
        self.started_at_ms = started_at_ms
        self.capacity = capacity
        self.call_work_ms = call_work_ms
        self.recent_work_ms = 0.0
        self.was_overload_reported = False
        self._work: deque[Work] = deque()
        self._calls: deque[Call] = deque()
        self._was_call_violation_reported = False

    def max_work_ms(self, policy: SlowStartPolicy, at_ms: float) -> float:
        """Returns the work that the policy permits in the window that ends at `at_ms`."""
        warmup_fraction = max(policy.initial_fraction, (at_ms - self.started_at_ms) / policy.warmup_ms)
        return self.capacity * warmup_fraction * policy.overload_window_ms * policy.overload_multiple

    def add_work(self, policy: SlowStartPolicy, at_ms: float, work_ms: float) -> None:
        """Adds work to the window that ends at `at_ms`."""
        self._work.append(Work(at_ms, work_ms))
        self.recent_work_ms += work_ms
        while self._work and self._work[0].at_ms <= at_ms - policy.overload_window_ms:
            self.recent_work_ms -= self._work.popleft().work_ms

    def load(self, policy: SlowStartPolicy) -> float:
        """Returns the work of the last window as a fraction of the work that the policy permits."""
        if not self._work:
            return 0.0
        return self.recent_work_ms / self.max_work_ms(policy, self._work[-1].at_ms)

    def violation_of_call(self, policy: SlowStartPolicy, call: Call) -> str | None:
        """Counts a call. Returns a description of the violation if it is the first call past the limit."""
        calls = self._calls
        calls.append(call)
        while calls[0].at_ms <= call.at_ms - policy.overload_window_ms:
            calls.popleft()
        allowed = self.max_work_ms(policy, call.at_ms) / self.call_work_ms
        informed = sum(one.is_informed for one in calls)
        if self._was_call_violation_reported or len(calls) <= max_calls(allowed):
            return None
        if informed <= INFORMED_CALLS_FRACTION * len(calls):
            return None
        self._was_call_violation_reported = True
        return (
            f"{len(calls)} calls where {allowed:.1f} are allowed; {informed} from nodes that know its start"
        )


class SlowStartChecker:
    """Checks all servers that are in slow start."""

    def __init__(self, policy: SlowStartPolicy) -> None:
        self.policy = policy
        self.servers: dict[str, WarmingServer] = {}

    def start(self, at_ms: float, server: str, capacity: float, call_work_ms: float) -> None:
        """Records that a server has started; see `WarmingServer` for the units."""
        self.servers[server] = WarmingServer(at_ms, capacity, call_work_ms)

    def remove(self, server: str) -> None:
        """Stops checking a server."""
        self.servers.pop(server, None)

    def load(self, server: str) -> float:
        """Returns the recent work of a server as a fraction of its limit; 0 if it is warm."""
        warming_server = self.servers.get(server)
        return 0.0 if warming_server is None else warming_server.load(self.policy)

    def add_work(self, at_ms: float, server: str, work_ms: float) -> WorkResult:
        """Counts work that has reached a server, and returns whether it is overloaded."""
        warming_server = self._get(at_ms, server)
        if warming_server is None:
            return WorkResult(is_overloaded=False)
        warming_server.add_work(self.policy, at_ms, work_ms)
        max_work_ms = warming_server.max_work_ms(self.policy, at_ms)
        if warming_server.recent_work_ms <= max_work_ms:
            return WorkResult(is_overloaded=False)
        if warming_server.was_overload_reported:
            return WorkResult(is_overloaded=True)
        warming_server.was_overload_reported = True
        description = f"{warming_server.recent_work_ms:.0f} ms of work where {max_work_ms:.0f} are allowed"
        return WorkResult(is_overloaded=True, violation=description)

    def violation_of_call(self, server: str, call: Call) -> str | None:
        """Counts a call. Returns a description of the violation if it is the first call past the limit."""
        warming_server = self._get(call.at_ms, server)
        return None if warming_server is None else warming_server.violation_of_call(self.policy, call)

    def _get(self, at_ms: float, server: str) -> WarmingServer | None:
        """Returns the server if it is in slow start, else None; removes a server that has become warm."""
        warming_server = self.servers.get(server)
        if warming_server is not None and at_ms - warming_server.started_at_ms >= self.policy.warmup_ms:
            del self.servers[server]
            return None
        return warming_server
