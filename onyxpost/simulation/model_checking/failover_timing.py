"""Failover times of a lease on the virtual clock.

Usage: `python -m onyxpost.simulation.model_checking.failover_timing NODES SEEDS`.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys

from onyxpost.leadership.service_log import LEASE_ACQUIRED
from onyxpost.simulation import virtual_time
from onyxpost.simulation.model_checking.virtual_nodes import Town

FAULTS = ("sigterm", "kill", "stall", "cut")


async def story(seed: int, size: int, fault: str) -> tuple[float, int, bool]:
    """ms from the fault to the next holder; overlaps; do fences grow, and the confirmed write arrive?"""
    town = Town(seed, size)
    await town.start()
    holder = await town.until_held("d0")
    await asyncio.sleep(3.0 + town.net.rng.random() * 2.0)
    holder = town.holders("d0")[0]
    town.nodes[holder].leadership.write("d0", b"kept %d" % seed)
    await asyncio.sleep(0.1)
    begun = town.now()
    if fault == "sigterm":
        await town.leave(holder)
    elif fault == "kill":
        await town.kill(holder)
    elif fault == "stall":
        town.stall(holder)
    else:
        town.part(holder)
    await town.until_held("d0", other_than=holder)
    took = town.now() - begun
    if fault == "stall":
        await asyncio.sleep(1.0)
        town.wake(holder)
    for _ in range(500):
        town.look()
        await asyncio.sleep(0.002)
    kept = [fields["record"] for fields in town.said(LEASE_ACQUIRED)][-1] == f"kept {seed}"
    await town.close()
    return took, town.overlaps, kept and town.fences_grow()


async def idle(size: int, duties: int = 1, seconds: float = 20.0) -> float:
    """Words a second of duties, all nodes together, once a holder is there."""
    town = Town(1, size, duties)
    await town.start()
    await asyncio.sleep(8.0)
    before = sum(node.leadership.counters.sent for node in town.nodes.values())
    await asyncio.sleep(seconds)
    after = sum(node.leadership.counters.sent for node in town.nodes.values())
    await town.close()
    return (after - before) / seconds


def main(size: int, seeds: int) -> None:
    for fault in FAULTS:
        done = [virtual_time.run(story(seed, size, fault)) for seed in range(seeds)]
        times = sorted(took for took, _, _ in done)
        print(
            json.dumps(
                {
                    "fault": fault,
                    "nodes": size,
                    "seeds": seeds,
                    "median": round(statistics.median(times)),
                    "worst": round(times[-1]),
                    "overlaps": sum(overlaps for _, overlaps, _ in done),
                    "records or fences wrong": sum(not right for _, _, right in done),
                }
            )
        )
    print(json.dumps({"nodes": size, "idle words a second": round(virtual_time.run(idle(size)), 1)}))


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
