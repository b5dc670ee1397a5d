"""Stand-ins of the second review: app servers, a discovery agent, clients, and a runner of edge nodes.

Standard library only. Everything listens on free ports of 127.0.0.1, on the real clock. The stand-ins do what
the operators' protocol page says, and a case tells them which of the named disruptions to act out.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
READY_TIMEOUT_SECONDS = 20.0


class CannotRunError(Exception):
    """The case could not be run, so that it says nothing about the rule."""


def now() -> float:
    """Unix time in seconds; every process of a case reads the same clock."""
    return time.time()


def free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Returns ports that were free just now, all different."""
    sockets = []
    for _ in range(count):
        sock = socket.socket(socket.AF_INET, kind)
        sock.bind((LOOPBACK, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Record:
    """Writes what was sent, answered and run to `record.txt`, with times in seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self.started_at = now()
        self._file = (folder / "record.txt").open("w", buffering=1)

    def write(self, *words: object, at: float | None = None) -> None:
        """Writes one line."""
        seconds = (now() if at is None else at) - self.started_at
        self._file.write(f"{seconds:9.3f} " + " ".join(str(word) for word in words) + "\n")


# HTTP


class Message(NamedTuple):
    """A request or response, read whole."""

    first_byte_at: float
    first_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads one message with a `Content-Length` or no body; None at the end of the stream."""
    first = await reader.read(1)
    if not first:
        return None
    first_byte_at = now()
    head = first + await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return Message(first_byte_at, first_line, headers, await reader.readexactly(length) if length else b"")


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Returns the bytes of a response with a `Content-Length`."""
    lines = [
        f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset, as the death of its process would."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A listening socket whose connections are all closed by `close`."""

    def __init__(self) -> None:
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self, port: int = 0) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._connected, LOOPBACK, port, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops to listen, and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        raise NotImplementedError


class Dispatch(NamedTuple):
    """A request that has reached an app server whole."""

    server: str
    trace_id: str
    first_byte_at: float
    last_byte_at: float


class AppServer(Server):
    """An app server: it answers each request with 200 and a page that only this request gets."""

    def __init__(
        self, name: str, record: Record, latency_seconds: float = 0.02, cell: int = 0, zone: str = "a"
    ):
        super().__init__()
        self.name = name
        self.record = record
        self.latency_seconds = latency_seconds
        self.cell = cell
        self.zone = zone
        self.lifecycle = "up"
        self.answers_while_leaving = False
        self.started_at_ms = 0
        self.dispatches: list[Dispatch] = []

    def row(self) -> dict[str, Any]:
        """Returns the entry of this server in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "machineType": "m1",
            "cell": self.cell,
            "lifecycle": self.lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            trace_id = message.headers.get("x-trace-id", "")
            dispatch = Dispatch(self.name, trace_id, message.first_byte_at, now())
            self.dispatches.append(dispatch)
            self.record.write("run", self.name, trace_id, at=dispatch.last_byte_at)
            await self.answer(message, trace_id, writer)

    async def answer(self, message: Message, trace_id: str, writer: asyncio.StreamWriter) -> None:
        """Runs a request and answers it; while the server drains, it turns the request away instead."""
        if self.lifecycle != "up" and not self.answers_while_leaving:
            writer.write(response(503, b"", "X-Never-Ran: 1"))
            return
        await asyncio.sleep(self.latency_seconds)
        writer.write(response(200, page_of(trace_id)))


def page_of(trace_id: str) -> bytes:
    """Returns the body with which an app server answers a request."""
    return b"page of " + trace_id.encode()


class DiscoveryAgent(Server):
    """The agent on an edge node's machine; it answers at once with what it holds.

    `deliver` writes an encoded answer to a watch; a case replaces it to act out a disruption.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.generation = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.holds_calls_for = 0.0  # seconds for which a call waits before it is looked at
        self.deliver: Callable[[asyncio.StreamWriter, bytes], Awaitable[None]] = self.deliver_at_once
        self._changed = asyncio.Event()

    def update(self, row: dict[str, Any]) -> None:
        """Has a new or changed entry, which all watches are answered with."""
        self.generation += 1
        self.rows[row["instanceId"]] = row
        if row["lifecycle"] == "removed":
            del self.rows[row["instanceId"]]
        self.changes.append((self.generation, row))
        self.record.write("discovery has", self.generation, row["instanceId"], row["lifecycle"])
        self._changed.set()
        self._changed = asyncio.Event()

    def known(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            await asyncio.sleep(self.holds_calls_for)
            target = message.first_line.split(" ")[1]
            query = dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if "=" in part)
            body = json.dumps(await self._answer(query)).encode()
            await self.deliver(writer, body)

    async def _answer(self, query: dict[str, str]) -> dict[str, Any]:
        if "since" not in query:
            return self.known()
        since = int(query["since"])
        if since >= self.generation:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("timeout_ms", 60000)) / 1000.0):
                    await self._changed.wait()
        rows = {row["instanceId"]: row for generation, row in self.changes if generation > since}
        return {"generation": self.generation, "reset": False, "instances": list(rows.values())}

    async def deliver_at_once(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        """Writes an answer whole."""
        writer.write(response(200, body, "Content-Type: application/json"))
        await writer.drain()


# Clients


class Answer(NamedTuple):
    """What a client got for a request; status 0 if its connection ended, -1 if no answer came in time."""

    trace_id: str
    status: int
    body: bytes
    sent_at: float
    ended_at: float


class Request(NamedTuple):
    """What a client asks for."""

    frontend: str
    plan: str
    customer: int
    units: int
    timeout_ms: int
    method: str = "GET"
    body: bytes = b""
    key: str = ""
    spread: int = 1
    first: int = 0

    def encode(self, trace_id: str) -> bytes:
        """Returns the bytes of the request, with a fresh id."""
        lines = [
            f"{self.method} /{self.frontend} HTTP/1.1",
            "Host: backend.local",
            f"X-Trace-Id: {trace_id}",
            f"Plan: {self.plan}",
            f"Cookie: key={self.customer:016x}",
            f"X-Expires-In: {self.timeout_ms}m",
            f"Quota-Info: units={self.units},spread={self.spread},first={self.first}",
        ]
        if self.key:
            lines.append(f"Idempotency-Key: {self.key}")
        if self.method != "GET":
            lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.body


class Client:
    """A client that keeps its connection and sends one request at a time on it.

    If the node closes a resting connection, a request that crossed the close is sent once more on a new one.
    """

    ids = 0

    def __init__(self, port: int, record: Record, late_seconds: float = 1.0) -> None:
        self.port = port
        self.record = record
        self.late_seconds = late_seconds
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, request: Request, *, is_repeat: bool = False) -> Answer:
        """Sends a request and waits for the answer, until some time after the request's own."""
        Client.ids += 1
        trace_id = f"{os.getpid():08x}{Client.ids:08x}"
        is_reused = self._streams is not None
        sent_at = now()
        self.record.write("sent", trace_id, request.frontend, f"customer={request.customer:x}")
        status, body = 0, b""
        try:
            async with asyncio.timeout(request.timeout_ms / 1000.0 + self.late_seconds):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(LOOPBACK, self.port)
                reader, writer = self._streams
                writer.write(request.encode(trace_id))
                message = await read_message(reader)
                if message is not None:
                    status, body = int(message.first_line.split(" ")[1]), message.body
                    if message.headers.get("connection", "").lower() == "close":
                        self.close()
        except TimeoutError:
            status = -1
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        if status <= 0:
            self.close()
        self.record.write("answered", trace_id, status)
        if status == 0 and is_reused and not is_repeat:
            return await self.ask(request, is_repeat=True)
        return Answer(trace_id, status, body, sent_at, now())

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


# Edge nodes


class EdgeNode:
    """An edge node as a process, started by the command of the deploy file."""

    def __init__(self, fields: dict[str, Any], folder: Path, record: Record) -> None:
        self.fields = fields
        self.name = fields["name"]
        self.record = record
        self.started_at = 0.0
        self.file = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def port(self) -> int:
        """The port at which it listens for clients."""
        return int(self.fields["listen"].rpartition(":")[2])

    def write_file(self) -> None:
        """Replaces the file of its configuration."""
        new = self.file.with_suffix(".new")
        new.write_text(json.dumps(self.fields))
        new.replace(self.file)

    async def start(self) -> None:
        """Starts the process, and waits until it answers health checks."""
        self.write_file()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        environment |= {
            "EDGE_CONFIG": str(self.file),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.fields["listen"],
            "EDGE_DISCOVERY": self.fields["discovery"],
        }
        self.started_at = now()
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write("started", self.name, f"pid={self.process.pid}")
        while not await self._is_ready():
            if self.process.returncode is not None or now() - self.started_at > READY_TIMEOUT_SECONDS:
                raise CannotRunError(f"{self.name} did not become ready: {self.log.read_text()[-500:]}")
            await asyncio.sleep(0.01)
        self.record.write("ready", self.name)

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                message = await read_message(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return message is not None and " 200 " in message.first_line

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.record.write("signal", self.name, number.name)
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def log_events(self) -> list[dict[str, Any]]:
        """Returns the lines of its log, for the record only; no verdict depends on them."""
        events = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return events


def run_case(
    folder: Path, case: Callable[[Record, Path, bool], Awaitable[int]], limit_seconds: float = 110.0
) -> int:
    """Runs a case with a temporary folder and returns its exit code; nothing it started is left."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(limit_seconds):
                return await case(record, Path(temporary), has_trouble)

    try:
        result = asyncio.run(main())
    except CannotRunError as error:
        record.write("cannot run:", error)
        result = CANNOT_RUN
    except TimeoutError:
        record.write("cannot run: the case took too long")
        result = CANNOT_RUN
    except (OSError, RuntimeError) as error:
        record.write("cannot run:", repr(error))
        result = CANNOT_RUN
    record.write(
        "result", {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "not run"}[result]
    )
    print({HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "cannot run"}[result], file=sys.stderr)
    return result


# Configuration


def settings(node_index: int, node_count: int, **changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment in the wire page's form; `changes` replace whole keys."""
    fields = {
        "ordinal": node_index,
        "n_instances": node_count,
        "quantum_us": 2000,
        "discovery": "pushed",
        "localities": ["a", "b", "c"],
        "zone": "a",
        "bounds": {
            "try_limit": 5, "parallel_tries": True, "cancelling": True, "peers": True, "probes": True,
            "retry_after": True, "max_retry_after_us": 1_000_000, "connect_timeout_us": 250_000,
            "keepalive_us": 15_000_000,
        },
        "family_info": {"mail_per_s": 40.0, "most_units": 4},
        "grades": [
            {
                "name": "tag-check", "aim_us": 750_000, "deadline_us": 2_000_000, "effect": "retryable",
                "worth": 2.0, "late_value": 0.0,
            },
            {
                "name": "toll-post", "aim_us": 1_200_000, "deadline_us": 5_000_000, "effect": "dedup",
                "group": "all", "dedup_window_us": 3_000_000, "worth": 3.0, "late_value": 0.2,
            },
        ],
        "packages": [
            {"name": "basic", "refill": 1000.0, "depth": 1000.0, "worth_factor": 0.5},
        ],
        "rules": {
            "answer_slack_us": 16_000, "start_capacity": 0.17, "cold_us": 17_000_000, "fall_multiple": 4.0,
            "fall_us": 1_500_000, "drain_grace_us": 250_000,
        },
    }  # fmt: skip
    return fields | changes


def node_fields(
    index: int,
    ports: list[int],
    peer_ports: list[int],
    discovery_port: int,
    known: dict[str, Any],
    **changes: Any,
) -> dict[str, Any]:
    """Returns the configuration of one edge node of a tier that listens at `ports`."""
    peers = [f"{LOOPBACK}:{port}" for port in peer_ports]
    return {
        "name": f"n{index}",
        "listen": f"{LOOPBACK}:{ports[index]}",
        "discovery": f"{LOOPBACK}:{discovery_port}",
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": peers[index],
        "peers": peers,
        "known": known,
        "settings": settings(index, len(ports), **changes),
    }


async def ask_until(
    clients: list[Client], end_at: float, make: Callable[[], Request], pause_seconds: float
) -> list[Answer]:
    """Has each client send one request after another until `end_at`; returns all answers."""
    answers: list[Answer] = []

    async def run(client: Client) -> None:
        while now() < end_at:
            answers.append(await client.ask(make()))
            await asyncio.sleep(pause_seconds)

    await asyncio.gather(*(run(client) for client in clients))
    return answers
