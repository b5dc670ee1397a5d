"""Stand-ins of the review: app servers, a discovery agent and clients, and the edge node as a process.

Only the standard library is used. All addresses are loopback addresses with free ports. The stand-ins run in
the process of the test; the edge node is started by `run` of deploy/balancer.toml, as a process of its own.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # run.sh turns 10 into 1; any other code means that the case could not run


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run; one line an event, with the seconds since the start."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()
        self(f"trouble: {'on' if TROUBLE else 'off'}")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns the head (list of lines) and body of one HTTP/1.1 message with Content-Length; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n"))[:-4].decode("latin-1").split("\r\n")
        headers = header_fields(head)
        return head, headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None


def header_fields(head):
    fields = (line.partition(":") for line in head[1:])
    return {name.strip().lower(): value.strip() for name, _, value in fields}


class AppServer:
    """An app server; `answer(server, run)` is a coroutine that writes the answer to one request.

    `runs` has an entry (seconds, trace id, key, body) for each request whose last byte arrived.
    """

    def __init__(self, record, name, answer, cell=0, zone="hall-a"):
        self.record, self.name, self.answer, self.cell, self.zone = record, name, answer, cell, zone
        self.runs, self.writers, self.lifecycle = [], set(), "up"

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                head, headers, body = message
                run = Run(head[0], headers, body, reader, writer)
                self.runs.append(run)
                self.record(f"{self.name} got {head[0]} id={run.id} key={run.key}")
                if not await self.answer(self, run):
                    break
        self.writers.discard(writer)
        writer.close()

    def row(self):
        return {
            "instanceId": self.name, "hostPort": f"127.0.0.1:{self.port}", "zone": self.zone,
            "machineType": "std-2core", "cell": self.cell, "lifecycle": self.lifecycle, "weight": 1.0,
            "startedAtMs": 0,
        }  # fmt: skip


class Run:
    """One request as an app server received it."""

    def __init__(self, line, headers, body, reader, writer):
        self.line, self.headers, self.body, self.reader, self.writer = line, headers, body, reader, writer
        self.id, self.key = headers.get("x-trace-id", ""), headers.get("idempotency-key", "")
        self.at = time.monotonic()


def page(run):
    """The body that an app server makes for a request."""
    return b"page for " + run.id.encode() + b" " + run.line.encode()


async def answer_whole(server, run, head=b""):
    body = page(run)
    run.writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (head, len(body), body))
    await run.writer.drain()
    return True


class Agent:
    """The discovery agent of one edge node: answers GET /v1/servers and its long polls."""

    def __init__(self, record, servers):
        self.record, self.rows, self.generation, self.changes = record, {}, 1, []
        for server in servers:
            self.rows[server.name] = server.row()
        self.changed = asyncio.Event()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def tell(self, row):
        self.generation += 1
        self.rows[row["instanceId"]] = row
        self.changes.append((self.generation, row))
        self.record(f"discovery tells {row['instanceId']} {row['lifecycle']}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                target = message[0][0].split(" ")[1]
                query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
                since = int(query.get("since", -1))
                if since == self.generation:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), int(query.get("timeout_ms", 0)) / 1000)
                is_whole = since < 0 or since > self.generation
                rows = [row for at, row in self.changes if at > since]
                if is_whole:
                    rows = [row for row in self.rows.values() if row["lifecycle"] != "removed"]
                answer = {"generation": self.generation, "reset": is_whole, "instances": rows}
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()


class EdgeNode:
    """An edge node, started by `run` of deploy/balancer.toml."""

    def __init__(self, record, name, config, folder):
        self.record, self.name, self.config = record, name, config
        self.path, self.log = Path(folder) / f"{name}.json", Path(folder) / f"{name}.log"

    async def start(self):
        self.path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "EDGE_NAME": self.name, "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"], "EDGE_CONFIG": str(self.path),
        }  # fmt: skip
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log,
            )  # fmt: skip
        self.host, port = self.config["listen"].split(":")
        self.port = int(port)
        for _ in range(600):
            if self.process.returncode is not None:
                break
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message is not None and " 200 " in message[0][0] + " ":
                    self.record(f"{self.name} is ready, pid {self.process.pid}")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} was not ready within 30 s: {self.log.read_text()[-2000:]}")

    def send(self, signal_number):
        self.record(f"{self.name} gets {signal.Signals(signal_number).name}")
        self.process.send_signal(signal_number)

    async def end(self):
        """Kills the process, if it still runs; stopped ones too."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Planner(EdgeNode):
    """A planner, started by `run` of deploy/balancer.toml with `plan FILE` in place of `serve`."""

    async def start(self):
        self.path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run.replace("serve", f"plan {self.path}"), cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        for _ in range(600):
            if '"serving"' in self.log.read_text():
                self.record(f"{self.name} serves, pid {self.process.pid}")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} did not start: {self.log.read_text()[-2000:]}")


def node_config(index, count, agent, settings, peers=(), sockets=1024, listen_port=None):
    """The configuration of one node, in the form of the deployment page."""
    return {
        "name": f"n{index}", "listen": f"127.0.0.1:{listen_port or free_port()}",
        "discovery": f"127.0.0.1:{agent.port}", "seed": f"{8241 + index:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "peer_listen": peers[index] if peers else None, "peers": list(peers),
        "known": {"generation": agent.generation, "reset": True, "instances": list(agent.rows.values())},
        "settings": settings | {"ordinal": index, "n_instances": count},
    }  # fmt: skip


class Client:
    """A client with one connection at a time, which it keeps."""

    count = 0

    def __init__(self, record, node):
        self.record, self.node, self.writer = record, node, None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.node.host, self.node.port)

    async def ask(self, method, path, timeout_ms, key="", customer=0xB4D65521, plan="basic", units=1,
                  spread=1, first=0, body=b"", patience=None):  # fmt: skip
        """Sends one request; returns an `Answer`. Status 0: closed without a whole answer; -1: no answer."""
        Client.count += 1
        trace = f"{os.getpid():06x}{Client.count:010x}"
        lines = [
            f"{method} {path} HTTP/1.1", "Host: backend.local", f"X-Trace-Id: {trace}", f"Plan: {plan}",
            f"Cookie: key={customer:016x}", f"X-Expires-In: {timeout_ms}m",
            f"Quota-Info: units={units},spread={spread},first={first}",
        ]  # fmt: skip
        lines += [f"Idempotency-Key: {key}"] if key else []
        lines += [f"Content-Length: {len(body)}"] if method == "POST" else []
        if self.writer is None:
            await self.connect()
        started = time.monotonic()
        self.record(f"client sends {method} {path} id={trace} to {self.node.name}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        try:
            patience = timeout_ms / 1000 + 1.5 if patience is None else patience
            message = await asyncio.wait_for(read_message(self.reader), patience)
            status = int(message[0][0].split(" ")[1]) if message else 0
        except TimeoutError:
            message, status = None, -1
        answer = Answer(trace, status, message[2] if message else b"", time.monotonic() - started)
        self.record(f"client got {status} for id={trace} after {answer.seconds:.3f} s: {answer.body[:60]!r}")
        if not message or message[1].get("connection") == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None


class Answer:
    def __init__(self, trace, status, body, seconds):
        self.id, self.status, self.body, self.seconds = trace, status, body, seconds


class Link:
    """A proxy between two parties. While it is cut it passes nothing on; connections stay open and silent."""

    def __init__(self, record, name, target_port):
        self.record, self.name, self.target_port = record, name, target_port
        self.is_up = asyncio.Event()
        self.is_up.set()
        self.open_count = 0

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.record(f"{self.name} is cut")
        self.is_up.clear()

    def heal(self):
        self.record(f"{self.name} is whole again")
        self.is_up.set()

    async def _serve(self, reader, writer):
        self.open_count += 1
        self.record(f"{self.name} has {self.open_count} open connections")
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self.is_up.wait()
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            await asyncio.gather(self._pass_on(reader, far_writer), self._pass_on(far_reader, writer))
        writer.close()
        self.open_count -= 1
        self.record(f"{self.name} has {self.open_count} open connections")

    async def _pass_on(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65536):
                await self.is_up.wait()
                writer.write(data)
                await writer.drain()
        writer.close()


def run_case(folder, case):
    """Runs `case(record, folder, nodes)`; exits with BROKEN if it returns True, else with HELD.

    `nodes` is a list; the case appends each process that it starts, and all of them are killed at the end, also
    after an error or a signal.
    """
    record = Record(folder)

    async def main():
        nodes = []
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(100):
                    return await case(record, temporary, nodes)
            finally:
                for node in nodes:
                    await node.end()
                for node in nodes:
                    lines = node.log.read_text(errors="replace").splitlines()
                    # asyncio repeats this line for each message to a lost connection.
                    kept = [line[:3000] for line in lines if "socket.send() raised" not in line]
                    record(f"log of {node.name}, {len(lines) - len(kept)} repeated lines left out:")
                    record.file.write("\n".join(kept) + "\n")

    try:
        code = BROKEN if asyncio.run(main()) else HELD
    except (Exception, asyncio.CancelledError) as error:  # a case that cannot run is no finding
        record(f"could not run: {type(error).__name__}: {error}")
        code = COULD_NOT_RUN
    record({BROKEN: "the rule was broken", HELD: "the rule held"}.get(code, "no result"))
    sys.exit(code)
