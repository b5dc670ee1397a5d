"""Stand-ins for the cases of the last sitting: app servers, a discovery agent, usual clients, edge nodes.

Everything listens on free ports of 127.0.0.1. The stand-ins need the standard library alone. They follow
PROTOCOL.md: an app server answers each request with a page that names the request, the discovery agent
answers watches, and a client sends one request at a time on a connection.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from time import monotonic
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_LIMIT_S = 30.0  # DEPLOY.md, STANDING.md: an edge node is ready within 30 s
ANSWER_SLACK_S = 0.55  # STANDING.md: lost later than half a second after its time; PROTOCOL.md: 50 ms more
OWN_LAG_LIMIT_S = 0.25  # with a longer lag of the stand-ins' own event loop the case could not run


SHARES_OF_TIMEOUT = (0.5, 0.75, 1.0)  # BRIEF: a try is given up after 50 to 100% of the client timeout
TOLLING_PLANS = [{"name": "corridor", "refill": 16.0, "depth": 46.0}]
TOLLING_GRADES = [
    {"name": "tag-check", "aim_us": 750_000, "deadline_us": 2_000_000, "effect": "retryable", "worth": 2.0},
    {
        "name": "toll-post",
        "aim_us": 1_200_000,
        "deadline_us": 5_000_000,
        "effect": "dedup",
        "group": "all",
        "dedup_window_us": 3_000_000,
        "worth": 3.0,
        "late_value": 0.2,
    },
]


class CouldNotRunError(Exception):
    """The case says nothing about the rule."""


def trouble_is_on() -> bool:
    """Returns whether the disruption takes place (it does unless TROUBLE=0)."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Returns a free port of the loopback address."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run into record.txt, each line with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started = monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, *fields: object) -> None:
        self.file.write(
            f"{monotonic() - self.started:9.4f} " + " ".join(str(field) for field in fields) + "\n"
        )

    def say(self, *fields: object) -> None:
        """Writes a line into the record and on standard output."""
        self(*fields)
        print(*fields, flush=True)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads a message with a Content-Length (or without a body); returns first line, headers and body."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n"))[:-4].decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def response(body: bytes, content_type: str = "text/plain") -> bytes:
    """Returns a 200 answer."""
    head = f"HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Listener:
    """A stand-in that answers each message on its connections with what `answer` returns."""

    def __init__(self) -> None:
        self.port = free_port()

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    async def answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes:
        """Returns the bytes of the answer."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                writer.write(await self.answer(*await read_message(reader)))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()


class AppServer(Listener):
    """An app server that works `work_s` on each request. `arrived` has the trace ids that it got whole."""

    def __init__(self, name: str, zone: str, record: Record, work_s: float) -> None:
        super().__init__()
        self.name, self.zone, self.record, self.work_s = name, zone, record, work_s
        self.arrived: list[str] = []

    async def answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes:
        trace_id = headers.get("x-trace-id", "")
        self.arrived.append(trace_id)
        self.record("run", self.name, trace_id, first)
        await asyncio.sleep(self.work_s)
        return response(f"page of {trace_id}".encode())

    def entry(self) -> dict[str, Any]:
        """Returns the server's entry in the list of discovery."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": self.zone,
            "machineType": "m",
            "cell": 0,
            "lifecycle": "up",
            "weight": 1.0,
            "startedAtMs": 0,
        }


class DiscoveryAgent(Listener):
    """A discovery agent with a list that does not change: each watch waits for its time and tells nothing."""

    def __init__(self, servers: list[AppServer]) -> None:
        super().__init__()
        self.list = {"generation": 41, "reset": True, "instances": [server.entry() for server in servers]}

    async def answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes:
        query = dict(part.split("=") for part in first.split(" ")[1].partition("?")[2].split("&") if part)
        if int(query.get("since", "0")) < 41:
            return response(json.dumps(self.list).encode(), "application/json")
        await asyncio.sleep(int(query.get("timeout_ms", "0")) / 1000.0)
        nothing = {"generation": 41, "reset": False, "instances": []}
        return response(json.dumps(nothing).encode(), "application/json")


class EdgeNode:
    """An edge node: a process, started with `run` of the deploy file.

    With `holds_to_descriptors` the shell that runs `run` has the limit of descriptors that the node's file names, as
    on the operators' platform. The limit is that of the started process alone.
    """

    def __init__(self, folder: Path, config: dict[str, Any], *, holds_to_descriptors: bool = False) -> None:
        self.name, self.port = str(config["name"]), int(str(config["listen"]).split(":")[1])
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        if holds_to_descriptors:
            run = f"ulimit -n {config['limits']['sockets']}; {run}"
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        self.log = (folder / f"{self.name}.log").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environment | {"EDGE_CONFIG": str(path)},
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    async def wait_until_ready(self) -> None:
        """Waits for a 200 answer to GET /healthz."""
        until = monotonic() + READY_LIMIT_S
        while monotonic() < until and self.process.poll() is None:
            with suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(2.0):
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                    first, _, _ = await read_message(reader)
                writer.transport.abort()
                if " 200" in first:
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} is not ready")

    def end(self) -> None:
        """Kills the process, if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()


def node_configs(
    count: int,
    servers: list[AppServer],
    discovery: DiscoveryAgent,
    plans: list[dict[str, Any]],
    grades: list[dict[str, Any]],
    sockets: int = 1024,
) -> list[dict[str, Any]]:
    """Returns the files of `count` edge nodes with the settings of a small deployment."""
    listen = [f"{HOST}:{free_port()}" for _ in range(count)]
    peers = [f"{HOST}:{free_port(socket.SOCK_DGRAM)}" for _ in range(count)]
    bounds = {
        "try_limit": 5,
        "parallel_tries": False,
        "cancelling": True,
        "peers": True,
        "probes": False,
        "retry_after": True,
        "max_retry_after_us": 1_000_000,
        "connect_timeout_us": 250_000,
        "keepalive_us": 15_000_000,
    }
    rules = {
        "start_capacity": 0.17,
        "cold_us": 17_000_000,
        "fall_multiple": 4.0,
        "fall_us": 1_500_000,
        "drain_grace_us": 250_000,
    }
    return [
        {
            "name": f"n{index}",
            "listen": listen[index],
            "discovery": f"{HOST}:{discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "peer_listen": peers[index],
            "peers": peers,
            "known": discovery.list,
            "settings": {
                "ordinal": index,
                "n_instances": count,
                "quantum_us": 2000,
                "discovery": "pushed",
                "bounds": bounds,
                "family_info": {"mail_per_s": 40.0, "most_units": 8},
                "grades": grades,
                "packages": plans,
                "rules": rules,
            },
        }
        for index in range(count)
    ]


async def start_app_servers(
    record: Record, make: Callable[[str, str, Record, float], AppServer] = AppServer
) -> tuple[list[AppServer], DiscoveryAgent]:
    """Starts nine app servers in three halls, and a discovery agent that lists them."""
    servers = [make(f"s-{index}", f"hall-{'abc'[index % 3]}", record, 0.1) for index in range(9)]
    discovery = DiscoveryAgent(servers)
    for listener in (*servers, discovery):
        await listener.start()
    return servers, discovery


async def start_nodes(
    folder: Path, configs: list[dict[str, Any]], processes: list[Any], *, holds_to_descriptors: bool = False
) -> list[EdgeNode]:
    """Starts edge nodes and waits until all are ready."""
    nodes = [EdgeNode(folder, config, holds_to_descriptors=holds_to_descriptors) for config in configs]
    processes += nodes
    for node in nodes:
        await node.wait_until_ready()
    return nodes


class Clients:
    """Usual clients of one edge node. They keep connections, and open more when all are busy."""

    def __init__(self, node: EdgeNode, record: Record) -> None:
        self.node, self.record = node, record
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(
        self,
        trace_id: str,
        frontend: str,
        plan: str,
        customer: int,
        wait_ms: int,
        quota: tuple[int, int, int],
        key: str = "",
    ) -> str:
        """Sends a request; returns the status of its whole answer, "lost", "closed" or "not taken".

        "lost" is a request whose last byte was written to an accepted connection, and that has no whole
        answer half a second after its time, while the connection is open. Where the edge node closes the
        connection with no answer, the request is sent once more on a new one; if that is closed as well, it is
        "closed", as a new connection may be shut unread. `quota` is units, spread and first.
        """
        head = [
            f"{'POST' if key else 'GET'} /{frontend}/1 HTTP/1.1",
            "Host: backend.local",
            f"X-Trace-Id: {trace_id}",
            f"Plan: {plan}",
            f"Cookie: key={customer:016x}",
            f"X-Expires-In: {wait_ms}m",
            "Quota-Info: units={},spread={},first={}".format(*quota),
            *([f"Idempotency-Key: {key}", "Content-Length: 0"] if key else []),
            "",
            "",
        ]
        started = monotonic()
        self.record(
            "sent", self.node.name, trace_id, plan, f"{customer:x}", f"units={quota[0]}", f"wait={wait_ms}ms"
        )
        outcome = await self._exchange("\r\n".join(head).encode(), wait_ms / 1000.0 + ANSWER_SLACK_S)
        self.record(
            "answered", self.node.name, trace_id, outcome, f"after={1000 * (monotonic() - started):.0f}ms"
        )
        return outcome

    async def _exchange(self, data: bytes, limit_s: float) -> str:
        connection = self.idle.pop() if self.idle else None
        try:
            async with asyncio.timeout(limit_s):
                for _ in range(2):
                    connection = connection or await asyncio.open_connection(HOST, self.node.port)
                    reader, writer = connection
                    try:
                        writer.write(data)
                        await writer.drain()
                        first, headers, _ = await read_message(reader)
                    except (
                        OSError,
                        EOFError,
                    ):  # the close crossed the request: once more on a new connection
                        writer.transport.abort()
                        connection = None
                        continue
                    if headers.get("connection", "") == "close":
                        writer.transport.abort()
                    else:
                        self.idle.append(connection)
                    connection = None
                    return first.split(" ")[1]
                return "closed"
        except TimeoutError:
            return "lost" if connection else "not taken"
        except OSError:
            return "not taken"
        finally:
            if connection is not None:
                connection[1].transport.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        for _, writer in self.idle:
            writer.transport.abort()


class HelperProcess:
    """A case's script run once more, with arguments: bad clients, in a process of their own."""

    def __init__(self, script: str, arguments: list[str], output: Path) -> None:
        self.output = output
        with output.open("wb") as stream:
            self.process = subprocess.Popen(
                [sys.executable, "-B", script, *arguments], stdout=stream, stderr=stream
            )

    def end(self) -> None:
        """Kills the process, if it runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


async def usual_traffic(
    nodes: list[EdgeNode],
    record: Record,
    seconds: float,
    per_second: float,
    disturb: Callable[[], None],
    disturb_at: float,
) -> Counter[str]:
    """Sends requests of both classes to each edge node in turn; returns the count of each outcome.

    `disturb` is called once, `disturb_at` seconds after the first request, unless TROUBLE=0.
    """
    lag = OwnLag()
    clients = [Clients(node, record) for node in nodes]
    sent: list[asyncio.Task[str]] = []
    is_due = trouble_is_on()
    started = monotonic()
    while monotonic() - started < seconds:
        if is_due and monotonic() - started >= disturb_at:
            is_due = False
            disturb()
        for client in clients:
            number, is_toll = len(sent), len(sent) % 2 == 1
            request = client.send(
                f"usual-{number}",
                "toll-post" if is_toll else "tag-check",
                "corridor",
                0x1000 + number % 200,
                round((5000 if is_toll else 2000) * SHARES_OF_TIMEOUT[number % 3]),
                (1, len(nodes), 0),
                f"passage-{number}" if is_toll else "",
            )
            sent.append(asyncio.create_task(request))
            await asyncio.sleep(1.0 / per_second / len(nodes))
    outcomes = Counter(await asyncio.gather(*sent))
    for client in clients:
        client.close()
    lag.check()
    return outcomes


class OwnLag:
    """Measures how late the stand-ins' own event loop runs."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            before = monotonic()
            await asyncio.sleep(0.02)
            self.longest_s = max(self.longest_s, monotonic() - before - 0.02)

    def check(self) -> None:
        """Ends the measurement. Raises CouldNotRunError if the stand-ins themselves were late."""
        self.task.cancel()
        if self.longest_s > OWN_LAG_LIMIT_S:
            raise CouldNotRunError(f"the stand-ins were {self.longest_s:.2f} s late themselves")


def verdict(outcomes: Counter[str], nodes: list[EdgeNode], record: Record) -> int:
    """Returns 1 if a usual request was lost or an edge node ended, and writes down what was seen."""
    ended = [node.name for node in nodes if node.process.poll() is not None]
    record.say("usual requests:", dict(outcomes), "edge nodes that ended:", ended)
    if outcomes["lost"] or ended:
        return BROKEN
    if not outcomes["200"] or outcomes["not taken"]:
        raise CouldNotRunError("requests were not taken, or none was served")
    return HELD


def run_case(work: Callable[[Path, list[Any]], Awaitable[int]], record: Record) -> int:
    """Runs a case in a temporary folder; returns its exit code, 2 if it could not run.

    `work` puts all that it starts into its second argument, so that it is ended in any case.
    """
    processes: list[Any] = []

    async def limited(folder: Path) -> int:
        async with asyncio.timeout(110.0):
            return await work(folder, processes)

    with tempfile.TemporaryDirectory() as name:
        try:
            code = asyncio.run(limited(Path(name)))
        except (CouldNotRunError, OSError, TimeoutError) as error:
            record.say("could not run:", type(error).__name__, error)
            code = NOT_RUN
        finally:
            for process in processes:
                process.end()
    record.file.close()
    return code
