"""Start, polls, answers and failures of a watch on discovery, on the virtual clock.

A watch with wrong pauses loses changes or polls without pause; one that treats answers wrongly applies an old
list or misses a restart of discovery.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING

import pytest

from onyxpost.edge.discovery_poll import CONNECT_TIMEOUT_MS
from onyxpost.edge.messages import EndpointUpdate, EndpointUpdateFailed, decode_endpoint_update
from tests.edge.discovery_agents import (
    FIRST_AGENT,
    NODE_HOST,
    SILENCE_SECONDS,
    WATCH_EXPIRY_MS,
    Agent,
    Poll,
    encode_list,
    now_ms,
    run_watch,
)

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.edge.discovery_client import DiscoveryClient
    from onyxpost.runtime.transport import DialedConnection
    from onyxpost.simulation.virtual_time import Network

FIRST_ANSWER_TIMEOUT_MS = 250.0


class RestartedAgent(Agent):
    """Sends a complete list at a lower generation, as after a restart, and then holds polls open."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while b"since=3" not in await reader.readuntil(b"\r\n\r\n"):
            writer.write(encode_list(3, complete=True))
        await asyncio.sleep(SILENCE_SECONDS)


class SlowAgent(Agent):
    """Answers each poll with a change after `delay_seconds`."""

    def __init__(self, delay_seconds: float) -> None:
        super().__init__()
        self.delay_seconds = delay_seconds

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while b"since=2" not in await reader.readuntil(b"\r\n\r\n"):
            await asyncio.sleep(self.delay_seconds)
            writer.write(encode_list(2))
        await asyncio.sleep(SILENCE_SECONDS)


class TruncatingAgent(Agent):
    """Answers the first poll with `sent` and closes the connection; later polls are not answered."""

    def __init__(self, sent: bytes) -> None:
        super().__init__()
        self.sent = sent

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if self.polls:
            await asyncio.sleep(SILENCE_SECONDS)
        self.polls.append(Poll(now_ms(), 0.0))
        writer.write(self.sent)
        writer.close()


class ResettingAgent(Agent):
    """Answers the first poll of each connection and resets the connection at the second poll."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.polls.append(Poll(now_ms(), 0.0))
        writer.write(encode_list(1))
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()


def test_a_flapping_agent_is_logged_as_down_once_a_second() -> None:
    async def scenario(discovery: DiscoveryClient, network: Network) -> None:
        discovery.start()
        await asyncio.sleep(10.0)
        network.cut_off.add(NODE_HOST)
        await asyncio.sleep(10.0)

    agent = ResettingAgent()
    result = run_watch([agent], scenario)
    events = result.log_events()
    assert len(agent.polls) > 50
    assert events.count("discovery up") == events.count("discovery down") - 1
    assert events[-1] == "discovery down"
    assert result.discovery.is_down
    assert events.count("discovery down") in (10, 11)


def test_the_first_poll_requests_an_immediate_answer_and_later_ones_are_long_polls() -> None:
    async def scenario(discovery: DiscoveryClient, network: Network) -> None:
        discovery.start()
        started_at = network.loop.time()
        await discovery.wait_for_first_answer(FIRST_ANSWER_TIMEOUT_MS)
        assert network.loop.time() - started_at < 0.1
        await asyncio.sleep(2.0)

    agent = Agent()
    run_watch([agent], scenario)
    are_long_polls = [poll.long_poll_ms > 1.0 for poll in agent.polls]
    assert are_long_polls == [False, *[True] * (len(are_long_polls) - 1)]
    assert len(are_long_polls) > 1


def test_a_refused_connection_ends_the_wait_for_the_first_answer() -> None:
    async def scenario(discovery: DiscoveryClient, network: Network) -> None:
        discovery.start()
        await discovery.wait_for_first_answer(FIRST_ANSWER_TIMEOUT_MS)
        assert network.loop.time() < 0.1

    run_watch([], scenario)


def test_a_connection_that_is_not_established_in_time_counts_as_an_outage() -> None:
    async def scenario(discovery: DiscoveryClient, network: Network) -> None:
        network.cut_off.add(NODE_HOST)
        discovery.start()
        await asyncio.sleep(CONNECT_TIMEOUT_MS / 1000.0 + 0.1)
        assert discovery.is_down

    run_watch([Agent()], scenario)


def test_after_its_connection_is_reset_a_watch_polls_again_within_200_ms() -> None:
    reset_at_ms: list[float] = []

    async def scenario(discovery: DiscoveryClient, network: Network) -> None:
        discovery.start()
        for _ in range(5):
            await asyncio.sleep(1.0)
            reset_at_ms.append(network.loop.time() * 1000.0)
            network.reset_connections(NODE_HOST)
        await asyncio.sleep(1.0)

    agent = Agent()
    run_watch([agent], scenario)
    for reset_at in reset_at_ms:
        assert [poll.at for poll in agent.polls if reset_at < poll.at < reset_at + WATCH_EXPIRY_MS]


@pytest.mark.parametrize("change_at", [inf, 500.0], ids=["no change", "change of an older generation"])
def test_changes_older_than_the_list_are_ignored_and_do_not_lower_the_generation(change_at: float) -> None:
    async def scenario(discovery: DiscoveryClient, _network: Network) -> None:
        discovery.start()
        await asyncio.sleep(3.0)

    agent = Agent()
    agent.change_at = change_at
    result = run_watch([agent], scenario, replace(FIRST_AGENT, generation=5))
    assert result.discovery.generation == 5
    assert [event for event in result.events() if isinstance(event, EndpointUpdate)] == []
    assert len(agent.polls) < 40  # an agent that answers at once is not polled without pause


@pytest.mark.parametrize(
    ("connect_seconds", "answer_seconds"),
    [(1.5, 0.0), (0.0, 1.5), (1.0, 1.5)],
    ids=["connection", "answer", "both"],
)
def test_a_late_connection_or_answer_is_received(connect_seconds: float, answer_seconds: float) -> None:
    async def scenario(discovery: DiscoveryClient, network: Network) -> None:
        dial = network.dial

        async def dial_late(host: str, address: Address, buffer_limit_bytes: int) -> DialedConnection:
            await asyncio.sleep(connect_seconds)
            return await dial(host, address, buffer_limit_bytes)

        network.dial = dial_late  # type: ignore[method-assign]  # replaced for this instance only
        discovery.start()
        await asyncio.sleep(connect_seconds + answer_seconds + 0.5)
        assert discovery.generation == 2

    run_watch([SlowAgent(answer_seconds)], scenario)


@pytest.mark.parametrize(
    ("sent", "makes_stale"),
    [
        (b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n{", True),
        (b"HTTP/1.1 2", True),
        (b"", False),
    ],
    ids=["truncated body", "truncated head", "closed connection"],
)
def test_before_an_outage_a_truncated_answer_may_hide_a_change_a_closed_connection_does_not(
    sent: bytes, makes_stale: bool
) -> None:
    async def scenario(discovery: DiscoveryClient, _network: Network) -> None:
        discovery.start()
        await asyncio.sleep(9.0)

    events = run_watch([TruncatingAgent(sent)], scenario).events()
    assert (EndpointUpdateFailed(is_stale=True) in events) == makes_stale


def test_a_complete_list_of_a_restarted_discovery_is_applied_at_a_lower_generation() -> None:
    async def scenario(discovery: DiscoveryClient, _network: Network) -> None:
        discovery.start()
        await asyncio.sleep(1.0)

    result = run_watch([RestartedAgent()], scenario, replace(FIRST_AGENT, generation=41))
    are_complete = [event.is_complete for event in result.events() if isinstance(event, EndpointUpdate)]
    assert result.discovery.generation == 3
    assert are_complete[:1] == [True]


def test_an_indented_list_with_trailing_line_ends_is_decoded() -> None:
    fields = {"generation": 9, "reset": True, "instances": [{"instanceId": "s", "lifecycle": "up"}]}
    body = json.dumps(fields, indent=4).replace("\n", "\r\n").encode()
    assert decode_endpoint_update(body).generation == 9
    assert len(decode_endpoint_update(body + b"\n\n").endpoints) == 1


def test_a_closed_client_posts_nothing() -> None:
    async def scenario(discovery: DiscoveryClient, _network: Network) -> None:
        discovery.start()
        await asyncio.sleep(4.0)
        discovery.close()
        await asyncio.sleep(9.0)

    agent = Agent()
    agent.status = 503
    assert EndpointUpdateFailed(is_stale=True) not in run_watch([agent], scenario).events()
