"""The disconnect of a client with a request in flight is detected, even if it is still unread.

If it is missed, the node starts attempts whose answer nobody waits for.
"""

from __future__ import annotations

import asyncio
import socket
from random import Random
from typing import TYPE_CHECKING, Any

import pytest

from onyxpost.edge.client_components import build_clients
from onyxpost.simulation import virtual_time
from tests.edge.client_sockets import LINGER_RESET, connect_client
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import (
    RunningNode,
    StubAppServer,
    encode_request,
)
from tests.stream_transports import pause_reading

if TYPE_CHECKING:
    from onyxpost.edge.messages import EdgeEvent


async def send_unanswered_request(edge: RunningNode, server: StubAppServer) -> tuple[socket.socket, int]:
    client = connect_client(edge)
    client.sendall(encode_request("toll", Idempotency_Key="k", X_Expires_In="4900m"))
    await wait_until(lambda: server.received_heads)
    ((connection_id, _),) = [
        item for item in edge.node.clients.connections.open.items() if item[1].has_unanswered_request
    ]
    return client, connection_id


@pytest.mark.parametrize("disconnect", ["close", "reset", "half", "bytes ahead", "bytes ahead of a reset"])
@in_event_loop
async def test_a_disconnect_is_seen_before_the_loop_has_read_it(disconnect: str) -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        client, connection_id = await send_unanswered_request(edge, server)
        is_waiting = edge.node.clients.connections.is_waiting
        assert (is_waiting(connection_id), is_waiting(connection_id + 9)) == (True, False)
        if "ahead" in disconnect:
            client.sendall(encode_request(trace="ahead"))
            assert is_waiting(connection_id)  # the client can still read the answer
        if "reset" in disconnect:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        if disconnect == "half":
            client.shutdown(socket.SHUT_WR)
        else:
            client.close()
        assert not is_waiting(connection_id)
        await wait_until(lambda: server.closed.is_set())  # the attempt is cancelled too
        assert (is_waiting(connection_id), edge.node.state_machine.unanswered_count) == (False, 0)
        client.close()


@in_event_loop
async def test_a_client_with_its_answer_no_longer_waits() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        await edge.send_request(encode_request())
        assert [
            edge.node.clients.connections.is_waiting(connection_id)
            for connection_id in edge.node.clients.connections.open
        ] == [False]


def test_on_the_virtual_network_a_disconnect_is_seen_once_it_has_arrived() -> None:
    async def main() -> list[bool]:
        net = virtual_time.Network(Random("net"))
        received = asyncio.Event()
        deployment: Any = RunningNode(("127.0.0.1", 9)).node.config.deployment
        host = net.host("edge")

        def post_event(value: EdgeEvent) -> None:
            received.set()

        clients = build_clients(deployment, host, post_event, lambda: True, lambda: True, print, print)
        await clients.listener.listen(("edge", 80))
        waiting_results = []
        for reset in (False, True):
            received.clear()
            _, writer, *_ = await net.host("client").dial(("edge", 80), 1000)
            writer.write(encode_request())
            await received.wait()
            connection_id = clients.listener.accepted_count
            waiting_results.append(clients.connections.is_waiting(connection_id))
            # Simulates an event loop that is late.
            pause_reading(clients.connections.open[connection_id].writer)
            if reset:
                writer.transport.abort()
            else:
                writer.close()
            await asyncio.sleep(0.1)
            waiting_results.append(clients.connections.is_waiting(connection_id))
        clients.listener.close()
        return waiting_results

    assert virtual_time.run(main()) == [True, False, True, False]
