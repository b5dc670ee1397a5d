"""The interface of environments: stubs around the nodes, load, faults, and invariants."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.checker import Invariant
    from onyxpost.simulation.multiprocess.fault_script import Fault
    from onyxpost.simulation.multiprocess.history import HistoryEvent

# Figures of a run by key in the result file; lists are durations in ms, in ascending order.
Counts = dict[str, int | list[int]]


class Environment(Protocol):
    """The stubs, load, faults and invariants of one kind of scenario."""

    async def open(self) -> None:
        """Starts stubs and fault proxies, and sets the nodes' files; called once, before nodes start."""

    async def run_load(self, seconds: float) -> None:
        """Sends load for the given time, while faults are injected; does nothing if there are no clients."""

    def resolve_target(self, name: str) -> str:
        """Returns the endpoint that a name currently refers to, such as `h0` to the leader of role 0."""

    async def inject_fault(self, fault: Fault) -> None:
        """Injects a fault of a kind that is specific to this environment, and returns when it has ended."""

    def invariants(self) -> Sequence[Invariant]:
        """Returns the invariants to check after the run."""

    def count(self, events: Sequence[HistoryEvent]) -> Counts:
        """Returns figures of the history; `events` must be in order of time."""

    async def close(self) -> None:
        """Stops the stubs and closes their connections."""
