"""Runs a complete edge node on loopback, with stubs of app servers and discovery."""

from __future__ import annotations

import asyncio
import contextlib
import io
from typing import TYPE_CHECKING, Any

from onyxpost.edge.messages import ClientRequest, EdgeEvent, Endpoint, SendAttempt
from onyxpost.edge.upstream_pool import UpstreamPool, UpstreamPoolOptions
from onyxpost.node import config
from onyxpost.node.edge_node import EdgeNode
from onyxpost.runtime.socket_transport import SocketTransport
from onyxpost.runtime.structured_log import StructuredLog

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.address import Address
    from onyxpost.node.node_config import NodeConfig

DEPLOYMENT_SETTINGS: dict[str, Any] = {
    "ordinal": 0,
    "n_instances": 2,
    "quantum_us": 2000,
    "discovery": "pushed",
    "bounds": {
        "try_limit": 4,
        "parallel_tries": True,
        "cancelling": True,
        "peers": True,
        "retry_after": True,
        "max_retry_after_us": 1_000_000,
        "connect_timeout_us": 250_000,
        "keepalive_us": 15_000_000,
    },
    "family_info": {"mail_per_s": 40.0, "most_units": 4},
    "grades": [
        {"name": "check", "aim_us": 750_000, "deadline_us": 2_000_000, "effect": "retryable", "worth": 2.0},
        {
            "name": "toll",
            "aim_us": 1_200_000,
            "deadline_us": 5_000_000,
            "effect": "dedup",
            "group": "all",
            "dedup_window_us": 3_000_000,
            "worth": 3.0,
            "late_value": 0.2,
        },
    ],
    "packages": [{"name": "basic", "refill": 100.0, "depth": 900.0}],
    "rules": {"start_capacity": 0.2, "cold_us": 10_000_000, "fall_multiple": 4.0, "fall_us": 1_500_000},
}


def node_fields(*servers: Address, **changes: Any) -> dict[str, Any]:
    """Returns the fields of a node's file with these app servers; `changes` replaces top-level fields."""
    instances = [
        {"instanceId": f"s{index}", "hostPort": f"{host}:{port}", "lifecycle": "up", "startedAtMs": 0}
        for index, (host, port) in enumerate(servers)
    ]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"sockets": 256},
        "peer_listen": "127.0.0.1:0",
        "peers": ["127.0.0.1:1", "127.0.0.1:2"],
        "known": {"generation": 4, "instances": instances},
        "settings": DEPLOYMENT_SETTINGS,
    } | changes


def encode_request(frontend: str = "check", trace: str = "t1", **headers: str) -> bytes:
    """Encodes the head of a client's request; a header with an empty value is omitted."""
    named_headers = {
        "Host": "b",
        "X-Trace-Id": trace,
        "Plan": "basic",
        "Cookie": "theme=dark; key=00000000b4d65521",
        "X-Expires-In": "1900m",
        "Quota-Info": "units=2,spread=2,first=1",
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    method = "GET" if frontend == "check" else "POST"
    header_lines = [f"{name}: {value}" for name, value in named_headers.items() if value]
    lines = [f"{method} /{frontend}/7?a=b HTTP/1.1", *header_lines]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


CLIENT_REQUEST = ClientRequest(
    1, 0.0, "t", b"GET", b"/check", [(b"host", b"b")], b"", "check", "c", "basic", 1, 1, 0, 900.0
)
UPSTREAM_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: text/x\r\nX-Mark: 1\r\n\r\nhello"


def transport_with_stopped_clock() -> SocketTransport:
    """Returns a transport on real sockets whose clock is always 0."""
    transport = SocketTransport()
    transport.clock = lambda: 0.0  # type: ignore[method-assign]  # replaced for this instance only
    return transport


def new_upstream_pool(
    post_event: Callable[[EdgeEvent], None],
    connect_timeout_ms: float = 250.0,
    accepts_attempts: Callable[[Endpoint], bool] = lambda _endpoint: True,
) -> UpstreamPool:
    """Returns an upstream pool without a node; `post_event` receives the ends of its attempts."""

    def may_start_attempt(attempt: SendAttempt, remaining_ms: float) -> bool:
        return remaining_ms > 0.0 and accepts_attempts(attempt.endpoint)

    transport = transport_with_stopped_clock()
    options = UpstreamPoolOptions(
        connect_timeout_ms=connect_timeout_ms,
        keep_alive_ms=15000.0,
        has_capacity=lambda: True,
        accepts_attempts=accepts_attempts,
        may_start_attempt=may_start_attempt,
        report_fault=print,
    )
    return UpstreamPool(transport, post_event, options)


class StubAppServer:
    """A TCP server that writes a prepared answer to each request.

    Requests are answered with the elements of `answers` in order, and then with `UPSTREAM_ANSWER`. An element
    has the bytes to write and whether to close the connection afterwards; None leaves a request unanswered.
    """

    def __init__(self, *answers: tuple[bytes, bool] | None) -> None:
        self.answers = list(answers)
        self.received_heads: list[bytes] = []  # heads of the received requests
        self.connection_count = 0
        self.closed = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> StubAppServer:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                self.received_heads.append(await reader.readuntil(b"\r\n\r\n"))
                answer = self.answers.pop(0) if self.answers else (UPSTREAM_ANSWER, False)
                if answer is None:
                    continue
                text, closes = answer
                writer.write(text)
                if closes:
                    break
        self.closed.set()
        writer.close()


class RunningNode:
    """An edge node in this process, with a client connection to it."""

    def __init__(self, *servers: Address, **changes: Any) -> None:
        """Creates a node with these app servers; `changes` replaces top-level fields of its file."""
        self.log_output = io.BytesIO()  # the node's log
        self.reload_fields: dict[str, Any] | None = None  # fields of the file that a reload reads
        node_config = config.decode_config(node_fields(*servers, **changes))
        event_log = StructuredLog("n0", out=io.TextIOWrapper(self.log_output, write_through=True))
        transport = SocketTransport()
        transport.resident_bytes = lambda: 0  # type: ignore[method-assign]  # the test process is not a node
        self.node = EdgeNode(node_config, event_log, self._reread_config, transport)

    async def __aenter__(self) -> RunningNode:
        self.running = asyncio.get_running_loop().create_task(self.node.run())
        while not self.node.is_ready():
            assert not self.running.done(), self.running
            await asyncio.sleep(0.001)
        assert self.node.clients.listener.server is not None
        self.address = self.node.clients.listener.server.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        self.node.close()

    async def send_request(self, data: bytes) -> tuple[bytes, bytes]:
        """Sends a request on the client connection and returns the head and the body of the answer."""
        self.writer.write(data)
        return await self.answer()

    async def answer(self) -> tuple[bytes, bytes]:
        """Returns the head and the body of the next answer on the client connection."""
        async with asyncio.timeout(5.0):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            return head, await self.reader.readexactly(length)

    def _reread_config(self) -> NodeConfig:
        return config.decode_config(self.reload_fields or {}, is_reload=True)
