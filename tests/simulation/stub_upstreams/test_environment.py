"""A node under load answers in time while its stub app servers have faults; all share one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import time
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from onyxpost.node import config
from onyxpost.node.edge_node import EdgeNode
from onyxpost.runtime.structured_log import StructuredLog
from onyxpost.simulation.free_ports import ANY_PORT
from onyxpost.simulation.load import LoadGenerator, LoadOptions
from onyxpost.simulation.stub_upstreams import StubEnvironment, read_fault_script, write_node_file
from tests.edge.harness import node_fields

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from onyxpost.config.address import Address
    from onyxpost.config.deployment import Deployment
    from onyxpost.node.node_config import NodeConfig
    from onyxpost.simulation.load import LoadResults

pytestmark = pytest.mark.xdist_group("quiet")  # measures time; socket-heavy tests would disturb it

FAULTS = ("hang", "drain", "spoil", "slow", "crash")  # of servers 0 to 4, starting 0.1 s apart
ANSWER_GRACE_MS = 250.0  # allowed after a client's timeout, in addition to stalls of the event loop
LONG_GRACE_MS = 60_000.0  # for the load generator, which then records the latency of late answers
SAMPLE_SECONDS = 0.005
MIN_STALL_MS = 20.0  # shorter timer delays are covered by `ANSWER_GRACE_MS`


class StallMeter:
    """Measures for how long the event loop was delayed, by this process or by others on the machine."""

    def __init__(self) -> None:
        self.stalled_ms = 0.0

    async def run(self) -> None:
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(SAMPLE_SECONDS)
            delay_ms = (time.monotonic() - started_at - SAMPLE_SECONDS) * 1000.0
            if delay_ms >= MIN_STALL_MS:
                self.stalled_ms += delay_ms


def write_fault_script(path: Path) -> None:
    path.write_text(
        "".join(
            f'[[faults]]\nat_s = {0.1 + 0.1 * server}\nkind = "{kind}"\nfor_s = 0.3\nserver = {server}\n'
            for server, kind in enumerate(FAULTS)
        )
    )


@contextlib.asynccontextmanager
async def running_node(node_config: NodeConfig) -> AsyncIterator[Address]:
    """Runs a node in this event loop; yields its address."""
    node = EdgeNode(node_config, StructuredLog("n0", out=io.StringIO()), lambda: node_config)
    task = asyncio.create_task(node.run())
    while not node.is_ready():
        await asyncio.sleep(0.001)
    assert node.clients.listener.server is not None
    try:
        yield node.clients.listener.server.sockets[0].getsockname()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        node.close()


async def send_load(address: Address, deployment: Deployment, frontend_name: str) -> LoadResults:
    """Sends the load of one frontend; late answers are recorded with their latencies and outcomes."""
    frontends = [frontend for frontend in deployment.frontends if frontend.name == frontend_name]
    options = LoadOptions(rate=40.0, seconds=1.2, customers=9, connections=25, seed=3)
    generator = LoadGenerator(address, replace(deployment, frontends=frontends), options, LONG_GRACE_MS)
    return await generator.run()


def test_every_request_is_answered_in_time_while_servers_fail(tmp_path: Path) -> None:
    """Guards against requests that outlast the client's timeout when a server hangs, drains or crashes.

    The limit is the timeout, a grace, and the time for which the event loop was stalled. The node, the
    servers and the clients share this event loop, so that a stall delays each of their timers.
    """

    async def scenario() -> None:
        write_fault_script(tmp_path / "faults.toml")
        environment = StubEnvironment(len(FAULTS), 5.0, 0, ANY_PORT)
        await environment.open()
        (tmp_path / "example.json").write_text(json.dumps(node_fields()))
        write_node_file(tmp_path / "example.json", tmp_path / "node.json", environment)
        node_config = config.decode_config(json.loads((tmp_path / "node.json").read_text()))
        deployment = node_config.deployment
        timeouts_ms = {frontend.name: frontend.client_timeout_ms for frontend in deployment.frontends}
        stall_meter = StallMeter()
        async with running_node(node_config) as address:
            environment.schedule_faults(
                read_fault_script(tmp_path / "faults.toml", len(FAULTS)), lambda line: None
            )
            metering = asyncio.create_task(stall_meter.run())
            loads = [send_load(address, deployment, frontend) for frontend in timeouts_ms]
            all_results = await asyncio.gather(*loads)
            metering.cancel()
        for timeout_ms, results in zip(timeouts_ms.values(), all_results, strict=True):
            assert set(results.outcomes) <= {"passed", "denied", "aborted"}
            longest_ms = results.latencies_us["all"].get_value_at_percentile(100) / 1000.0
            assert longest_ms <= timeout_ms + ANSWER_GRACE_MS + stall_meter.stalled_ms
        assert sum(results.outcomes["passed"] for results in all_results) > 0
        assert sorted(server.incarnation for server in environment.servers) == [0, 0, 0, 1, 1]

    asyncio.run(scenario())
