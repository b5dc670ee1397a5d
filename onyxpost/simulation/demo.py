"""A first look: one node before stand-in app servers and discovery, and a few reqs.

`python -m onyxpost.simulation.demo` needs what a node needs and nothing else. All is on free ports of
127.0.0.1;
what it started it ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import h11
import msgspec

from onyxpost.runtime.http1 import READ_CHUNK_BYTES, encode_message
from onyxpost.simulation.errors import ProcessNotStartedError
from onyxpost.simulation.stub_upstreams import Stand, write_node

EXAMPLE = Path(__file__).parents[2] / "deploy" / "example-node.json"
SERVERS, DELAY = 3, 20.0  # ms in which a stand-in answers
READY, LEAVE, ANSWER = 10.0, 5.0, 5.0  # s
TRIES = 4
UNITS = 4  # of each req; the example's plan holds 10 at once


class Answer(NamedTuple):
    status: int
    headers: dict[str, str]
    body: str
    took: float  # ms


async def ask(port: int, target: str, headers: list[tuple[str, str]]) -> Answer:
    """One GET on a connection of its own. OSError (TimeoutError too), h11.ProtocolError: no answer."""
    began, http, status, body = time.monotonic(), h11.Connection(h11.CLIENT), 0, b""
    named: dict[str, str] = {}
    async with asyncio.timeout(ANSWER):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            headers = [("Host", "onyxpost"), ("Connection", "close"), *headers]
            writer.write(encode_message(http, h11.Request(method="GET", target=target, headers=headers)))
            while not isinstance(event := http.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    http.receive_data(await reader.read(READ_CHUNK_BYTES))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                    named = {name.decode(): value.decode() for name, value in event.headers}
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
        finally:
            writer.close()
    return Answer(status, named, body.decode(errors="replace"), (time.monotonic() - began) * 1000.0)


def free_port(kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


@contextlib.asynccontextmanager
async def node(place: Stand, fields: dict[str, Any], folder: Path) -> AsyncIterator[int]:
    """Runs a node as a process before the stubs at `place`; yields its port.

    Raises ProcessNotStartedError if it does not serve in time.
    """
    port, own = free_port(socket.SOCK_STREAM), f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"
    example, file = folder / "example.json", folder / "node.json"
    fields = fields | {"listen": f"127.0.0.1:{port}", "peer_listen": own, "peers": [own]}
    example.write_bytes(msgspec.json.encode(fields))
    write_node(example, file, place)
    environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    log = folder / "node.log"
    with log.open("wb") as out:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "onyxpost",
            "serve",
            stdout=out,
            stderr=out,
            env=environ | {"EDGE_CONFIG": str(file)},
            cwd=EXAMPLE.parents[1],
        )
    try:
        until = time.monotonic() + READY
        while True:
            with contextlib.suppress(OSError, h11.ProtocolError):
                if (await ask(port, "/healthz", [])).status == 200:
                    break
            if process.returncode is not None or time.monotonic() > until:
                last = log.read_text().strip().rsplit("\n", 1)[-1]
                raise ProcessNotStartedError(f"the node at 127.0.0.1:{port} does not serve: {last}")
            await asyncio.sleep(0.02)
        yield port
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), LEAVE)
        except TimeoutError:
            process.kill()
            await process.wait()


async def reqs(port: int, fields: dict[str, Any], say: Callable[[str], None]) -> bool:
    """Within the quota, over it, another customer's, and the first one's again when it was told to come."""
    frontend, plan = fields["settings"]["grades"][0], fields["settings"]["packages"][0]
    rate, burst = plan["refill"], plan["depth"]
    say(f"plan {plan['name']}: each customer may use {rate:g} units a second, {burst:g} at once")
    number = 0

    async def one(customer: int) -> Answer:
        nonlocal number
        number += 1
        answer = await ask(
            port,
            f"/{frontend['name']}/{number}",
            [
                ("X-Trace-Id", f"demo-{number}"),
                ("Plan", plan["name"]),
                ("Cookie", f"key={customer:016x}"),
                ("X-Expires-In", "1900m"),
                ("Quota-Info", f"units={UNITS},spread=1,first=0"),
            ],
        )
        what = {200: "passed", 429: "denied", 503: "denied"}.get(answer.status, "aborted")
        retry = answer.headers.get("retry-after")
        more = f"Retry-After: {retry}" if retry is not None else answer.body
        say(f"  customer {customer}, {UNITS} units:  {answer.status} {what}  {answer.took:4.0f} ms  {more}")
        return answer

    good = [(await one(1)).status == 200, (await one(1)).status == 200]
    for _ in range(TRIES):  # a slow machine: the store fills meanwhile
        if (answer := await one(1)).status != 200:
            break
    good += [answer.status == 429 and "retry-after" in answer.headers, (await one(2)).status == 200]
    for _ in range(TRIES):
        if answer.status != 429:
            break
        wait = float(answer.headers.get("retry-after", "1"))
        say(f"  {wait:g} s later, as it was told:")
        await asyncio.sleep(wait)
        answer = await one(1)
    return all(good) and answer.status == 200


async def play(place: Stand, say: Callable[[str], None]) -> bool:
    """Whether each req came out as it must. ProcessNotStartedError: the node did not serve."""
    fields = msgspec.json.decode(EXAMPLE.read_bytes())
    await place.open()
    try:
        with tempfile.TemporaryDirectory() as folder:
            async with node(place, fields, Path(folder)) as port:
                beside = f"{len(place.servers)} stand-in app servers and discovery beside it"
                say(f"a node at 127.0.0.1:{port}, {beside}")
                good = await reqs(port, fields, say)
    finally:
        for listener in (place.agent.listener, *(server.listener for server in place.servers)):
            if listener is not None:
                listener.close()
        for writer in list(place.agent.writers):
            writer.transport.abort()
        await asyncio.sleep(0.05)  # connections that the node closed come to their end
    say("all ended" if good else "not as it should be: see above")
    return good


async def main() -> int:
    """The exit code: 0 only if each req came out as it must."""
    say = partial(print, flush=True)
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return 0 if await play(Stand(SERVERS, DELAY, 0, ("127.0.0.1", 0)), say) else 1
    except (ProcessNotStartedError, OSError, h11.ProtocolError) as err:
        print(f"onyxpost: {err or type(err).__name__}", file=sys.stderr)
        return 1
    except asyncio.CancelledError:
        return 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
