"""Clients and an edge node closing on each other: what has arrived counts, read or not."""

import asyncio
import socket
import struct
import unittest
from random import Random
from typing import Any

from onyxpost.edge import messages as m
from onyxpost.edge.clients import Clients
from onyxpost.lab import virtual
from tests.host import AppServer, Edge, wire_req

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset


def dial(edge: Edge) -> socket.socket:
    """A client whose bytes and close the edge's loop finds only once it runs again."""
    client = socket.create_connection(edge.address[:2])
    client.settimeout(5.0)
    return client


async def until(met: Any) -> None:
    async with asyncio.timeout(5.0):
        while not met():
            await asyncio.sleep(0.001)


class Gone(unittest.IsolatedAsyncioTestCase):
    async def waiting(self, edge: Edge, server: AppServer) -> tuple[socket.socket, int]:
        client = dial(edge)
        client.sendall(wire_req("toll", Idempotency_Key="k", X_Expires_In="4900m"))
        await until(lambda: server.got)
        ((number, _),) = [item for item in edge.program.clients.open.items() if item[1].waits]
        return client, number

    async def test_its_end_is_seen_before_the_loop_has_read_it(self) -> None:
        for how in ("close", "reset", "half", "bytes ahead", "bytes ahead of a reset"):
            with self.subTest(how):
                async with AppServer(None) as server, Edge(server.address) as edge:
                    client, number = await self.waiting(edge, server)
                    there = edge.program.clients.there
                    self.assertEqual((there(number), there(number + 9)), (True, False))
                    if "ahead" in how:
                        client.sendall(wire_req(trace="ahead"))
                        self.assertTrue(there(number))  # it may still read its answer
                    if "reset" in how:
                        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    if how == "half":
                        client.shutdown(socket.SHUT_WR)
                    else:
                        client.close()
                    self.assertFalse(there(number))
                    await until(lambda server=server: server.closed.is_set())  # its attempt too
                    self.assertEqual((there(number), edge.program.reducer.owed), (False, 0))
                    client.close()

    async def test_one_that_has_its_answer_waits_no_more(self) -> None:
        async with AppServer() as server, Edge(server.address) as edge:
            await edge.ask(wire_req())
            self.assertEqual([edge.program.clients.there(number) for number in edge.program.clients.open],
                             [False])  # fmt: skip

    def test_on_the_virtual_network_an_end_shows_once_it_has_arrived(self) -> None:
        async def main() -> list[bool]:
            net, asked = virtual.Network(Random("net")), asyncio.Event()
            deployment: Any = Edge(("127.0.0.1", 9)).program.node.deployment
            host = net.host("edge")

            def post(value: m.Incoming) -> None:
                asked.set()

            clients = Clients(deployment, host, post, lambda: True, lambda: True, print)
            await clients.listen(("edge", 80))
            seen = []
            for reset in (False, True):
                asked.clear()
                _, writer, _ = await net.host("client").dial(("edge", 80), 1000)
                writer.write(wire_req())
                await asked.wait()
                number = clients.opened
                seen.append(clients.there(number))
                clients.open[number].writer.transport.pause_reading()  # as if the loop were late
                if reset:
                    writer.transport.abort()
                else:
                    writer.close()
                await asyncio.sleep(0.1)
                seen.append(clients.there(number))
            clients.stop_listening()
            return seen

        self.assertEqual(virtual.run(main()), [True, False, True, False])


class Answered(unittest.IsolatedAsyncioTestCase):
    async def test_small_writes_to_clients_and_servers_are_not_held_back(self) -> None:
        async with AppServer() as server, Edge(server.address) as edge:
            await edge.ask(wire_req())
            ((link,),) = edge.program.servers.idle.values()
            (client,) = edge.program.clients.open.values()
            for writer in (client.writer, link.writer):
                sock = writer.transport.get_extra_info("socket")
                self.assertTrue(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
