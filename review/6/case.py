"""Bad clients with bodies of 60 MB in small chunks; usual clients need their final answers all the same."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections import Counter
from pathlib import Path
from time import monotonic

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import standins3 as lib  # noqa: E402

NODES, SERVERS = 3, 9
USUAL_S = 16.0  # how long usual clients send
USUAL_PER_S = 10.0  # requests a second at each edge node
BAD_FROM_S, BAD_UNTIL_S = 3.0, 13.0
BAD_PER_NODE = 100  # connections of bad clients at each edge node ("by hundreds")
BODY_BYTES = 60_000_000
CHUNK = b"1\r\nx\r\n"
GRADES = [
    {"name": "tag-check", "aim_us": 750_000, "deadline_us": 2_000_000, "effect": "retryable", "worth": 2.0},
    {
        "name": "toll-post", "aim_us": 1_200_000, "deadline_us": 5_000_000, "effect": "dedup", "group": "all",
        "dedup_window_us": 3_000_000, "worth": 3.0, "late_value": 0.2,
    },
]  # fmt: skip
PLANS = [{"name": "corridor", "refill": 16.0, "depth": 46.0}]


async def bad_client(port: int, name: str, until: float) -> None:
    """Sends a POST with a body of 60 MB in chunks, and the same again as soon as it is turned away."""
    number = 0
    block = CHUNK * 10_000
    while monotonic() < until:
        number += 1
        head = (
            f"POST /toll-post/1 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {name}-{number}\r\nPlan: corridor\r\n"
            "Cookie: key=00000000000000aa\r\nX-Expires-In: 5000m\r\nQuota-Info: units=1,spread=3,first=0\r\n"
            f"Idempotency-Key: {name}-{number}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        started, outcome, writer = monotonic(), "none", None
        try:
            async with asyncio.timeout(until - monotonic()):
                reader, writer = await asyncio.open_connection(lib.HOST, port)
                writer.write(head.encode())
                sending = asyncio.create_task(send_body(writer, block))
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


async def send_body(writer: asyncio.StreamWriter, block: bytes) -> None:
    """Writes the body at full speed."""
    try:
        for _ in range(BODY_BYTES // 10_000):
            writer.write(block)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
    except OSError:
        pass


async def bad_clients(ports: list[int]) -> None:
    """Runs all bad clients (a process of its own)."""
    until = monotonic() + BAD_UNTIL_S - BAD_FROM_S
    await asyncio.gather(
        *(bad_client(port, f"bad{index}-{number}", until) for number in range(BAD_PER_NODE) for index, port in enumerate(ports))
    )


class BadClients:
    """The process of the bad clients."""

    def __init__(self, nodes: list[lib.EdgeNode], folder: Path) -> None:
        self.output = folder / "bad.txt"
        with self.output.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-B", __file__, *(str(node.port) for node in nodes)], stdout=output
            )

    def end(self) -> None:
        """Kills the process, if it runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


async def work(folder: Path, processes: list[object]) -> int:
    """Plays the case; returns 1 if the rule was broken."""
    servers = [lib.AppServer(f"s-{index}", f"hall-{'abc'[index % 3]}", RECORD, 0.1) for index in range(SERVERS)]
    discovery = lib.DiscoveryAgent(servers)
    for listener in (*servers, discovery):
        await listener.start()
    configs = lib.node_configs(NODES, servers, discovery, PLANS, GRADES)
    nodes = [lib.EdgeNode(folder, config) for config in configs]
    processes += nodes
    for node in nodes:
        await node.wait_until_ready()
    lag = lib.OwnLag()
    clients = [lib.Clients(node, RECORD) for node in nodes]
    started = monotonic()
    bad: BadClients | None = None
    sent: list[asyncio.Task[str]] = []
    while monotonic() - started < USUAL_S:
        if bad is None and lib.trouble_is_on() and monotonic() - started >= BAD_FROM_S:
            bad = BadClients(nodes, folder)
            processes.append(bad)
            RECORD.say(f"{BAD_PER_NODE} bad clients at each edge node begin")
        for client in clients:
            number, is_toll = len(sent), len(sent) % 2 == 1
            request = client.send(
                f"usual-{number}", "toll-post" if is_toll else "tag-check", "corridor", 0x1000 + number % 200,
                5000 if is_toll else 2000, (1, NODES, 0), f"passage-{number}" if is_toll else "",
            )  # fmt: skip
            sent.append(asyncio.create_task(request))
            await asyncio.sleep(1.0 / USUAL_PER_S / NODES)
    outcomes = Counter(await asyncio.gather(*sent))
    lag.check()
    for client in clients:
        client.close()
    if bad is not None:
        for line in bad.output.read_text().splitlines():
            RECORD("bad client", line)
    ended = [node.name for node in nodes if node.process.poll() is not None]
    RECORD.say("usual requests:", dict(outcomes), "edge nodes that ended:", ended)
    if outcomes["not taken"]:
        raise lib.CouldNotRunError("some requests were not taken")
    return lib.BROKEN if outcomes["lost"] or ended else lib.HELD


if __name__ == "__main__":
    if len(sys.argv) > 1:
        asyncio.run(bad_clients([int(port) for port in sys.argv[1:]]))
    else:
        RECORD = lib.Record(FOLDER)
        sys.exit(lib.run_case(work, RECORD))
