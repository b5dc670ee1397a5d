"""A stub discovery agent, which answers the long polls of one node with the endpoints that it holds."""

from __future__ import annotations

import asyncio
import contextlib
import re
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from onyxpost.core.units import MS_PER_SECOND
from onyxpost.simulation.stubs.http import ACCEPTS_PER_TURN, STREAM_LIMIT_BYTES

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import Listener, Transport
    from onyxpost.simulation.stubs.observer import RequestObserver

TIMEOUT_PARAMETER = re.compile(rb"timeout_ms=(\d+)")
DEFAULT_POLL_TIMEOUT_SECONDS = 5.0
SILENCE_CHECK_SECONDS = 0.05


class EndpointsResponse(NamedTuple):
    """The answer to a poll: its endpoints, and the bytes of the whole response."""

    rows: list[dict[str, Any]]
    encoded: bytes


class DiscoveryAgent:
    """The discovery agent of one node.

    Attributes:
        node_index: Index of the node that the agent serves.
        address: Address to listen on; the owner replaces port 0 by the bound port.
        generation: Generation of the endpoints; every update increments it.
        endpoints: The latest row of each instance id, in the format of the discovery protocol.
        is_silent: Whether polls are left unanswered.
        writers: Writers of the open connections.
    """

    def __init__(
        self, transport: Transport, observer: RequestObserver, node_index: int, address: Address
    ) -> None:
        self.transport = transport
        self.observer = observer
        self.node_index = node_index
        self.address = address
        self.generation = 1
        self.endpoints: dict[str, dict[str, Any]] = {}
        self.is_silent = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: Listener | None = None
        self._updated = asyncio.Event()
        self._updates: list[tuple[int, dict[str, Any]]] = []  # generation and row of each update

    async def open(self) -> None:
        """Starts listening. Raises ListenError if the address cannot be bound."""
        self.listener = await self.transport.listen(
            self.serve, self.address, STREAM_LIMIT_BYTES, ACCEPTS_PER_TURN
        )

    def update_endpoint(self, row: dict[str, Any]) -> None:
        """Adds or replaces an endpoint by its row of the discovery protocol, and answers waiting polls."""
        self.generation += 1
        self.endpoints[row["instanceId"]] = row
        self._updates.append((self.generation, row))
        self._updated.set()
        self._updated = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the polls of one connection until the node closes it."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self.wait_while_silent()
                response = await self.wait_for_update(head)
                self.observer.on_endpoints_sent(self.node_index, response.rows)
                writer.write(response.encoded)
        self.writers.discard(writer)
        writer.close()

    async def wait_while_silent(self) -> None:
        """Returns once the agent is not silent."""
        while self.is_silent:  # noqa: ASYNC110 - owners only set a flag; checks every 50 ms suffice
            await asyncio.sleep(SILENCE_CHECK_SECONDS)

    async def wait_for_update(self, head: bytes) -> EndpointsResponse:
        """Returns the response to a poll, once there is a newer update or the poll has timed out.

        Args:
            head: The request's header section. Without `since`, all endpoints are returned immediately.
        """
        if b"since=" not in head:
            rows = [row for row in self.endpoints.values() if row["lifecycle"] != "removed"]
            return self._response(rows, reset=True)
        since = int(head.split(b"since=")[1].split(b"&")[0])
        if since >= self.generation:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_poll_timeout_seconds(head)):
                    await self._updated.wait()
        rows = [row for generation, row in self._updates if generation > since]
        return self._response(rows, reset=False)

    def _response(self, rows: list[dict[str, Any]], *, reset: bool) -> EndpointsResponse:
        body = msgspec.json.encode({"generation": self.generation, "reset": reset, "instances": rows})
        return EndpointsResponse(rows, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def _poll_timeout_seconds(head: bytes) -> float:
    parameter = TIMEOUT_PARAMETER.search(head)
    return int(parameter[1]) / MS_PER_SECOND if parameter else DEFAULT_POLL_TIMEOUT_SECONDS
