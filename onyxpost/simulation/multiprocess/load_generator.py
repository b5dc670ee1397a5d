"""Open-loop load on all nodes; what becomes of each req is recorded as its client sees it. I/O."""

from __future__ import annotations

import asyncio
from random import Random

import h11

from onyxpost.core.types import Frontend, Idempotency
from onyxpost.runtime.http1 import READ_CHUNK_BYTES, encode_message, read_response
from onyxpost.simulation.multiprocess.scenario_environment import Ground

CROSSING = 250.0  # ms past its time in which an answer is still heard
LINGER = 0.1  # s after an answer in which nothing more may come
FINALS = {200: "passed", 429: "denied", 503: "denied", 502: "aborted"}


class Asking:
    def __init__(self, ground: Ground, frontends: list[Frontend], largest: int) -> None:
        self.ground, self.frontends, self.largest = ground, frontends, largest
        self.chance = Random(f"{ground.seed}/load")
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        load, due, number = self.ground.scenario.load, 0.0, 0
        while (due := due + self.chance.expovariate(load.rate)) < seconds:
            await asyncio.sleep(max(0.0, due - self.ground.now() / 1000.0))
            number += 1
            task = asyncio.create_task(self.one(f"r{self.ground.seed:x}.{number}"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def one(self, trace: str) -> None:
        ground, chance = self.ground, self.chance
        f, node = chance.choice(self.frontends), f"n{chance.randrange(ground.scenario.nodes)}"
        customer, units = chance.randrange(ground.scenario.load.customers), chance.randint(1, self.largest)
        plan = "open" if customer % 3 else "tight"
        post = f.idempotency is not Idempotency.IDEMPOTENT
        headers = [
            ("Host", "onyxpost"),
            ("X-Trace-Id", trace),
            ("Plan", plan),
            ("Cookie", f"key={customer:016x}"),
            ("X-Expires-In", f"{f.client_timeout_ms:.0f}m"),
            ("Quota-Info", f"units={units},spread={ground.scenario.nodes},first=0"),
            *([("Idempotency-Key", trace), ("Content-Length", "2")] if post else []),
        ]
        head = h11.Request(method="POST" if post else "GET", target=f"/{f.name}/1", headers=headers)
        try:
            reader, writer = await asyncio.open_connection(*ground.addresses[node])
        except OSError:
            ground.record("refused", node=node, trace=trace)
            return
        http = h11.Connection(h11.CLIENT)
        ground.record(
            "asked", node=node, trace=trace, frontend=f.name, customer=f"{customer:x}", plan=plan, units=units
        )
        try:
            writer.write(encode_message(http, head, b"xx" * post))
            async with asyncio.timeout((f.client_timeout_ms + CROSSING) / 1000.0):
                response, body = await read_response(http, lambda: reader.read(READ_CHUNK_BYTES), 65536)
            final = FINALS.get(response.status_code, str(response.status_code))
            ground.record("answered", trace=trace, final=final)
            if final == "passed" and body != b"page of " + trace.encode():
                ground.record("more", trace=trace, what=f"passed {bytes(body)!r}"[:200])
            await self.nothing_more(trace, http, reader)
        except TimeoutError:
            ground.record("gone", trace=trace, how="timed out")
        except (OSError, h11.ProtocolError) as err:
            ground.record("gone", trace=trace, how=f"cut ({type(err).__name__})")
        finally:
            writer.transport.abort()

    async def nothing_more(self, trace: str, http: h11.Connection, reader: asyncio.StreamReader) -> None:
        late = http.trailing_data[0]
        try:
            async with asyncio.timeout(LINGER):
                late += await reader.read(READ_CHUNK_BYTES)
        except (TimeoutError, OSError):
            pass
        if late:
            self.ground.record("more", trace=trace, what=f"after its answer {late!r}"[:200])
