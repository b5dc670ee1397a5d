"""A discovery agent that stops answering, on the virtual clock.

A change that the node missed on a silent connection has to arrive before the limit of the discovery protocol,
or the list has to be reported as stale.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from itertools import pairwise
from math import inf
from typing import TYPE_CHECKING

import pytest

from onyxpost.edge.errors import InvalidEndpointUpdateError
from onyxpost.edge.messages import EndpointUpdate, EndpointUpdateFailed, decode_endpoint_update
from onyxpost.edge.poll_schedule import (
    ANSWER_TIMEOUT_MS,
    RETRY_PAUSE_MS,
    STALE_AFTER_LONG_POLL_MS,
    STALE_AFTER_MS,
    STALE_AFTER_RELOAD_MS,
)
from tests.edge.discovery_agents import (
    AGENT_ADDRESSES,
    FIRST_AGENT,
    Agent,
    PostedEvent,
    now_ms,
    run_watch,
)

if TYPE_CHECKING:
    from onyxpost.edge.discovery_client import DiscoveryClient, DiscoveryOptions
    from onyxpost.simulation.virtual_time import Network

DRAIN_GRACE_MS = 250.0  # attempts that start later on a draining server violate the protocol
SHARED_DISCOVERY = replace(FIRST_AGENT, is_shared_service=True)

Scenario = Callable[["DiscoveryClient"], Awaitable[None]]


def watch(
    agents: list[Agent],
    until_ms: float,
    scenario: Scenario | None = None,
    options: DiscoveryOptions = FIRST_AGENT,
) -> list[PostedEvent]:
    """Runs a watch that starts with the first agent and returns the events posted until `until_ms`."""

    async def run_until(discovery: DiscoveryClient, _network: Network) -> None:
        discovery.start()
        if scenario is not None:
            await scenario(discovery)
        await asyncio.sleep((until_ms - now_ms()) / 1000.0)

    return run_watch(agents, run_until, options).posted


def change_posted_at(posted: list[PostedEvent]) -> float:
    changes = (at for at, event in posted if isinstance(event, EndpointUpdate) and event.endpoints)
    return next(changes, inf)


def stale_posted_at(posted: list[PostedEvent]) -> list[float]:
    return [at for at, event in posted if isinstance(event, EndpointUpdateFailed) and event.is_stale]


@pytest.mark.parametrize("truncated", [False, True])
@pytest.mark.parametrize("silent_at", [1.0, 2.0, 500.0, 2999.0, 3003.0, 4500.0, 5999.0, 6010.0])
def test_a_change_missed_by_a_silent_watch_arrives_before_it_counts(
    truncated: bool, silent_at: float
) -> None:
    agent = Agent(silent_at, truncated)
    agent.change_at = silent_at + 0.5
    arrived_at = change_posted_at(watch([agent], silent_at + 9000.0))
    assert agent.has_fallen_silent
    polled_at, long_poll_ms = [poll for poll in agent.polls if poll.at <= silent_at + 2.0][-1]
    counts_at = max(silent_at + STALE_AFTER_MS, polled_at + long_poll_ms + STALE_AFTER_LONG_POLL_MS)
    assert arrived_at < counts_at
    # There is enough time left for one more poll that is answered after 2 s.
    assert arrived_at <= counts_at - ANSWER_TIMEOUT_MS + RETRY_PAUSE_MS + 50.0


def test_after_a_move_a_silent_new_agent_is_polled_again_within_4_s() -> None:
    async def move(discovery: DiscoveryClient) -> None:
        await asyncio.sleep(1.0)
        discovery.change_address(AGENT_ADDRESSES[1])

    old = Agent()
    new = Agent(1000.0)
    new.change_at = 0.0
    assert change_posted_at(watch([old, new], 8000.0, move)) < 1000.0 + STALE_AFTER_RELOAD_MS


def test_an_outage_ends_with_the_first_answer_and_makes_no_list_stale() -> None:
    agent = Agent(500.0)
    agent.change_at = 8500.0
    serve = agent.serve

    async def serve_after_outage(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while 500.0 <= now_ms() < 8500.0:
            await asyncio.sleep(0.01)
        agent.silent_at = inf if now_ms() > 8000.0 else agent.silent_at
        await serve(reader, writer)

    agent.serve = serve_after_outage  # type: ignore[method-assign]  # replaced for this instance only
    posted = watch([agent], 10_000.0)
    assert change_posted_at(posted) < 8500.0 + DRAIN_GRACE_MS
    assert stale_posted_at(posted) == []


def test_an_overloaded_agent_makes_the_list_stale_after_6_s() -> None:
    agent = Agent()
    agent.status = 503

    async def recover(_: DiscoveryClient) -> None:
        await asyncio.sleep(12.0)
        agent.status = 200
        agent.change_at = 12_000.0

    posted = watch([agent], 20_000.0, recover)
    assert stale_posted_at(posted) == [pytest.approx(STALE_AFTER_MS, abs=10.0)]
    # Retries have jitter but start before the list is stale.
    assert any(100.0 < poll.at < STALE_AFTER_MS for poll in agent.polls)
    assert change_posted_at(posted) < inf


@pytest.mark.parametrize("old_status", [200, 500])
def test_after_a_move_to_an_overloaded_agent_the_list_is_stale_after_4_s(old_status: int) -> None:
    async def move_and_recover(discovery: DiscoveryClient) -> None:
        await asyncio.sleep(1.0)
        discovery.change_address(AGENT_ADDRESSES[1])
        await asyncio.sleep(19.0)
        new.status = 200

    old = Agent()
    new = Agent()
    old.status = old_status
    new.status = 503
    posted = watch([old, new], 30_000.0, move_and_recover)
    (stale_at,) = stale_posted_at(posted)
    assert stale_at == pytest.approx(1000.0 + STALE_AFTER_RELOAD_MS, abs=20.0)
    updates = [at for at, event in posted if isinstance(event, EndpointUpdate) and at > stale_at]
    assert updates[0] > 20_000.0  # answers of the old agent do not end the staleness


def test_after_a_move_an_answer_of_the_old_agent_leaves_the_list_stale() -> None:
    async def move(discovery: DiscoveryClient) -> None:
        discovery.change_address(AGENT_ADDRESSES[1])

    old = Agent()
    new = Agent()
    new.status = 503
    old.change_at = 7000.0
    posted = watch([old, new], 7500.0, move)
    assert isinstance(posted[-2].event, EndpointUpdate)
    assert posted[-1].event == EndpointUpdateFailed(is_stale=True)


def test_an_unreachable_second_address_does_not_hide_an_overloaded_first_one() -> None:
    agent = Agent()
    agent.status = 503
    posted = watch([agent], 20_000.0, options=replace(FIRST_AGENT, alternative_address=("nowhere", 1)))
    assert stale_posted_at(posted) == [pytest.approx(STALE_AFTER_MS, abs=20.0)]


def test_an_older_list_after_a_move_is_an_answer_but_its_endpoints_are_ignored() -> None:
    async def move_to_older_list(discovery: DiscoveryClient) -> None:
        discovery.generation = 5
        await asyncio.sleep(7.0)
        new.status = 200
        discovery.change_address(AGENT_ADDRESSES[1])

    old = Agent()
    new = Agent()
    old.status = 503
    new.change_at = 0.0
    events = [event for _, event in watch([old, new], 7100.0, move_to_older_list)]
    after_stale = events[events.index(EndpointUpdateFailed(is_stale=True)) + 1]
    assert after_stale == EndpointUpdate(5, False, [], {})


def test_a_list_nested_too_deeply_is_rejected() -> None:
    nested = b'{"generation":1,"reset":false,"instances":[],"x":' + b"[" * 100_000
    with pytest.raises(InvalidEndpointUpdateError):
        decode_endpoint_update(nested)


def test_polls_of_an_overloaded_shared_discovery_do_not_postpone_staleness() -> None:
    agent = Agent()
    agent.status = 503
    posted = watch([agent], 60_000.0, options=SHARED_DISCOVERY)
    assert stale_posted_at(posted) == [pytest.approx(STALE_AFTER_MS, abs=10.0)]
    pauses = [later.at - earlier.at for earlier, later in pairwise(agent.polls)]
    # Once discovery has capacity again, a poll is answered within the next 6 s.
    assert max(pauses) + ANSWER_TIMEOUT_MS <= STALE_AFTER_MS + 10.0
    # The jitter spreads the polls of nodes that would otherwise be rejected together again.
    assert max(pauses) - min(pauses) > ANSWER_TIMEOUT_MS
    assert len(agent.polls) < 50
