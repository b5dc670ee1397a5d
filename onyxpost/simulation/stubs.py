"""App servers and discovery agents that speak the published protocol: on sockets or on the virtual clock."""

from __future__ import annotations

import asyncio
import contextlib
import re
from math import inf
from typing import Any, Protocol

import h11
import msgspec

from onyxpost.config.address import Address
from onyxpost.core.types import EndpointState
from onyxpost.runtime.http1 import READ_CHUNK_BYTES, encode_message
from onyxpost.runtime.transport import Listener, Transport

LIFECYCLES = {EndpointState.READY: "up", EndpointState.DRAINING: "draining", EndpointState.GONE: "removed"}
LIMIT, ACCEPTS = 65536, 16
TIMEOUT = re.compile(rb"timeout_ms=(\d+)")


async def whole(
    http: h11.Connection, reader: asyncio.StreamReader, most: float = inf
) -> tuple[h11.Request, bytes] | None:
    """The next req with its body, as a stand-in reads it; None: none comes any more, or over `most` bytes."""
    head: h11.Request | None = None
    body = b""
    while True:
        event: Any = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(READ_CHUNK_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > most:
                return None
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return head, body
        else:
            return None


class Watching(Protocol):
    """Whoever wants to know what reaches the stand-ins, and what they tell."""

    def reached(self, writer: asyncio.StreamWriter, trace: str, server: AppServer) -> tuple[str, int]: ...
    def never_ran(self, node: str, trace: str, number: int) -> None: ...
    def list_told(self, number: int, rows: list[dict[str, Any]]) -> None: ...


class Nobody:
    def reached(self, writer: asyncio.StreamWriter, trace: str, server: AppServer) -> tuple[str, int]:
        return "", 0

    def never_ran(self, node: str, trace: str, number: int) -> None:
        pass

    def list_told(self, number: int, rows: list[dict[str, Any]]) -> None:
        pass


class AppServer:
    """A stand-in with a mind of its own about what to answer."""

    def __init__(
        self, net: Transport, watching: Watching, number: int, life: int, address: Address, zone: str
    ) -> None:
        self.host = f"s{number}.{life}"
        self.net, self.watching, self.number, self.life = net, watching, number, life
        self.id, self.address, self.zone = f"s{number}-{life}", address, zone
        self.standing, self.started = EndpointState.READY, 0.0  # started: Unix ms; 0: long ago
        self.how, self.delay = "serve", 20.0
        self.spoil: list[str] = []
        self.served = 0
        self.listener: Listener | None = None

    async def open(self) -> None:
        self.listener = await self.net.listen(self.serve, self.address, LIMIT, ACCEPTS)

    def row(self) -> dict[str, Any]:
        return {
            "instanceId": self.id,
            "hostPort": "{}:{}".format(*self.address),
            "zone": self.zone,
            "cell": self.number % 2,
            "lifecycle": LIFECYCLES[self.standing],
            "startedAtMs": self.started,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError, asyncio.IncompleteReadError):
            while await self.one(http, reader, writer):
                http.start_next_cycle()
        writer.close()

    async def one(
        self, http: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        came = await whole(http, reader)
        if came is None:
            return False
        named = dict(came[0].headers)
        trace = named.get(b"x-trace-id", b"").decode()
        node, number = self.watching.reached(writer, trace, self)
        how, delay = self.how, self.delay
        if how == "busy" or self.standing is not EndpointState.READY:
            self.watching.never_ran(node, trace, number)
            headers = [("X-Never-Ran", "1"), ("Content-Length", "0")]
            writer.write(encode_message(http, h11.Response(status_code=503, headers=headers)))
            return True
        await asyncio.sleep(delay / 1000.0)
        if how == "hang":
            await asyncio.sleep(3600.0)
        if how == "drop":
            writer.transport.abort()
            return False
        if how == "fail":
            writer.write(
                encode_message(http, h11.Response(status_code=500, headers=[("Content-Length", "0")]))
            )
            return True
        body = b"page of " + trace.encode()
        response = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
        text = encode_message(http, response, body)
        if self.spoil:
            writer.write(spoilt(self.spoil.pop(0), text))
            return False
        self.served += 1
        writer.write(text)
        return True


def spoilt(how: str, text: bytes) -> bytes:
    match how:
        case "short":
            return text[:-3]
        case "twice":
            return text + text.replace(b"page of", b"copy of")
        case "noise":
            return b"\x16\x03\x01 noise \r\n\r\n" + text
        case _:
            return text.replace(b"Content-Length: ", b"Content-Length: 9")


class Agent:
    """One node's discovery agent."""

    def __init__(self, net: Transport, watching: Watching, number: int, address: Address) -> None:
        self.net, self.watching, self.number, self.address = net, watching, number, address
        self.generation = 1
        self.changed = asyncio.Event()
        self.held: dict[str, dict[str, Any]] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.silent = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: Listener | None = None

    async def open(self) -> None:
        self.listener = await self.net.listen(self.serve, self.address, LIMIT, ACCEPTS)

    def learn(self, row: dict[str, Any]) -> None:
        """What the agent has been sent counts as told once it has written it."""
        self.generation += 1
        self.held[row["instanceId"]] = row
        self.log.append((self.generation, row))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                while self.silent:
                    await asyncio.sleep(0.05)
                rows, text = await self.newer(head)
                self.watching.list_told(self.number, rows)
                writer.write(text)
        self.writers.discard(writer)
        writer.close()

    async def newer(self, head: bytes) -> tuple[list[dict[str, Any]], bytes]:
        """The rows that a question gets and its whole answer, once there is something newer."""
        since, reset = self.generation, True
        if b"since=" in head:
            since, reset = int(head.split(b"since=")[1].split(b"&")[0]), False
            asked = TIMEOUT.search(head)
            if since >= self.generation:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(asked[1]) / 1000.0 if asked else 5.0):
                        await self.changed.wait()
        rows = list(self.held.values()) if reset else [row for g, row in self.log if g > since]
        if reset:
            rows = [row for row in rows if row["lifecycle"] != "removed"]
        text = msgspec.json.encode({"generation": self.generation, "reset": reset, "instances": rows})
        return rows, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)
