"""A node with few descriptors still watches discovery, sends attempts and answers /healthz, over loopback.

Idle clients could otherwise hold all descriptors, so that the node can neither poll nor forward requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import resource
import socket
import sys
from typing import TYPE_CHECKING

import pytest

from onyxpost.edge.descriptor_budget import ExhaustionLogLimiter
from tests.edge.event_loop import in_event_loop, wait_until
from tests.edge.harness import RunningNode, StubAppServer, encode_request, node_fields

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from onyxpost.runtime.transport import DialedConnection

HEALTH_CHECK = b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n"
PROCESS_DESCRIPTORS = 16  # descriptors of the standard streams, the event loop and the interpreter
NODE_LIMIT = 40
CLIENT_COUNT = 80


class DiscoveryAgent:
    """Leaves polls unanswered until `answers` is set, and then answers new ones with a second server."""

    def __init__(self, second_server: tuple[str, int]) -> None:
        self.second_server = second_server
        self.answers = False
        self.list_received = asyncio.Event()  # set by a poll for changes after the sent list
        self.polled_again = asyncio.Event()  # set by each poll
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> DiscoveryAgent:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(OSError, EOFError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.polled_again.set()
                if b"since=9" in head:
                    self.list_received.set()
                if self.answers and b"since=9" not in head:
                    body = self.encode_list()
                    writer.write(b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def encode_list(self) -> bytes:
        instances = [
            {"instanceId": "s0", "lifecycle": "draining"},
            {"instanceId": "s9", "lifecycle": "up", "hostPort": "{}:{}".format(*self.second_server)},
        ]
        return json.dumps({"generation": 9, "reset": False, "instances": instances}).encode()


async def read_status(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(5.0):
        return (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]


async def request_status(address: tuple[str, int], data: bytes) -> bytes:
    """Sends a request on a new connection and returns the status of the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return await read_status(reader)
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def idle_clients(address: tuple[str, int], count: int) -> AsyncIterator[list[bytes]]:
    """Connects clients that each send one health check and then stay idle; yields the statuses."""
    statuses = []
    writers = []
    try:
        for _ in range(count):
            reader, writer = await asyncio.open_connection(*address)
            writers.append(writer)
            writer.write(HEALTH_CHECK)
            statuses.append(await read_status(reader))
        yield statuses
    finally:
        for writer in writers:
            writer.close()


async def assert_served_with_idle_clients(
    address: tuple[str, int], agent: DiscoveryAgent, servers: list[StubAppServer], client_count: int
) -> None:
    """Asserts that a node serves requests while idle clients use up its descriptors.

    Discovery is silent until the clients are connected, and one request stays in flight throughout.
    """
    first, second = servers
    in_flight_reader, in_flight_writer = await asyncio.open_connection(*address)
    in_flight_writer.write(encode_request(trace="held"))
    await wait_until(lambda: first.received_heads)
    async with idle_clients(address, client_count) as statuses:
        assert set(statuses) == {b"200"}
        assert await request_status(address, HEALTH_CHECK) == b"200"
        assert await request_status(address, encode_request(trace="t2")) == b"200"
        agent.polled_again.clear()
        async with asyncio.timeout(3.0):
            await agent.polled_again.wait()  # a poll on a new connection, despite the idle clients
            agent.answers = True
            await agent.list_received.wait()
        assert await request_status(address, encode_request(trace="t3")) == b"200"
        assert [head for head in second.received_heads if b"t3" in head]
        assert await request_status(address, HEALTH_CHECK) == b"200"
        async with asyncio.timeout(3.0):  # its server drains without an answer; a retry may have succeeded
            status = (await in_flight_reader.readuntil(b"\r\n")).split(b" ")[1]
        assert status in (b"200", b"429", b"502", b"503")
    in_flight_writer.close()


def test_exhaustion_is_logged_once_in_a_while_and_other_errors_always() -> None:
    limiter = ExhaustionLogLimiter()
    exhausted = OSError(errno.EMFILE, "Too many open files")
    times_ms = [0.0, 0.1, 9_999.0, 10_000.0, 10_001.0]
    are_suppressed = [limiter.should_suppress(at, exhausted) for at in times_ms]
    assert are_suppressed == [False, True, True, False, True]
    assert not limiter.should_suppress(10_002.0, OSError(errno.EIO, "x"))
    assert not limiter.should_suppress(10_002.0, None)


@pytest.mark.parametrize("sockets", [40, 64])
@in_event_loop
async def test_a_node_with_a_small_limit_in_its_file_goes_on_serving(sockets: int) -> None:
    async with (
        StubAppServer(None) as first,
        StubAppServer() as second,
        DiscoveryAgent(second.address) as agent,
    ):
        section = {"sockets": sockets}
        async with RunningNode(first.address, limits=section, discovery=agent.address) as edge:
            await assert_served_with_idle_clients(edge.address, agent, [first, second], 2 * sockets)


async def start_process(path: Path, descriptor_limit: int) -> asyncio.subprocess.Process:
    """Starts a node with the file at `path` in a process with a limit of open descriptors."""
    limits = (descriptor_limit, descriptor_limit)
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "onyxpost",
        "serve",
        env=os.environ | {"EDGE_CONFIG": str(path)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits),
    )


async def run_process(folder: Path, descriptor_limit: int, sockets: int) -> str:
    """Runs a node in a process with a limit of open descriptors and returns its output."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    async with (
        StubAppServer(None) as first,
        StubAppServer() as second,
        DiscoveryAgent(second.address) as agent,
    ):
        section = {"sockets": sockets}
        listen = "{}:{}".format(*address)
        fields = node_fields(first.address, limits=section, discovery=agent.address, listen=listen)
        path = folder / "node.json"
        path.write_text(json.dumps(fields))
        process = await start_process(path, descriptor_limit)
        assert process.stdout is not None
        output = b""
        try:
            async with asyncio.timeout(20.0):
                while b"serving" not in output:
                    line = await process.stdout.readline()
                    assert line, output.decode()
                    output += line
            await assert_served_with_idle_clients(address, agent, [first, second], CLIENT_COUNT)
            process.terminate()
            output += (await asyncio.wait_for(process.communicate(), 20.0))[0]
            assert process.returncode == 0, output.decode()
        finally:
            if process.returncode is None:
                process.kill()
                await process.communicate()
        return output.decode()


@in_event_loop
async def test_a_process_that_may_open_what_its_file_allows_never_runs_out(tmp_path: Path) -> None:
    output = await run_process(tmp_path, NODE_LIMIT + PROCESS_DESCRIPTORS, NODE_LIMIT)
    assert "out of system resource" not in output
    assert "Too many open files" not in output


@in_event_loop
async def test_a_process_that_may_open_less_than_its_file_allows_never_runs_out(tmp_path: Path) -> None:
    output = await run_process(tmp_path, NODE_LIMIT + PROCESS_DESCRIPTORS, 1024)
    assert "Too many open files" not in output


@pytest.mark.parametrize("shortages", [["capacity"], ["dial"], ["capacity", "dial"]])
@in_event_loop
async def test_no_server_is_ejected_for_a_shortage_on_this_machine(shortages: list[str]) -> None:
    async def fail_to_dial(*_: object) -> DialedConnection:
        raise OSError(errno.EMFILE, "too many")

    async with StubAppServer() as one, StubAppServer() as two, RunningNode(one.address, two.address) as edge:
        node = edge.node
        for shortage in shortages:
            with pytest.MonkeyPatch.context() as patch:
                if shortage == "capacity":
                    patch.setattr(node.upstream_pool, "has_capacity", lambda: False)
                else:
                    patch.setattr(node.transport, "dial", fail_to_dial)
                assert b" 429 " in (await edge.send_request(encode_request(trace=shortage)))[0]
        assert b" ejected: " not in edge.log_output.getvalue()
        assert b" 200 " in (await edge.send_request(encode_request(trace="then")))[0]
        assert len(one.received_heads + two.received_heads) == 1
