"""What faults act on, and how they end after their time."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from onyxpost.simulation.deterministic.cluster import Cluster
    from onyxpost.simulation.deterministic.fault_script import Fault
    from onyxpost.simulation.deterministic.node import SimulatedNode
    from onyxpost.simulation.stubs import AppServer


class FaultContext(Protocol):
    """The run that faults are injected into."""

    seed: int
    cluster: Cluster

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine beside; the run ends after it."""

    def start_client(self, rng: Random, node: SimulatedNode, patience_ms: float | None = None) -> None:
        """Has a client send a request; it disconnects after its patience, which is drawn if not given."""


class FaultGroup:
    """Faults of one concern."""

    def __init__(self, context: FaultContext) -> None:
        self.context = context
        self.cluster = context.cluster

    def server_of(self, fault: Fault) -> AppServer:
        """Returns the app server that is the fault's target now."""
        return self.cluster.servers[fault.target]

    def node_of(self, fault: Fault) -> SimulatedNode:
        """Returns the node that is the fault's target."""
        return self.cluster.nodes[fault.target]

    def rng_of(self, purpose: str, fault: Fault) -> Random:
        """Returns a random source that only this fault uses."""
        return Random(f"{self.context.seed}/{purpose}/{fault.at_seconds}")


def run_at_end(fault: Fault, call: Callable[[], object]) -> None:
    """Calls something when a fault that begins now has lasted for its time."""
    asyncio.get_running_loop().call_later(fault.duration_seconds, call)
