"""Measures the peak memory of an edge node's process beside bad clients, and what usual clients get.

`python -m tests.memory.memory_run --seeds 0-49` plays drawn runs and prints a line for each.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import re
import sys
import tempfile
import tomllib
from collections import Counter
from pathlib import Path
from random import SystemRandom
from time import monotonic
from typing import TYPE_CHECKING, Any, NamedTuple

import h11
import msgspec

from onyxpost.config.decoding import read_json_file
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.free_ports import ANY_PORT, LOOPBACK, find_restartable_ports
from onyxpost.simulation.http_client import HttpClient, RequestFields
from onyxpost.simulation.stub_upstreams import StubEnvironment
from tests.memory.behaviors import PLAN, Behavior, draw_behaviors

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ROOT = Path(__file__).parents[2]
SERVER_COUNT = 10
SERVER_LATENCY_MS = 50.0
PAGE_BYTES = 20_000
USUAL_PER_SECOND = 20.0
USUAL_CUSTOMERS = 200
USUAL_TIMEOUT_MS = 2_000.0
ANSWER_SLACK_SECONDS = 0.55  # half a second after its time, and 50 ms more, a request is lost
QUIET_SECONDS = 1.0  # before the bad clients come, and after they have left
READY_TIMEOUT_SECONDS = 15.0
KIB_PER_MIB = 1024.0
LOST = "lost"


class MemoryCase(NamedTuple):
    """One run: the limits in the node's file, the bad clients, and how long they stay."""

    memory_mb: float
    descriptors: int
    behaviors: list[Behavior]
    seconds: float


class MemoryResult(NamedTuple):
    """What was seen in one run.

    Attributes:
        start_mb: the peak before the bad clients came.
        halfway_mb: the peak in the first half of their stay.
        peak_mb: the peak of the whole run.
        outcomes: number of usual requests by status; `LOST` for those without a final answer.
        longest_answer_ms: the longest time to an answer of a usual request.
        exit_code: the exit code of the node if it ended by itself, else None.
        log: the lines of the node's log.
    """

    start_mb: float
    halfway_mb: float
    peak_mb: float
    outcomes: Counter[str]
    longest_answer_ms: float
    exit_code: int | None
    log: str


def node_file_fields(case: MemoryCase, port: int, environment: StubEnvironment) -> dict[str, Any]:
    """Returns the fields of the node's file."""
    fields = read_json_file(str(ROOT / "deploy" / "example-node.json"))
    keyed = {"name": "post", "deadline_us": 5_000_000, "effect": "dedup", "group": "all"}
    idempotent = fields["settings"]["grades"][0] | {"name": "lookup"}
    fields["settings"]["grades"] = [idempotent, idempotent | keyed | {"dedup_window_us": 3_000_000}]
    fields["settings"]["packages"] = [{"name": PLAN, "refill": 16.0, "depth": 46.0}]
    return fields | {
        "listen": f"{LOOPBACK}:{port}",
        "discovery": "{}:{}".format(*environment.agent.address),
        "known": environment.known_endpoints(),
        "limits": {"cores": 1.0, "memory_mb": case.memory_mb, "sockets": case.descriptors},
        "peer_listen": None,
        "peers": [],
    }


class UsualClients:
    """Usual clients, which keep connections and send each request at its time."""

    def __init__(self, port: int) -> None:
        self.outcomes: Counter[str] = Counter()
        self.longest_answer_ms = 0.0
        self._address = (LOOPBACK, port)
        self._idle: list[HttpClient] = []
        self._sent_count = 0

    async def run(self, seconds: float) -> None:
        """Sends requests for some seconds, and waits for all answers."""
        until = monotonic() + seconds
        tasks = []
        while monotonic() < until:
            tasks.append(asyncio.create_task(self._send()))
            await asyncio.sleep(1.0 / USUAL_PER_SECOND)
        await asyncio.gather(*tasks)
        for client in self._idle:
            client.close()

    async def _send(self) -> None:
        self._sent_count += 1
        number = self._sent_count
        fields = RequestFields(f"usual-{number}", PLAN, number % USUAL_CUSTOMERS, USUAL_TIMEOUT_MS, 1)
        request = h11.Request(method="GET", target=f"/lookup/{number}", headers=fields.headers())
        started = monotonic()
        outcome = LOST
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(USUAL_TIMEOUT_MS / MS_PER_SECOND + ANSWER_SLACK_SECONDS):
                outcome = await self._exchange(request)
        self.outcomes[outcome] += 1
        self.longest_answer_ms = max(self.longest_answer_ms, (monotonic() - started) * MS_PER_SECOND)

    async def _exchange(self, request: h11.Request) -> str:
        """Returns the status of the answer; sends again if a kept connection was closed."""
        while self._idle:
            client = self._idle.pop()
            try:
                return await self._exchange_on(client, request)
            except (OSError, h11.ProtocolError):
                client.close()
        try:
            client = await HttpClient.connect(self._address)
        except OSError:
            return "not accepted"
        try:
            return await self._exchange_on(client, request)
        except (OSError, h11.ProtocolError):
            client.close()
            return LOST

    async def _exchange_on(self, client: HttpClient, request: h11.Request) -> str:
        answer = await client.exchange(request)
        if client.start_next_request():
            self._idle.append(client)
        else:
            client.close()
        return str(answer.status)


@contextlib.asynccontextmanager
async def running_node(
    fields: dict[str, Any], folder: Path, descriptors: int = 1024
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs a node with these fields of its file; its log is `node.log` in the folder."""
    path = folder / "node.json"
    path.write_bytes(msgspec.json.encode(fields))
    with (folder / "node.log").open("wb") as log:
        node = await asyncio.create_subprocess_shell(
            f"ulimit -n {descriptors}; {run_command()}",
            cwd=ROOT,
            env={"EDGE_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )
    try:
        await _wait_until_ready(int(fields["listen"].rpartition(":")[2]))
        assert node.returncode is None, "another process listens at the node's port"
        yield node
    finally:
        if node.returncode is None:
            node.kill()
        await node.wait()


async def run_case(case: MemoryCase, folder: Path) -> MemoryResult:
    """Plays one run on real processes."""
    environment = StubEnvironment(SERVER_COUNT, SERVER_LATENCY_MS, 0, ANY_PORT)
    for server in environment.servers:
        server.page_bytes = PAGE_BYTES
    await environment.open()
    port = find_restartable_ports(1, SystemRandom())[0]
    fields = node_file_fields(case, port, environment)
    try:
        async with running_node(fields, folder, case.descriptors) as node:
            result = await _measure(case, port, node)
            exit_code = node.returncode
    finally:
        await environment.close()
    return result._replace(exit_code=exit_code, log=(folder / "node.log").read_text())


async def _measure(case: MemoryCase, port: int, node: asyncio.subprocess.Process) -> MemoryResult:
    usual = UsualClients(port)
    sending = asyncio.create_task(usual.run(case.seconds + 2 * QUIET_SECONDS))
    await asyncio.sleep(QUIET_SECONDS)
    start_mb = peak_mb(node.pid)
    arguments = [str(port), str(case.seconds), msgspec.json.encode(case.behaviors).decode()]
    bad = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "tests.memory.bad_clients", *arguments, cwd=ROOT
    )
    try:
        await asyncio.sleep(case.seconds / 2)
        halfway_mb = peak_mb(node.pid)
        await bad.wait()
        await sending
    finally:
        if bad.returncode is None:
            bad.kill()
    return MemoryResult(
        start_mb, halfway_mb, peak_mb(node.pid), usual.outcomes, usual.longest_answer_ms, None, ""
    )


def run_command() -> str:
    """Returns the command that starts a node, of the deploy file, with this process's interpreter."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    command: str = deploy["run"]
    return command.replace(".venv/bin/python", sys.executable)


def peak_mb(process_id: int) -> float:
    """Returns the highest resident memory of a process so far, in MB; 0 if it has ended."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0.0
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(found[1]) / KIB_PER_MIB if found else 0.0


async def _wait_until_ready(port: int) -> None:
    request = h11.Request(method="GET", target="/healthz", headers=[("Host", "n"), ("Connection", "close")])
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while True:
            with contextlib.suppress(OSError, h11.ProtocolError):
                client = await HttpClient.connect((LOOPBACK, port))
                answer = await client.exchange(request)
                client.close()
                if answer.status == 200:
                    return
            await asyncio.sleep(0.05)


def play(case: MemoryCase) -> MemoryResult:
    """Plays one run in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run_case(case, Path(folder)))


def main() -> None:
    """Plays the runs of the given seeds, and prints a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0-49")
    parser.add_argument("--memory-mb", type=float, default=32.0)
    parser.add_argument("--descriptors", type=int, default=1024)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    for seed in range(int(first), int(last or first) + 1):
        behaviors = draw_behaviors(seed)
        result = play(MemoryCase(options.memory_mb, options.descriptors, behaviors, options.seconds))
        drawn = ", ".join(
            f"{behavior.clients} {behavior.content} {behavior.size_bytes}x{behavior.sent_share}"
            f"{'' if behavior.reads else ' unread'}{' again' if behavior.returns else ''}"
            f"{' slow' if behavior.pause_seconds else ''}"
            for behavior in behaviors
        )
        print(
            f"seed {seed}: start {result.start_mb:.1f} half {result.halfway_mb:.1f}"
            f" peak {result.peak_mb:.1f} MB, {dict(result.outcomes)},"
            f" longest {result.longest_answer_ms:.0f} ms, exit {result.exit_code}: {drawn}",
            flush=True,
        )


if __name__ == "__main__":
    main()
