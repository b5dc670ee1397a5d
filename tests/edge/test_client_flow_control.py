"""Clients that send too much or read too little do not delay other clients or exhaust memory.

A node without these limits buffers all answers that a client does not read, and processes all its input
before that of other clients.
"""

from __future__ import annotations

import asyncio
import socket

from onyxpost.edge import client_http
from tests.edge.client_sockets import LINGER_RESET, connect_client
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import (
    RunningNode,
    StubAppServer,
    encode_request,
)


@in_event_loop
async def test_tcp_nodelay_is_set_for_clients_and_servers() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        await edge.send_request(encode_request())
        ((upstream,),) = edge.node.upstream_pool.idle_connections.values()
        (client,) = edge.node.clients.connections.open.values()
        for writer in (client.writer, upstream.writer):
            sock = writer.transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


@in_event_loop
async def test_a_client_that_reads_no_answers_is_disconnected() -> None:
    page = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60000
    async with StubAppServer(*[(page, False)] * 400) as server, RunningNode(server.address) as edge:
        edge.writer.close()
        await wait_until(lambda: not edge.node.clients.connections.open)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(edge.address[:2])
        sent_count = 0
        await wait_until(lambda: len(edge.node.clients.connections.open) == 1)
        (connection,) = edge.node.clients.connections.open.values()
        async with asyncio.timeout(10.0):
            while connection.connection_id in edge.node.clients.connections.open and sent_count < 400:
                sent_count += 1
                client.sendall(encode_request(trace=f"t{sent_count}"))
                while connection.connection_id in edge.node.clients.connections.open and (
                    edge.node.state_machine.requests.received_count < sent_count
                    or connection.has_unanswered_request
                ):
                    await asyncio.sleep(0)
        assert sent_count < 400
        unsent_bytes = connection.writer.transport.get_write_buffer_size()
        assert unsent_bytes < client_http.MAX_UNSENT_BYTES + 2 * 65536
        client.close()


@in_event_loop
async def test_clients_that_flood_and_disconnect_delay_no_other_and_leak_nothing() -> None:
    endless = encode_request()[:-2] + b"A: b\r\n" * 9000
    floods = (encode_request("other") * 500, encode_request() * 500, b"\0" * 90000, endless)
    async with StubAppServer(*[None] * 600) as server, RunningNode(server.address) as edge:
        server.answers.clear()
        for turn in range(20):  # each client reconnects at once
            for number, flood in enumerate(floods):
                client = connect_client(edge)
                client.setblocking(False)
                client.send(flood)
                if number % 2:
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                client.close()
            assert (await edge.send_request(encode_request(trace=f"good{turn}")))[1] == b"hello"
        await wait_until(
            lambda: len(edge.node.clients.connections.open) == 1 and not edge.node.clients.connections.closing
        )
        await wait_until(lambda: not edge.node.state_machine.requests.by_id)
        assert b"fault" not in edge.log_output.getvalue()
