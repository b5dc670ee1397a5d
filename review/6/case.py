"""Bad clients with bodies of 60 MB in small chunks; usual clients need their final answers all the same."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from time import monotonic
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import standins3 as lib  # noqa: E402

NODES = 3
USUAL_S, USUAL_PER_S = (
    16.0,
    10.0,
)  # how long usual clients send, and how many requests a second to each edge node
BAD_AT_S, BAD_FOR_S = 3.0, 10.0
BAD_PER_NODE = 100  # connections of bad clients at each edge node ("by hundreds")
BODY_BYTES = 60_000_000
BLOCK_CHUNKS = 10_000
BLOCK = b"1\r\nx\r\n" * BLOCK_CHUNKS  # chunks of one byte


async def bad_client(port: int, name: str, until: float) -> None:
    """Sends a POST with a body of 60 MB in chunks, and the same again as soon as it is turned away."""
    number = 0
    while monotonic() < until:
        number += 1
        head = (
            f"POST /toll-post/1 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {name}-{number}\r\n"
            "Plan: corridor\r\nCookie: key=00000000000000aa\r\nX-Expires-In: 5000m\r\n"
            "Quota-Info: units=1,spread=3,first=0\r\n"
            f"Idempotency-Key: {name}-{number}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        started, outcome, writer = monotonic(), "none", None
        try:
            async with asyncio.timeout(until - monotonic()):
                reader, writer = await asyncio.open_connection(lib.HOST, port)
                writer.write(head.encode())
                sending = asyncio.create_task(send_body(writer))
                try:
                    answer = await reader.read(4096)
                finally:
                    sending.cancel()
            outcome = answer.split(b"\r\n")[0].decode("latin-1") or "closed"
        except (OSError, TimeoutError) as error:
            outcome = f"no answer ({type(error).__name__})"
        finally:
            if writer is not None:
                writer.transport.abort()
        print(f"{name}-{number} {outcome} after={1000 * (monotonic() - started):.0f}ms", flush=True)


async def send_body(writer: asyncio.StreamWriter) -> None:
    """Writes the body at full speed."""
    try:
        for _ in range(BODY_BYTES // BLOCK_CHUNKS):
            writer.write(BLOCK)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
    except OSError:
        pass


async def bad_clients(ports: list[int]) -> None:
    """Runs all bad clients (a process of its own)."""
    until = monotonic() + BAD_FOR_S
    names = [(port, f"bad{port}-{number}") for number in range(BAD_PER_NODE) for port in ports]
    await asyncio.gather(*(bad_client(port, name, until) for port, name in names))


async def work(folder: Path, processes: list[Any]) -> int:
    """Plays the case; returns 1 if the rule was broken."""
    servers, discovery = await lib.start_app_servers(RECORD)
    configs = lib.node_configs(NODES, servers, discovery, lib.TOLLING_PLANS, lib.TOLLING_GRADES)
    nodes = await lib.start_nodes(folder, configs, processes)

    def disturb() -> None:
        RECORD.say(f"{BAD_PER_NODE} bad clients at each edge node begin")
        processes.append(lib.HelperProcess(__file__, [str(node.port) for node in nodes], folder / "bad.txt"))

    outcomes = await lib.usual_traffic(nodes, RECORD, USUAL_S, USUAL_PER_S, disturb, BAD_AT_S)
    for helper in processes[NODES:]:
        for line in helper.output.read_text().splitlines():
            RECORD("bad client", line)
    return lib.verdict(outcomes, nodes, RECORD)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        asyncio.run(bad_clients([int(port) for port in sys.argv[1:]]))
    else:
        RECORD = lib.Record(FOLDER)
        sys.exit(lib.run_case(work, RECORD))
