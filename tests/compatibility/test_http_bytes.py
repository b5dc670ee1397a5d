"""An edge node sends the recorded HTTP bytes to app servers and clients.

The recorded exchanges in `data/http_exchanges.json` contain the clients' bytes, the app servers' answers, the
bytes received by both sides, and the times at which connections end. Each exchange runs with a complete edge
node on the virtual network. Its clock and delays are fixed, so the comparison is exact and also covers
X-Expires-In and the times of closed connections.

The data was recorded before the names of the program were changed; see `record_http_and_wire.py`. It does
not change, except where it recorded a fault: the exchanges "without length" expected whole answers to be
discarded.
"""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import re
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple, Protocol

import pytest

Address = tuple[str, int]
Pieces = list[list[Any]]  # bytes as pairs of a latin-1 text and the number of its repetitions
Case = dict[str, Any]  # one recorded exchange as JSON

DATA = Path(__file__).parent / "data" / "http_exchanges.json"
NODE_ADDRESS: Address = ("10.0.0.1", 8081)
START_SECONDS = 1.0  # virtual time at which an exchange begins, when the node already serves
READ_SIZE_BYTES = 65536
LONG_RUN = re.compile(rb"(.)\1{199,}", re.DOTALL)


class Connection(NamedTuple):
    """A connection on the virtual network."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Network(Protocol):
    """Interface of an exchange to the virtual network and to the edge node on it."""

    async def listen(self, address: Address, serve: Serve) -> None: ...
    async def connect(self, address: Address) -> Connection: ...
    def stop_node(self) -> None: ...


class ConstantRandom(Random):
    """Random numbers with a constant value, which make the delays of the virtual network constant."""

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2.0

    def random(self) -> float:
        return 0.5


def run_with_node(
    node_file: dict[str, Any], play: Callable[[Network], Awaitable[dict[str, Any]]]
) -> dict[str, Any]:
    """Runs `play` while a complete edge node runs on the virtual clock.

    Only this function of the module uses names of the program.
    """
    from onyxpost.node import config
    from onyxpost.node.edge_node import EdgeNode
    from onyxpost.runtime.structured_log import StructuredLog
    from onyxpost.simulation import virtual_time

    async def main() -> dict[str, Any]:
        network = virtual_time.Network(ConstantRandom())
        node_host = network.host("node")

        class VirtualNetwork:
            async def listen(self, address: Address, serve: Serve) -> None:
                await network.host("servers").listen(serve, address, READ_SIZE_BYTES, 16)

            async def connect(self, address: Address) -> Connection:
                line = await network.dial("client", address, READ_SIZE_BYTES)
                return Connection(line.reader, line.writer)

            def stop_node(self) -> None:
                node_host.send_sigterm()

        settings = config.decode_config(node_file)
        log = StructuredLog("n0", out=io.TextIOWrapper(io.BytesIO()))
        program = EdgeNode(settings, log, lambda: settings, node_host)
        running = asyncio.get_running_loop().create_task(program.run())
        try:
            return await play(VirtualNetwork())
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            program.close()

    result: dict[str, Any] = virtual_time.run(main())
    return result


def packed(data: bytes) -> Pieces:
    """Returns bytes in the form of the recorded JSON, in which long runs of one byte are shortened."""
    pieces: Pieces = []
    end = 0
    for run in LONG_RUN.finditer(data):
        if run.start() > end:
            pieces.append([data[end : run.start()].decode("latin-1"), 1])
        pieces.append([run[1].decode("latin-1"), len(run[0])])
        end = run.end()
    if end < len(data):
        pieces.append([data[end:].decode("latin-1"), 1])
    return pieces


def unpacked(pieces: Pieces) -> bytes:
    return b"".join(text.encode("latin-1") * times for text, times in pieces)


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Returns the bytes of one request: its head, and a body of the length given by Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    return head + (await reader.readexactly(int(length[1])) if length else b"")


class AppServer:
    """Stores the received requests by connection, and sends the scripted answers in order.

    An answer consists of its bytes and an action: "keep" keeps the connection open, "close" closes it,
    "reset" aborts it, and "hang" waits for the other side to close it.
    """

    def __init__(self, answers: list[Any]) -> None:
        self.answers = list(answers)
        self.connections: list[list[bytes]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests: list[bytes] = []
        self.connections.append(requests)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                requests.append(await read_request(reader))
                pieces, then = self.answers.pop(0)
                writer.write(unpacked(pieces))
                if then == "hang":
                    await reader.read()
                if then == "reset":
                    writer.transport.abort()
                if then != "keep":
                    break
        writer.close()


async def play_client(network: Network, script: dict[str, Any], until_ms: float) -> dict[str, Any]:
    """Connects, writes each part at its time, and returns the bytes received until the end of the exchange.

    Times are in ms from the start of the exchange. `ended` is None if the connection is open at its end.
    """
    loop = asyncio.get_running_loop()

    def now_ms() -> float:
        return round((loop.time() - START_SECONDS) * 1000.0, 3)

    async def wait_until(at_ms: float) -> None:
        await asyncio.sleep(max(0.0, START_SECONDS + at_ms / 1000.0 - loop.time()))

    await wait_until(script["connect_at_ms"])
    connection = await network.connect(NODE_ADDRESS)

    async def write_all() -> None:
        for at_ms, pieces in script["writes"]:
            await wait_until(at_ms)
            connection.writer.write(unpacked(pieces))

    received = bytearray()
    ended = None
    writing = loop.create_task(write_all())
    try:
        async with asyncio.timeout_at(START_SECONDS + until_ms / 1000.0):
            while data := await connection.reader.read(READ_SIZE_BYTES):
                received += data
            ended = {"how": "closed", "at_ms": now_ms()}
    except TimeoutError:
        pass
    except OSError:
        ended = {"how": "reset", "at_ms": now_ms()}
    writing.cancel()
    connection.writer.close()
    return {"received": packed(bytes(received)), "ended": ended}


def play(case: Case) -> dict[str, Any]:
    """Runs one exchange; returns the answers to clients and the requests that app servers received."""

    async def exchange(network: Network) -> dict[str, Any]:
        servers = [AppServer(answers) for answers in case["servers"]]
        for number, server in enumerate(servers):
            await network.listen((f"10.1.0.{number}", 9000), server.serve)
        await asyncio.sleep(START_SECONDS - asyncio.get_running_loop().time())
        if (stop_at_ms := case["stop_at_ms"]) is not None:
            asyncio.get_running_loop().call_later(stop_at_ms / 1000.0, network.stop_node)
        clients = [play_client(network, script, case["until_ms"]) for script in case["clients"]]
        answered = await asyncio.gather(*clients)
        forwarded = [[[packed(r) for r in requests] for requests in s.connections] for s in servers]
        return {"clients": answered, "forwarded": forwarded}

    return run_with_node(case["node_file"], exchange)


def recorded() -> dict[str, Case]:
    """Returns the recorded exchanges by name; empty if the data file does not exist yet."""
    if not DATA.exists():
        return {}
    data = json.loads(DATA.read_text())
    return {
        name: case | {"node_file": data["node_files"][case["node_file"]]}
        for name, case in data["cases"].items()
    }


CASES = recorded()


@pytest.mark.parametrize("name", CASES)
def test_exchange_is_the_same_byte_for_byte(name: str) -> None:
    assert play(CASES[name]) == CASES[name]["expected"]


def statuses() -> dict[bytes, int]:
    """Returns how often each status occurs in the answers of the recorded exchanges."""
    counts: dict[bytes, int] = {}
    for case in CASES.values():
        for client in case["expected"]["clients"]:
            for status in re.findall(rb"HTTP/1\.1 (\d{3})", unpacked(client["received"])):
                counts[status] = counts.get(status, 0) + 1
    return counts


def test_recorded_exchanges_cover_every_status() -> None:
    expected = {b"100", b"200", b"400", b"404", b"405", b"408", b"413", b"429", b"502", b"503"}
    assert expected <= statuses().keys()
