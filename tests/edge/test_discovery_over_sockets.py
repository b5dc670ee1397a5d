"""An edge node with a discovery agent on real sockets: start, reload, and failed polls.

A node that serves with only the list in its file, or leaves the old agent too early after a reload, could
forward requests to servers that drain or are gone.
"""

import asyncio
import json
import signal
from unittest import mock

from onyxpost.core.types import EndpointState
from onyxpost.edge.discovery_client import DiscoveryClient, DiscoveryOptions
from onyxpost.edge.messages import EdgeEvent, EndpointUpdate, EndpointUpdateFailed
from onyxpost.edge.poll_schedule import PollSchedule
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import (
    RunningNode,
    StubAppServer,
    encode_request,
    node_fields,
    transport_with_stopped_clock,
)


def encode_list_response(generation: int, lifecycle: str) -> bytes:
    instance = {"instanceId": "s0", "hostPort": "127.0.0.1:9", "lifecycle": lifecycle}
    body = json.dumps({"generation": generation, "reset": False, "instances": [instance]}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def watch(agent: StubAppServer, until: int) -> tuple[list[EdgeEvent], list[str]]:
    posted: list[EdgeEvent] = []
    events: list[str] = []
    options = DiscoveryOptions(agent.address, generation=4)
    discovery = DiscoveryClient(
        transport_with_stopped_clock(), options, posted.append, lambda log: events.append(log.event)
    )
    discovery.start()
    await wait_until(lambda: len(agent.received_heads) >= until)
    discovery.close()
    await asyncio.gather(*discovery.watches, return_exceptions=True)
    return posted, events


@in_event_loop
async def test_each_poll_continues_from_the_last_generation() -> None:
    async with StubAppServer((encode_list_response(5, "draining"), False), None) as agent:
        posted, events = await watch(agent, 2)
    assert [b"since=4" in agent.received_heads[0], b"since=5" in agent.received_heads[1]] == [True, True]
    assert isinstance(posted[0], EndpointUpdate)
    assert (posted[0].endpoints[0].state, posted[0].is_complete) == (EndpointState.DRAINING, False)
    assert (len(posted), events, agent.connection_count) == (1, [], 1)


@in_event_loop
async def test_on_sighup_the_old_watch_ends_once_the_new_agent_has_answered() -> None:
    silent = [None] * 99
    async with (
        StubAppServer(None) as server,
        StubAppServer(*silent) as old,
        StubAppServer(None, (b"", True)) as new,
        RunningNode(server.address, discovery="{}:{}".format(*old.address)) as edge,
    ):
        edge.writer.write(encode_request(X_Expires_In="900m"))
        await wait_until(lambda: server.received_heads and old.received_heads)
        signal.raise_signal(signal.SIGHUP)  # the file is invalid
        await wait_until(lambda: b"reload refused" in edge.log_output.getvalue())
        edge.reload_fields = node_fields(server.address, discovery="{}:{}".format(*new.address))
        signal.raise_signal(signal.SIGHUP)
        await wait_until(lambda: new.received_heads)
        assert b"GET /v1/servers HTTP" in new.received_heads[0]
        assert [watch.cancelled() for watch in edge.node.discovery.watches] == [False] * 2
        new.answers = [(encode_list_response(6, "up"), False), *silent]
        # The request was pending during the reloads.
        assert (await edge.answer())[0].split(b" ")[1] in (b"429", b"502")
        await wait_until(lambda: b"since=6" in new.received_heads[-1])
        assert len(edge.node.discovery.watches) == 1
        old_poll_count = len(old.received_heads)
        new_poll_count = len(new.received_heads)
        await wait_until(lambda: len(new.received_heads) > new_poll_count)  # the silent agent is polled again
        assert (len(old.received_heads), edge.running.done()) == (old_poll_count, False)


@in_event_loop
async def test_no_request_is_forwarded_by_an_old_list_while_the_agent_has_a_newer_one() -> None:
    async with StubAppServer() as server, StubAppServer(None) as agent:
        more = {"listen": "127.0.0.1:0", "discovery": "{}:{}".format(*agent.address)}
        edge = RunningNode(server.address, **more)
        start = asyncio.get_running_loop().create_task(edge.__aenter__())
        await wait_until(lambda: agent.received_heads)
        assert not edge.node.is_ready()
        assert edge.node.clients.listener.server is None
        agent.writers[0].write(encode_list_response(5, "draining"))
        await asyncio.wait_for(start, 5.0)
        head, _ = await edge.send_request(encode_request())
        assert (head.split(b" ")[1], server.received_heads) == (b"429", [])
        await edge.__aexit__()


@in_event_loop
async def test_a_start_waits_for_a_silent_agent_no_longer_than_the_drain_grace() -> None:
    async with (
        StubAppServer() as server,
        StubAppServer(*[None] * 9) as agent,
        RunningNode(server.address, discovery="{}:{}".format(*agent.address)) as edge,
    ):
        assert (await edge.send_request(encode_request()))[1] == b"hello"
        assert edge.node.config.deployment.drain_grace_ms == 250.0


@in_event_loop
async def test_of_two_discovery_addresses_the_one_that_answers_is_watched() -> None:
    async with (
        StubAppServer() as server,
        StubAppServer((encode_list_response(5, "draining"), False), None) as agent,
    ):
        open_address = "{}:{}".format(*agent.address)
        closed_address = "127.0.0.1:1"
        for first, other in ((closed_address, open_address), (open_address, closed_address)):
            agent.answers = [(encode_list_response(5, "draining"), False), None]
            async with RunningNode(server.address, discovery=first, discovery_too=other) as edge:
                assert edge.node.discovery.address == agent.address
                assert (await edge.send_request(encode_request()))[0].split(b" ")[1] == b"429"
        assert server.received_heads == []


@in_event_loop
async def test_after_any_failed_poll_the_agents_list_is_received_soon() -> None:
    overloaded = b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"
    complete = encode_list_response(5, "draining")
    truncated = [(complete[:9], True), (complete[:-3], True), (complete[:-3], False)]
    for failure in ((overloaded, False), *truncated, (b"", True), None):
        started_at = asyncio.get_running_loop().time()
        async with StubAppServer(failure, (complete, False), *[None] * 9) as agent:
            posted, _ = await watch(agent, 3)
        assert [event.generation for event in posted if isinstance(event, EndpointUpdate)] == [5], failure
        # The next poll requests an immediate answer.
        assert b"since=4&timeout_ms=1 " in agent.received_heads[1]
        assert asyncio.get_running_loop().time() - started_at < 2.0


@in_event_loop
async def test_an_agent_with_a_malformed_or_no_answer_is_polled_again() -> None:
    nonsense = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"
    with mock.patch.object(PollSchedule, "on_poll_started", autospec=True, return_value=400.0):
        async with StubAppServer(
            (nonsense, False), None, (encode_list_response(5, "up"), False), None
        ) as agent:
            posted, events = await watch(agent, 4)
    assert [type(event) for event in posted] == [EndpointUpdateFailed, EndpointUpdate]
    assert events[:2] == ["discovery down", "discovery up"]
