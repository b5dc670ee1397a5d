"""A node that restarts is ready soon, whatever the state of discovery; on the virtual clock.

A node that waited until discovery answers, or for a long drain grace period, would serve no requests for that
time when it restarts during an outage of discovery.
"""

from __future__ import annotations

import asyncio
import io
from functools import partial
from random import Random
from typing import Any

import pytest

from onyxpost.node import config
from onyxpost.node.edge_node import INITIAL_ENDPOINTS_TIMEOUT_MS, EdgeNode, Phase
from onyxpost.runtime.structured_log import StructuredLog
from onyxpost.simulation.virtual_time import Network, run
from tests.edge.discovery_agents import Agent
from tests.edge.harness import DEPLOYMENT_SETTINGS, node_fields
from tests.edge.test_overloaded_discovery import NODE_COUNT, OverloadedDiscovery

LONG_DRAIN_GRACE_US = 30_000_000
NEVER_MS = float("inf")
READY_WITHIN_MS = INITIAL_ENDPOINTS_TIMEOUT_MS + 100.0
POLL_SECONDS = 0.001
READ_SIZE_BYTES = 65536
MAX_ACCEPTS_PER_TURN = 16
GENERATION = 9


class SlowAgent(Agent):
    """Answers the first poll of each connection with a draining server after `answers_after_ms`."""

    def __init__(self, answers_after_ms: float) -> None:
        super().__init__(NEVER_MS)
        self.answers_after_ms = answers_after_ms

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
        except EOFError:
            return
        await asyncio.sleep(self.answers_after_ms / 1000.0)
        instance = b'{"instanceId":"s0","hostPort":"h:1","lifecycle":"draining"}'
        body = b'{"generation":%d,"reset":false,"instances":[%s]}' % (GENERATION, instance)
        writer.write(b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await asyncio.sleep(3600.0)


class RunningNode:
    """An edge node that runs on the virtual network."""

    def __init__(self, network: Network, name: str, agent: str, settings: dict[str, Any]) -> None:
        rules = DEPLOYMENT_SETTINGS["rules"] | {"drain_grace_us": LONG_DRAIN_GRACE_US}
        fields = node_fields(
            ("10.0.0.1", 1),
            name=name,
            listen=f"{name}:1",
            peer_listen=f"{name}:2",
            discovery=agent,
            settings=DEPLOYMENT_SETTINGS | {"rules": rules} | settings,
        )
        node_config = config.decode_config(fields)
        event_log = StructuredLog(name, out=io.StringIO())
        self.node = EdgeNode(node_config, event_log, lambda: node_config, network.host(name))
        self.task = asyncio.get_running_loop().create_task(self.node.run())

    def is_ready(self) -> bool:
        return self.node.phase is Phase.SERVING


def start_beside(agent: Agent | None, is_cut_off: bool = False) -> tuple[float, int]:
    """Starts a node and returns the time in ms until it is ready, and its generation 5 s later."""

    async def main() -> tuple[float, int]:
        network = Network(Random(1))
        if agent is not None:
            await network.host("agent").listen(
                agent.serve, ("agent", 1), READ_SIZE_BYTES, MAX_ACCEPTS_PER_TURN
            )
        if is_cut_off:
            network.cut_off.add("agent")
        started = RunningNode(network, "n0", "agent:1", settings={})
        while not started.is_ready():
            await asyncio.sleep(POLL_SECONDS)
        ready_after_ms = network.loop.time() * 1000.0
        await asyncio.sleep(5.0)
        return ready_after_ms, started.node.discovery.generation

    result: tuple[float, int] = run(main())
    return result


@pytest.mark.parametrize(
    ("agent", "is_cut_off"),
    [(None, False), (Agent(0.0), False), (Agent(NEVER_MS), True)],
    ids=["down", "silent", "cut off"],
)
def test_ready_without_discovery_however_long_the_drain_grace(agent: Agent | None, is_cut_off: bool) -> None:
    ready_after_ms, _ = start_beside(agent, is_cut_off)
    assert ready_after_ms < READY_WITHIN_MS


def test_ready_before_an_agent_that_answers_after_3_s_and_its_endpoints_still_count() -> None:
    ready_after_ms, generation = start_beside(SlowAgent(3000.0))
    assert ready_after_ms < READY_WITHIN_MS
    assert generation == GENERATION


def test_the_list_of_an_agent_that_answers_at_once_is_applied_before_clients_are_accepted() -> None:
    ready_after_ms, generation = start_beside(SlowAgent(20.0))
    assert ready_after_ms < 100.0
    assert generation == GENERATION


def test_nodes_that_restart_together_are_ready_before_an_overloaded_discovery() -> None:
    async def main() -> list[float]:
        network = Network(Random(1))
        service = OverloadedDiscovery()
        starting = []
        for index in range(NODE_COUNT):
            serve = partial(service.serve, index)
            await network.host(f"agent{index}").listen(
                serve, (f"a{index}", 1), READ_SIZE_BYTES, MAX_ACCEPTS_PER_TURN
            )
            starting.append(RunningNode(network, f"n{index}", f"a{index}:1", {"discovery": "on_request"}))
        ready_at_ms = []
        while starting:
            for started in [node for node in starting if node.is_ready()]:
                ready_at_ms.append(network.loop.time() * 1000.0)
                starting.remove(started)
            await asyncio.sleep(0.01)
        return ready_at_ms

    assert max(run(main())) < READY_WITHIN_MS
