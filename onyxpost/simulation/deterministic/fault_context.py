"""The interface between fault handlers and the run that faults are injected into."""

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
        """Runs a coroutine concurrently; the run ends only after the coroutine has ended."""

    def start_client(
        self, rng: Random, node: SimulatedNode, disconnect_after_ms: float | None = None
    ) -> None:
        """Starts a client that sends a request.

        Args:
            rng: The source of the random parts of the request.
            node: The node that the client connects to.
            disconnect_after_ms: How long the client waits before it disconnects; None to draw it from `rng`.
        """


class FaultGroup:
    """Base class of the handlers of related faults."""

    def __init__(self, context: FaultContext) -> None:
        self.context = context
        self.cluster = context.cluster

    def server_of(self, fault: Fault) -> AppServer:
        """Returns the app server that currently has the index of the fault's target."""
        return self.cluster.servers[fault.target]

    def node_of(self, fault: Fault) -> SimulatedNode:
        """Returns the node that is the fault's target."""
        return self.cluster.nodes[fault.target]

    def rng_of(self, purpose: str, fault: Fault) -> Random:
        """Returns a random source for this fault alone, so that no other fault changes its draws."""
        return Random(f"{self.context.seed}/{purpose}/{fault.at_seconds}")


def run_at_end(fault: Fault, call: Callable[[], object]) -> None:
    """Calls `call` when the duration of a fault that begins now has passed."""
    asyncio.get_running_loop().call_later(fault.duration_seconds, call)
