"""Measures, on the virtual clock, the time from a fault of a leader to the election of the next leader.

Usage: `python -m onyxpost.simulation.model_checking.failover_timing NODES SEEDS`.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
from enum import StrEnum
from typing import NamedTuple

from onyxpost.leadership.leadership_log import LEADERSHIP_ACQUIRED
from onyxpost.simulation import virtual_time
from onyxpost.simulation.model_checking.virtual_cluster import VirtualCluster

ROLE = "d0"
MIN_LEASE_SECONDS = 3.0  # from the first lease to the write of the record
MAX_EXTRA_LEASE_SECONDS = 2.0  # maximum random time in addition
WRITE_SECONDS = 0.1  # from the write to the fault, in which the record is committed
PAUSE_SECONDS = 1.0  # from the election of a paused leader's successor to the end of the pause
SAMPLES_AFTER_FAILOVER = 500
SAMPLE_INTERVAL_SECONDS = 0.002
ELECTION_SECONDS = 8.0  # time in which a new cluster elects its leaders and becomes idle
IDLE_SECONDS = 20.0  # duration of the measurement in an idle cluster


class LeaderFault(StrEnum):
    """Faults of a leader; the values are part of the results."""

    TERMINATED = "sigterm"
    KILLED = "kill"
    PAUSED = "stall"
    ISOLATED = "cut"


FAULTS = tuple(LeaderFault)


class FailoverMeasurement(NamedTuple):
    """The failover after one fault of a leader.

    Attributes:
        duration_ms: Time from the fault to the election of the next leader.
        overlaps: Number of samples with more than one leader.
        is_consistent: Whether the next leader read the committed record and all fencing tokens increased.
    """

    duration_ms: float
    overlaps: int
    is_consistent: bool


async def measure_failover(seed: int, size: int, fault: LeaderFault | str) -> FailoverMeasurement:
    """Injects a fault into the leader of a cluster of `size` nodes and measures the failover."""
    cluster = VirtualCluster(seed, size)
    await cluster.start()
    await cluster.wait_for_leader(ROLE)
    await asyncio.sleep(MIN_LEASE_SECONDS + cluster.network.rng.random() * MAX_EXTRA_LEASE_SECONDS)
    leader = cluster.leaders_of(ROLE)[0]
    cluster.nodes[leader].leadership.write(ROLE, b"kept %d" % seed)
    await asyncio.sleep(WRITE_SECONDS)
    fault_at_ms = cluster.now_ms()
    await _inject(cluster, leader, LeaderFault(fault))
    await cluster.wait_for_leader(ROLE, other_than=leader)
    duration_ms = cluster.now_ms() - fault_at_ms
    if fault == LeaderFault.PAUSED:
        await asyncio.sleep(PAUSE_SECONDS)
        cluster.nodes[leader].resume()
    for _ in range(SAMPLES_AFTER_FAILOVER):
        cluster.sample_state()
        await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
    latest_record = cluster.logged_fields(LEADERSHIP_ACQUIRED)[-1]["record"]
    await cluster.close()
    is_consistent = latest_record == f"kept {seed}" and cluster.tokens_increase()
    return FailoverMeasurement(duration_ms, cluster.overlaps, is_consistent)


async def measure_idle_messages(size: int, roles: int = 1, duration_seconds: float = IDLE_SECONDS) -> float:
    """Returns the leader election messages per second of all nodes together while no leader changes."""
    cluster = VirtualCluster(1, size, roles)
    await cluster.start()
    await asyncio.sleep(ELECTION_SECONDS)
    sent_before = _count_sent_messages(cluster)
    await asyncio.sleep(duration_seconds)
    sent_after = _count_sent_messages(cluster)
    await cluster.close()
    return (sent_after - sent_before) / duration_seconds


async def _inject(cluster: VirtualCluster, leader: str, fault: LeaderFault) -> None:
    match fault:
        case LeaderFault.TERMINATED:
            await cluster.terminate(leader)
        case LeaderFault.KILLED:
            await cluster.kill(leader)
        case LeaderFault.PAUSED:
            cluster.nodes[leader].pause()
        case LeaderFault.ISOLATED:
            cluster.isolate(leader)


def _count_sent_messages(cluster: VirtualCluster) -> int:
    return sum(node.leadership.counters.sent for node in cluster.nodes.values())


def main(size: int, seeds: int) -> None:
    """Prints a JSON line for each fault, and one with the message rate of an idle cluster."""
    for fault in FAULTS:
        runs = [virtual_time.run(measure_failover(seed, size, fault)) for seed in range(seeds)]
        measurements = {
            "fault": fault,
            "nodes": size,
            "seeds": seeds,
            "median": round(statistics.median(run.duration_ms for run in runs)),
            "worst": round(max(run.duration_ms for run in runs)),
            "overlaps": sum(run.overlaps for run in runs),
            "records or fences wrong": sum(not run.is_consistent for run in runs),
        }
        print(json.dumps(measurements))
    idle_rate = virtual_time.run(measure_idle_messages(size))
    print(json.dumps({"nodes": size, "idle words a second": round(idle_rate, 1)}))


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
