"""A demonstration: a node that forwards a few requests to stub app servers.

`python -m onyxpost.simulation.demo` needs no packages beyond those of a node. It listens on free ports of
127.0.0.1 only, and stops the node before it exits.
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
from functools import partial
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import h11
import msgspec

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.errors import ProcessNotStartedError
from onyxpost.simulation.free_ports import ANY_PORT, LOOPBACK, find_free_ports
from onyxpost.simulation.http_client import HttpClient, RequestFields, outcome_of
from onyxpost.simulation.stub_upstreams import StubEnvironment, write_node_file

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping

EXAMPLE_NODE_FILE = Path(__file__).parents[2] / "deploy" / "example-node.json"
SERVER_COUNT = 3
SERVER_LATENCY_MS = 20.0  # from a request to the answer of a stub app server
READY_TIMEOUT_SECONDS = 10.0
READY_POLL_SECONDS = 0.02
STOP_TIMEOUT_SECONDS = 5.0  # from SIGTERM to SIGKILL
ANSWER_TIMEOUT_SECONDS = 5.0
CLOSE_GRACE_SECONDS = 0.05  # time for the stubs to notice that the node closed its connections
CLIENT_TIMEOUT_MS = 1900.0
MAX_TRIES = 4  # more than one, because the quota refills between requests on a slow machine
UNITS_PER_REQUEST = 4  # quota units of each request; the example's plan allows 10 at once
HEALTH_CHECK = "/healthz"


class Answer(NamedTuple):
    """A node's answer to a request; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: str
    latency_ms: float


class DemoRequests:
    """Sends requests for the example's first frontend and plan, and prints each with its answer."""

    def __init__(self, port: int, fields: dict[str, Any], print_line: Callable[[str], None]) -> None:
        self.port = port
        self.frontend = fields["settings"]["grades"][0]
        self.plan = fields["settings"]["packages"][0]
        self.print_line = print_line
        self._request_count = 0

    async def send(self, customer: int) -> Answer:
        """Sends a request of a customer. Raises OSError or h11.ProtocolError without a complete answer."""
        self._request_count += 1
        fields = RequestFields(
            f"demo-{self._request_count}", self.plan["name"], customer, CLIENT_TIMEOUT_MS, UNITS_PER_REQUEST
        )
        answer = await get(self.port, f"/{self.frontend['name']}/{self._request_count}", fields.headers())
        retry_after = answer.headers.get("retry-after")
        detail = f"Retry-After: {retry_after}" if retry_after is not None else answer.body
        self.print_line(
            f"  customer {customer}, {UNITS_PER_REQUEST} units:  {answer.status} {outcome_of(answer.status)}"
            f"  {answer.latency_ms:4.0f} ms  {detail}"
        )
        return answer

    async def run(self) -> bool:
        """Sends requests within a quota and over it; returns whether all were answered as expected.

        The rejected request is repeated after its Retry-After time, and must pass then.
        """
        self.print_line(
            f"plan {self.plan['name']}: each customer may use {self.plan['refill']:g} units a second,"
            f" {self.plan['depth']:g} at once"
        )
        within_quota = [(await self.send(1)).status, (await self.send(1)).status]
        rejected = await self._send_until_rejected()
        within_quota.append((await self.send(2)).status)
        within_quota.append(await self._retry(rejected))
        is_rejected = rejected.status == HTTPStatus.TOO_MANY_REQUESTS and "retry-after" in rejected.headers
        return is_rejected and set(within_quota) == {HTTPStatus.OK}

    async def _send_until_rejected(self) -> Answer:
        for _ in range(MAX_TRIES):
            answer = await self.send(1)
            if answer.status != HTTPStatus.OK:
                break
        return answer

    async def _retry(self, answer: Answer) -> int:
        """Repeats a rejected request after each Retry-After time; returns the last status."""
        for _ in range(MAX_TRIES):
            if answer.status != HTTPStatus.TOO_MANY_REQUESTS:
                break
            wait_seconds = float(answer.headers.get("retry-after", "1"))
            self.print_line(f"  {wait_seconds:g} s later, as it was told:")
            await asyncio.sleep(wait_seconds)
            answer = await self.send(1)
        return answer.status


async def get(port: int, target: str, headers: list[tuple[str, str]]) -> Answer:
    """Sends a GET on a connection of its own.

    Raises:
        OSError: No connection, or no answer in time.
        h11.ProtocolError: The answer is malformed or truncated.
    """
    started_at = time.monotonic()
    if not headers:
        headers = [("Host", "onyxpost")]
    request = h11.Request(method="GET", target=target, headers=[*headers, ("Connection", "close")])
    async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
        client = await HttpClient.connect((LOOPBACK, port))
        try:
            response = await client.exchange(request)
        finally:
            client.close()
    latency_ms = (time.monotonic() - started_at) * MS_PER_SECOND
    body = response.body.decode(errors="replace")
    return Answer(response.status, response.headers, body, latency_ms)


@contextlib.asynccontextmanager
async def running_node(
    environment: StubEnvironment, fields: dict[str, Any], folder: Path
) -> AsyncIterator[int]:
    """Runs a node in a process, with the stubs as its upstreams; yields its port.

    Raises ProcessNotStartedError if it does not serve in time.
    """
    (port,) = find_free_ports(1)
    (peer_port,) = find_free_ports(1, socket.SOCK_DGRAM)
    peer_address = f"{LOOPBACK}:{peer_port}"
    fields = fields | {
        "listen": f"{LOOPBACK}:{port}",
        "peer_listen": peer_address,
        "peers": [peer_address],
    }
    example = folder / "example.json"
    example.write_bytes(msgspec.json.encode(fields))
    node_file = folder / "node.json"
    write_node_file(example, node_file, environment)
    log = folder / "node.log"
    process = await _start_node(node_file, log)
    try:
        await _wait_until_serving(process, port, log)
        yield port
    finally:
        await _stop(process)


async def run_demo(environment: StubEnvironment, print_line: Callable[[str], None]) -> bool:
    """Runs the demonstration and returns whether each request was answered as expected.

    `print_line` is called with each line of output. Raises ProcessNotStartedError if the node does not serve
    in time.
    """
    fields = msgspec.json.decode(EXAMPLE_NODE_FILE.read_bytes())
    await environment.open()
    try:
        with tempfile.TemporaryDirectory() as folder:
            async with running_node(environment, fields, Path(folder)) as port:
                stubs = f"{len(environment.servers)} stub app servers and discovery beside it"
                print_line(f"a node at {LOOPBACK}:{port}, {stubs}")
                is_correct = await DemoRequests(port, fields, print_line).run()
    finally:
        await environment.close()
        await asyncio.sleep(CLOSE_GRACE_SECONDS)
    print_line("all ended" if is_correct else "a request was not answered as expected: see above")
    return is_correct


async def main() -> int:
    """Returns the exit code: 0 only if each request was answered as expected."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    environment = StubEnvironment(SERVER_COUNT, SERVER_LATENCY_MS, 0, ANY_PORT)
    try:
        is_correct = await run_demo(environment, partial(print, flush=True))
    except (ProcessNotStartedError, OSError, h11.ProtocolError) as error:
        print(f"onyxpost: {error or type(error).__name__}", file=sys.stderr)
        return 1
    except asyncio.CancelledError:
        return 1
    return 0 if is_correct else 1


async def _start_node(node_file: Path, log: Path) -> asyncio.subprocess.Process:
    """Starts a node without the `EDGE_` variables of this process, so that only its file configures it."""
    environment = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    with log.open("wb") as output:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "onyxpost",
            "serve",
            stdout=output,
            stderr=output,
            env=environment | {"EDGE_CONFIG": str(node_file)},
            cwd=EXAMPLE_NODE_FILE.parents[1],
        )


async def _wait_until_serving(process: asyncio.subprocess.Process, port: int, log: Path) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while not await _is_serving(port):
        if process.returncode is not None or time.monotonic() > deadline:
            last_line = log.read_text().strip().rsplit("\n", 1)[-1]
            raise ProcessNotStartedError(
                f"the node at {LOOPBACK}:{port} did not start serving; last log line: {last_line}"
            )
        await asyncio.sleep(READY_POLL_SECONDS)


async def _is_serving(port: int) -> bool:
    try:
        return (await get(port, HEALTH_CHECK, [])).status == HTTPStatus.OK
    except (OSError, h11.ProtocolError):
        return False


async def _stop(process: asyncio.subprocess.Process) -> None:
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_SECONDS)
    except TimeoutError:
        process.kill()
        await process.wait()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
