"""What an environment is: the surroundings of the nodes in a scenario, and what is checked there."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from onyxpost.simulation.multiprocess.checker import Invariant
    from onyxpost.simulation.multiprocess.fault_script import Fault
    from onyxpost.simulation.multiprocess.history import HistoryEvent

# Figures of a run by their key in the result file; a list has all durations in ms, in ascending order.
Counts = dict[str, int | list[int]]


class Environment(Protocol):
    """Stubs around the nodes, load, and invariants of one kind of scenario."""

    async def open(self) -> None:
        """Starts the stubs and proxies, and sets each node's file; once, before any node is started."""

    async def run_load(self, seconds: float) -> None:
        """Runs beside the faults, for that time."""

    def resolve_target(self, name: str) -> str:
        """Returns the endpoint that a name such as `h0` (the leader of role 0) stands for now."""

    async def inject_fault(self, fault: Fault) -> None:
        """Carries out a fault of a kind that only this environment knows, to its end."""

    def invariants(self) -> Sequence[Invariant]:
        """Returns what is checked after the run."""

    def count(self, events: Sequence[HistoryEvent]) -> Counts:
        """Returns figures of the history, which is in order of time."""

    async def close(self) -> None:
        """Stops the stubs."""
