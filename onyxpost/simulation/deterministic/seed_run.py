"""Runs one fault script on the virtual clock and returns the violations and a digest of all events."""

from __future__ import annotations

import asyncio
import gc
import hashlib
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from onyxpost.simulation import virtual_time
from onyxpost.simulation.deterministic.client import ClientOutcome, ClientRequest
from onyxpost.simulation.deterministic.cluster import Cluster
from onyxpost.simulation.deterministic.deployment import MAX_REQUEST_UNITS, NODE_COUNT, SERVER_COUNT
from onyxpost.simulation.deterministic.fault_injector import FaultInjector
from onyxpost.simulation.deterministic.fault_script import Fault, FaultKind, draw_script, script_seconds
from onyxpost.simulation.mutations import find_mutation
from onyxpost.simulation.settings import DEPLOYMENT_SETTINGS, SLOW_CONNECT_SETTINGS

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from onyxpost.node.edge_node import EdgeNode
    from onyxpost.simulation.deterministic.node import SimulatedNode
    from onyxpost.simulation.invariants import Violation

WARM_UP_SECONDS = 0.05  # from the start of the cluster to the first request
SETTLE_SECONDS = 1.5  # from the end of the last client to the end of the run; no answer is outstanding then
REQUESTS_PER_SECOND = 12.0
FRONTENDS = ("look", "post", "pay")
PLANS_AND_CUSTOMERS = (("open", 1), ("open", 2), ("tight", 3))
EARLY_DISCONNECT_FRACTION = 0.15  # fraction of the clients that disconnect before the client timeout
DISCONNECT_PAST_TIMEOUT_MS = 300.0  # how long the other clients wait past the client timeout
DIGEST_LENGTH = 16  # hexadecimal digits


class Outcome(NamedTuple):
    """The result of one run."""

    seed: int
    violations: list[Violation]
    faults: list[Fault]
    requests: int
    succeeded: int
    steps: int
    """Number of events after which the invariants were checked."""
    digest: str
    """Digest of all events of the run in order; equal for equal runs."""

    @property
    def failed(self) -> bool:
        """Whether an invariant was violated."""
        return bool(self.violations)

    def to_record(self) -> dict[str, Any]:
        """Returns the outcome with the keys that result files have."""
        return {
            "kind": "seed",
            "seed": self.seed,
            "asked": self.requests,
            "passed": self.succeeded,
            "steps": self.steps,
            "digest": self.digest,
            "breaches": [violation.to_record() for violation in self.violations],
            "faults": [fault.to_record() for fault in self.faults] if self.failed else [],
        }


class ScriptRun:
    """Runs one script on a cluster; implements the `FaultContext` of its faults."""

    def __init__(self, seed: int, faults: list[Fault], cluster: Cluster) -> None:
        self.seed = seed
        self.cluster = cluster
        self._faults = faults
        self._tasks: set[asyncio.Task[None]] = set()
        self._history: list[str] = []
        self._request_count = 0

    async def run(self) -> Outcome:
        """Runs the script and waits until all clients and fault handlers have ended."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        await self.cluster.open()
        await asyncio.sleep(WARM_UP_SECONDS)
        injector = FaultInjector(self)
        for fault in self._faults:
            loop.call_at(fault.at_seconds, self._begin, injector, fault)
        await self._send_requests(script_seconds(self._faults))
        while any(not task.done() for task in self._tasks):  # noqa: ASYNC110 - tasks may start further tasks
            await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_SECONDS)
        return self._finish()

    async def _send_requests(self, until_seconds: float) -> None:
        rng = Random(f"{self.seed}/clients")
        loop = asyncio.get_running_loop()
        while loop.time() < until_seconds:
            self.start_client(rng, self.cluster.nodes[rng.randrange(NODE_COUNT)])
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_SECOND))

    def _finish(self) -> Outcome:
        cluster = self.cluster
        cluster.checker.finish(cluster.now_ms())
        for node in cluster.nodes:
            node.kill()
        return Outcome(
            self.seed,
            list(cluster.checker.violations),
            self._faults,
            cluster.clients.connected,
            cluster.clients.outcomes[ClientOutcome.SUCCEEDED],
            cluster.checker.steps,
            _digest(self._history, cluster),
        )

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine concurrently; the run ends only after the coroutine has ended."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start_client(
        self, rng: Random, node: SimulatedNode, disconnect_after_ms: float | None = None
    ) -> None:
        """Starts a client that sends a request; see `FaultContext.start_client`."""
        self._request_count += 1
        frontend = self.cluster.frontends[rng.choice(FRONTENDS)]
        plan, customer = rng.choice(PLANS_AND_CUSTOMERS)
        drawn_disconnect_after_ms = frontend.client_timeout_ms + DISCONNECT_PAST_TIMEOUT_MS
        if rng.random() < EARLY_DISCONNECT_FRACTION:
            drawn_disconnect_after_ms = frontend.client_timeout_ms * rng.uniform(0.4, 1.0)
        request = ClientRequest(
            f"t{self._request_count}",
            node,
            frontend,
            plan,
            customer,
            rng.randint(1, MAX_REQUEST_UNITS),
            disconnect_after_ms or drawn_disconnect_after_ms,
        )
        self.spawn(self._send(request))

    async def _send(self, request: ClientRequest) -> None:
        outcome = await self.cluster.clients.send(request)
        self.cluster.checker.check_deadlines(self.cluster.now_ms())
        self._history.append(f"{self.cluster.now_ms():.3f} {request.trace_id} {outcome}")

    def _begin(self, injector: FaultInjector, fault: Fault) -> None:
        self._history.append(f"{self.cluster.now_ms():.3f} {fault.kind} {fault.target}")
        injector.begin(fault)


async def run_script(
    seed: int, faults: list[Fault], mutation: Callable[[EdgeNode], None] | None = None
) -> Outcome:
    """Runs a script on a new cluster; must be called while a `VirtualTimeLoop` is running."""
    has_early_disconnects = any(fault.kind is FaultKind.EARLY_DISCONNECTS for fault in faults)
    settings = SLOW_CONNECT_SETTINGS if has_early_disconnects else DEPLOYMENT_SETTINGS
    cluster = Cluster(seed, NODE_COUNT, SERVER_COUNT, mutation, settings)
    return await ScriptRun(seed, faults, cluster).run()


def _digest(history: list[str], cluster: Cluster) -> str:
    log_lines = [str(tuple(line)) for line in cluster.log_lines]
    violations = [str(violation.to_record()) for violation in cluster.checker.violations]
    events = [*history, *log_lines, *violations]
    return hashlib.sha256("\n".join(events).encode()).hexdigest()[:DIGEST_LENGTH]


def run_seed(seed: int, faults: list[Fault] | None = None, mutation: str = "") -> Outcome:
    """Runs one seed on a new event loop with a virtual clock.

    Args:
        seed: The seed of all random sources of the run.
        faults: The fault script; None for the script that the seed draws.
        mutation: The name of the mutation to inject; "" for none.
    """
    script = draw_script(seed) if faults is None else faults
    found_mutation = find_mutation(mutation)
    inject = found_mutation.inject if found_mutation is not None else None
    # A pending task of a killed node that the garbage collector destroys would be logged as a fault.
    was_collecting = gc.isenabled()
    gc.disable()
    try:
        return virtual_time.run(run_script(seed, script, inject))
    finally:
        if was_collecting:
            gc.enable()
