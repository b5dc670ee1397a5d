"""Lists of discovery that have no length and end with their stream, on the virtual clock.

The end of the stream completes such a list, and a reset does not. A node that discards complete lists rejects
all requests once its list counts as stale; one that applies a truncated list forwards to servers that drain.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from onyxpost.edge.messages import EndpointUpdate, EndpointUpdateFailed
from tests.edge.discovery_agents import WATCH_EXPIRY_MS, Agent, Ending, run_watch

if TYPE_CHECKING:
    from onyxpost.edge.discovery_client import DiscoveryClient
    from onyxpost.simulation.virtual_time import Network


# Guards against polls on ended connections: docs/incidents/2026-12-04-polls-on-ended-connections.md.
def test_a_watch_goes_on_with_lists_without_length_that_end_their_connections() -> None:
    async def scenario(discovery: DiscoveryClient, _network: Network) -> None:
        discovery.start()
        await asyncio.sleep(9.0)

    agent = Agent(ending=Ending.END_OF_STREAM)
    agent.change_at = 4500.0
    result = run_watch([agent], scenario)
    changes = [
        posted.at
        for posted in result.posted
        if isinstance(posted.event, EndpointUpdate) and posted.event.endpoints
    ]
    assert 4500.0 <= changes[0] < 4500.0 + WATCH_EXPIRY_MS
    assert EndpointUpdateFailed(is_stale=True) not in result.events()
    assert "discovery down" not in result.log_events()
    for poll, next_poll in itertools.pairwise(agent.polls):
        assert next_poll.at - (poll.at + poll.long_poll_ms) < WATCH_EXPIRY_MS


def test_a_list_without_length_is_discarded_after_a_reset_and_the_watch_counts_as_stale() -> None:
    async def scenario(discovery: DiscoveryClient, _network: Network) -> None:
        discovery.start()
        await asyncio.sleep(9.0)

    agent = Agent(ending=Ending.RESET)
    agent.change_at = 0.0
    events = run_watch([agent], scenario).events()
    assert EndpointUpdateFailed(is_stale=True) in events
    assert [event for event in events if isinstance(event, EndpointUpdate)] == []
