"""Open-loop load for one node on loopback: a req is sent when its time has come, whether or not others hang.

Its latency runs from the time at which it was due: a stall shows in full in every req that it held up.
"""

from __future__ import annotations

import asyncio
import ipaddress
import time
from collections import Counter
from random import Random
from typing import Any, NamedTuple

import h11
from hdrh.histogram import HdrHistogram

from onyxpost.config.address import Address
from onyxpost.config.deployment import Deployment
from onyxpost.core.types import Frontend, Idempotency
from onyxpost.runtime.http1 import READ_CHUNK_BYTES, encode_message
from onyxpost.simulation.errors import InvalidOptionError, NotLoopbackError

REQS_MOST, SECONDS_MOST, OPEN_MOST = 1_000_000, 3600.0, 20_000
HIGHEST = 60_000_000  # us: what takes longer counts as this
CROSSING = 250.0  # ms past its time in which an answer is still heard: one on its way is not none
LATE = 5.0  # ms past which a req left too late for its time: the tool itself was the bottleneck


class Load(NamedTuple):
    rate: float
    seconds: float
    customers: int
    connections: int
    seed: int


def loopback(address: Address) -> Address:
    try:
        if ipaddress.ip_address(address[0]).is_loopback:
            return address
    except ValueError:
        pass
    raise NotLoopbackError("only addresses on loopback are sent load", "{}:{}".format(*address))


def bounded(load: Load) -> Load:
    if not 0.0 < load.seconds <= SECONDS_MOST:
        raise InvalidOptionError(f"{load.seconds:g} s: from above 0 to {SECONDS_MOST:.0f}")
    if not 0.0 < load.rate * load.seconds <= REQS_MOST:
        raise InvalidOptionError(
            f"{load.rate:g} reqs a second for {load.seconds:g} s: at most {REQS_MOST} reqs"
        )
    if not 0 < load.connections <= OPEN_MOST:
        raise InvalidOptionError(f"{load.connections} connections: from 1 to {OPEN_MOST}")
    return load


class Counts:
    def __init__(self) -> None:
        self.finals: Counter[str] = Counter()
        self.times = {kind: HdrHistogram(1, HIGHEST, 3) for kind in ("passed", "denied", "all")}
        self.late_sent = self.opened = 0
        self.seconds: list[Counter[str]] = []

    def add(self, due: float, took_ms: float, final: str) -> None:
        self.finals[final] += 1
        for kind in ("all", final):
            if kind in self.times:
                self.times[kind].record_value(min(HIGHEST, max(1, round(took_ms * 1000.0))))
        while len(self.seconds) <= int(due):
            self.seconds.append(Counter())
        self.seconds[int(due)][final] += 1

    def lines(self, load: Load) -> list[dict[str, Any]]:
        lines: list[dict[str, Any]] = [{"kind": "load", **load._asdict()}]
        lines += [{"kind": "second", "t": t, **dict(sorted(s.items()))} for t, s in enumerate(self.seconds)]
        total: dict[str, Any] = {"kind": "total", **dict(sorted(self.finals.items()))}
        for kind, times in self.times.items():
            if times.get_total_count():
                total[f"{kind}_ms"] = {
                    f"p{p:g}": times.get_value_at_percentile(p) / 1000.0 for p in (50, 90, 99, 99.9, 100)
                }
        return [*lines, total | {"late_sent": self.late_sent, "opened": self.opened}]


class Client:
    """One connection, kept while both sides keep it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.http = h11.Connection(h11.CLIENT)

    async def ask(self, request: h11.Request, body: bytes) -> int:
        self.writer.write(encode_message(self.http, request, body))
        status = 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(READ_CHUNK_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                return status
            elif not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("no whole answer")

    def again(self) -> bool:
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False


class Sender:
    def __init__(self, address: Address, told: Deployment, load: Load) -> None:
        self.address, self.told, self.load = loopback(address), told, bounded(load)
        self.chance, self.counts = Random(load.seed), Counts()
        self.idle: list[Client] = []
        self.open = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.mark = f"{time.time_ns() & 0xFFFFFFFF:08x}"  # ids are new in each run

    async def run(self) -> Counts:
        began, due, number = time.monotonic(), 0.0, 0
        while (due := due + self.chance.expovariate(self.load.rate)) < self.load.seconds:
            if (wait := began + due - time.monotonic()) > 0.0:
                await asyncio.sleep(wait)
            number += 1
            task = asyncio.get_running_loop().create_task(self.one(number, began, due))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=60.0)
        for client in self.idle:
            client.writer.close()
        return self.counts

    def request(self, number: int) -> tuple[Frontend, h11.Request, bytes]:
        chance, told = self.chance, self.told
        f, plan = chance.choice(told.frontends), chance.choice(told.plans)
        post = f.idempotency is not Idempotency.IDEMPOTENT
        units = chance.randint(1, max(1, min(4, told.max_request_units)))
        spread = max(1, min(3, told.node_count))
        headers = [
            ("Host", "onyxpost"),
            ("X-Trace-Id", f"{self.mark}{number:08x}"),
            ("Plan", plan.name),
            ("Cookie", f"key={chance.randrange(self.load.customers):016x}"),
            ("X-Expires-In", f"{f.client_timeout_ms:.0f}m"),
            ("Quota-Info", f"units={units},spread={spread},first={told.node_index}"),
        ]
        if post:
            headers += [("Idempotency-Key", f"{self.mark}{number:08x}"), ("Content-Length", "2")]
        target = f"/{f.name}/{number}"
        return f, h11.Request(method="POST" if post else "GET", target=target, headers=headers), b"xx" * post

    async def one(self, number: int, began: float, due: float) -> None:
        f, request, body = self.request(number)
        if (time.monotonic() - began - due) * 1000.0 > LATE:
            self.counts.late_sent += 1
        client, final = None, "cut"
        try:
            until = began + due + (f.client_timeout_ms + CROSSING) / 1000.0
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                client = await self.client()
                status = await client.ask(request, body)
            final = {200: "passed", 429: "denied", 503: "denied"}.get(status, "aborted")
        except TimeoutError:
            final = "timed_out"
        except (OSError, h11.ProtocolError):
            pass
        self.counts.add(due, (time.monotonic() - began - due) * 1000.0, final)
        if client is not None and final in ("passed", "denied", "aborted") and client.again():
            self.idle.append(client)
        elif client is not None:
            self.open -= 1
            client.writer.close()

    async def client(self) -> Client:
        while self.idle or self.open >= self.load.connections:
            if not self.idle:
                await asyncio.sleep(0.001)  # its time runs on
                continue
            client = self.idle.pop()
            if not client.reader.at_eof() and not client.writer.transport.is_closing():
                return client
            self.open -= 1
            client.writer.close()
        self.open += 1
        try:
            streams = await asyncio.open_connection(*self.address)
        except BaseException:
            self.open -= 1
            raise
        self.counts.opened += 1
        return Client(*streams)


def send(address: Address, told: Deployment, load: Load) -> Counts:
    return asyncio.run(Sender(address, told, load).run())


def text(counts: Counts) -> str:
    lines = ["  ".join(f"{kind} {n}" for kind, n in sorted(counts.finals.items()))]
    for kind, times in counts.times.items():
        if times.get_total_count():
            at = {p: times.get_value_at_percentile(p) / 1000.0 for p in (50, 90, 99, 99.9, 100)}
            shown = "  ".join(f"p{p:g} {ms:.2f}" for p, ms in at.items())
            lines.append(f"{kind:8} ms from the time it was due: {shown}")
    lines.append(f"connections opened {counts.opened}; sent late by this tool {counts.late_sent}")
    return "\n".join(lines)
