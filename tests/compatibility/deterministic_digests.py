"""Digests of the deterministic simulation, which runs complete edge nodes on a virtual clock."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from onyxpost.node.edge_node import EdgeNode
from onyxpost.simulation import virtual_time
from onyxpost.simulation.deterministic.fault_script import draw_script
from onyxpost.simulation.deterministic.seed_run import run_script
from tests.compatibility.event_digest import EventDigest, Record, final_digest, without_collector, wrapped
from tests.compatibility.network_observer import observe_network

if TYPE_CHECKING:
    from collections.abc import Iterator

CLUSTER_SEEDS = range(100)


@contextlib.contextmanager
def observe_exits(digest: EventDigest) -> Iterator[None]:
    """Adds the exit code of each edge node that exits to the digest, with the virtual time in us."""

    async def run(original: Any, program: EdgeNode) -> int:
        code: int = await original(program)
        digest.add(round(asyncio.get_running_loop().time() * 1e6), "exit", program.config.name, code)
        return code

    with wrapped(EdgeNode, "run", run):
        yield


def cluster_record(seed: int) -> Record:
    """Returns digest and counts of one seed of `onyxpost lab seeds`."""
    digest = EventDigest()
    with without_collector(), observe_network(digest), observe_exits(digest):
        simulation = run_script(seed, draw_script(seed))
        outcome, sha256, events = virtual_time.run(final_digest(digest, simulation))
    return {
        "sha256": sha256,
        "events": events,
        "requests": outcome.requests,
        "passed": outcome.succeeded,
        "violations": len(outcome.violations),
    }
