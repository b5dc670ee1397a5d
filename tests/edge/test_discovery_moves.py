"""The watches of a client while discovery moves to another address, on the virtual clock.

If the old watch ends too early, changes are missed until the new address answers. If it ends too late or not
at all, the node goes on to poll an agent that discovery has left.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from onyxpost.edge.messages import EndpointUpdateFailed
from tests.edge.discovery_agents import (
    AGENT_ADDRESSES,
    FIRST_AGENT,
    NODE_HOST,
    SILENCE_SECONDS,
    Agent,
    Poll,
    now_ms,
    run_watch,
)

if TYPE_CHECKING:
    from onyxpost.edge.discovery_client import DiscoveryClient
    from onyxpost.simulation.virtual_time import Network

UNREACHABLE_ADDRESS = ("nowhere", 1)


class SilentAgent(Agent):
    """Answers no poll."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.polls.append(Poll(now_ms(), 0.0))
        await asyncio.sleep(SILENCE_SECONDS)


def test_after_a_move_the_old_watch_ends_and_the_new_one_requests_the_complete_list_once() -> None:
    old_agent = Agent()
    new_agent = Agent()
    polls_after_move: list[int] = []

    async def scenario(discovery: DiscoveryClient, network: Network) -> None:
        discovery.start()
        await asyncio.sleep(0.5)
        discovery.change_address(AGENT_ADDRESSES[1])
        await asyncio.sleep(0.1)
        polls_after_move.append(len(old_agent.polls))
        await asyncio.sleep(9.9)
        network.reset_connections(NODE_HOST)  # a new connection to the same address is not a move
        await asyncio.sleep(1.0)
        assert len(discovery.watches) == 1

    result = run_watch([old_agent, new_agent], scenario)
    assert [len(old_agent.polls)] == polls_after_move
    assert [poll.long_poll_ms for poll in new_agent.polls].count(0.0) == 1
    assert result.log_events().count("discovery moved") == 1


def test_a_move_forgets_the_alternative_address() -> None:
    async def scenario(discovery: DiscoveryClient, _network: Network) -> None:
        assert discovery.alternative_address == UNREACHABLE_ADDRESS
        discovery.start()
        discovery.change_address(AGENT_ADDRESSES[1])
        assert discovery.alternative_address is None

    run_watch([Agent()], scenario, replace(FIRST_AGENT, alternative_address=UNREACHABLE_ADDRESS))


def test_repeated_moves_to_silent_agents_keep_the_old_watch_and_the_newest() -> None:
    silent_agent = SilentAgent()
    polls_before_last_move: list[int] = []

    async def scenario(discovery: DiscoveryClient, _network: Network) -> None:
        discovery.start()
        await asyncio.sleep(0.5)
        first_watch = next(iter(discovery.watches))
        for index in (1, 2, 1, 2, 1):
            discovery.change_address(AGENT_ADDRESSES[index])
            await asyncio.sleep(0.3)
            assert len(discovery.watches) == 2
            assert next(iter(discovery.watches)) is first_watch
        polls_before_last_move.append(len(silent_agent.polls))
        discovery.change_address(AGENT_ADDRESSES[3])
        await asyncio.sleep(1.0)
        assert len(discovery.watches) == 1
        assert first_watch not in discovery.watches

    result = run_watch([Agent(), SilentAgent(), silent_agent, Agent()], scenario)
    assert [len(silent_agent.polls)] == polls_before_last_move
    assert result.log_events().count("discovery moved") == 1


def test_after_a_move_an_overloaded_old_agent_does_not_make_the_list_stale() -> None:
    async def scenario(discovery: DiscoveryClient, _network: Network) -> None:
        discovery.start()
        await asyncio.sleep(0.5)
        discovery.change_address(UNREACHABLE_ADDRESS)
        await asyncio.sleep(15.0)

    old_agent = Agent()
    old_agent.status = 503
    assert EndpointUpdateFailed(is_stale=True) not in run_watch([old_agent], scenario).events()


def test_the_alternative_address_is_forgotten_once_the_first_has_answered() -> None:
    async def scenario(discovery: DiscoveryClient, network: Network) -> None:
        assert discovery.alternative_address == AGENT_ADDRESSES[1]
        discovery.start()
        await asyncio.sleep(1.0)
        network.reset_connections(NODE_HOST)
        await asyncio.sleep(1.0)
        assert discovery.alternative_address is None

    agents = [Agent(), Agent()]
    run_watch(agents, scenario, replace(FIRST_AGENT, alternative_address=AGENT_ADDRESSES[1]))
    assert agents[1].polls == []
