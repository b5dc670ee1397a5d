"""A discovery agent on the virtual clock, with faults for each way in which a node's poll can fail."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum, auto
from typing import TYPE_CHECKING, Any, Protocol

from onyxpost.simulation.stubs import DiscoveryAgent, EndpointsResponse, RequestObserver

if TYPE_CHECKING:
    from onyxpost.config.address import Address
    from onyxpost.runtime.transport import Transport

LIFECYCLE_ORDER = ("up", "draining", "removed")
BUSY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class AgentFailure(Enum):
    """How polls fail at an agent whose discovery is up."""

    NONE = auto()
    REFUSES = auto()
    BUSY = auto()
    TRUNCATES = auto()


class DiscoveryObserver(RequestObserver, Protocol):
    """An observer that is also notified of the rows that an agent holds, whether or not it has sent them."""

    def on_endpoints_held(self, agent: FailingAgent, rows: list[dict[str, Any]]) -> None:
        """Handles the rows that the agent holds, in the format of the discovery protocol."""


class FailingAgent(DiscoveryAgent):
    """An agent that fails on demand.

    While the agent is silent, discovery is down: the agent stores updates only when it recovers. With an
    `AgentFailure`, it stores updates at once, but polls fail. `silence_polls` leaves only the polls on the
    open connections without an answer; polls on later connections are answered.

    Attributes:
        failure: How polls fail at present.
        may_have_failed_polls: Whether a poll may have failed since the last complete response. The rows that
            the agent holds then do not count as known to the node at once.
        known_from_ms: After a SIGHUP, the earliest time at which the agent's rows count as known to the node.
    """

    def __init__(
        self, transport: Transport, observer: DiscoveryObserver, node_index: int, address: Address
    ) -> None:
        super().__init__(transport, observer, node_index, address)
        self.failure = AgentFailure.NONE
        self.may_have_failed_polls = False
        self.known_from_ms = 0.0
        self._discovery_observer = observer
        self._unanswered_writers: set[asyncio.StreamWriter] = set()
        self._deferred_rows: list[dict[str, Any]] = []

    @property
    def is_reachable(self) -> bool:
        """Whether a poll can reach the agent."""
        return not self.is_silent and self.failure is not AgentFailure.REFUSES

    def update_endpoint(self, row: dict[str, Any]) -> None:
        """Stores a row unless a newer one is held; a silent agent stores the row when it recovers."""
        if self.is_silent:
            self._deferred_rows.append(row)
            return
        held = self.endpoints.get(row["instanceId"])
        if held is not None and _lifecycle_rank(held) > _lifecycle_rank(row):
            return
        super().update_endpoint(row)
        self._discovery_observer.on_endpoints_held(self, [row])

    def recover(self) -> None:
        """Ends the silence and stores the updates that arrived during the silence."""
        self.is_silent = False
        deferred_rows = self._deferred_rows
        self._deferred_rows = []
        for row in deferred_rows:
            self.update_endpoint(row)
        self._report_all_held()

    def silence_polls(self) -> None:
        """Leaves polls on the open connections without an answer."""
        self._unanswered_writers |= self.writers
        self.may_have_failed_polls = True

    def reset_polls(self) -> None:
        """Resets the open connections, so that their polls fail."""
        for writer in list(self.writers):
            writer.transport.abort()
        self.may_have_failed_polls = True

    def begin_failure(self, failure: AgentFailure) -> None:
        """Makes polls fail from now on, until `end_failure`."""
        self.failure = failure
        self.may_have_failed_polls = True
        if failure is AgentFailure.REFUSES:
            assert self.listener is not None
            self.listener.close()
            self.reset_polls()

    async def end_failure(self, failure: AgentFailure) -> None:
        """Ends a failure, unless another one has begun since."""
        if self.failure is not failure:
            return
        self.failure = AgentFailure.NONE
        if failure is AgentFailure.REFUSES:
            await self.open()
            self._report_all_held()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the polls of one connection."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._serve_poll(reader, writer):
                pass
        self.writers.discard(writer)
        self._unanswered_writers.discard(writer)
        writer.close()

    async def _serve_poll(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serves one poll; returns whether the connection may serve another."""
        head = await reader.readuntil(b"\r\n\r\n")
        rows, encoded = await self._wait_for_response(head)
        if writer.is_closing():
            return False
        if writer in self._unanswered_writers:
            await reader.read()  # returns when the node closes the connection
            return False
        if self.failure is AgentFailure.TRUNCATES:
            writer.write(encoded[: len(encoded) * 2 // 3])
            return False
        writer.write(encoded)
        if encoded is not BUSY_RESPONSE:
            self.may_have_failed_polls = False
            self.known_from_ms = 0.0
            self.observer.on_endpoints_sent(self.node_index, rows)
        return True

    async def _wait_for_response(self, head: bytes) -> EndpointsResponse:
        while True:
            await self.wait_while_silent()
            if self._is_busy():
                return EndpointsResponse([], BUSY_RESPONSE)
            response = await self.wait_for_update(head)
            if not self.is_silent and not self._is_busy():
                return response

    def _is_busy(self) -> bool:
        return self.failure is AgentFailure.BUSY

    def _report_all_held(self) -> None:
        self._discovery_observer.on_endpoints_held(self, list(self.endpoints.values()))


def _lifecycle_rank(row: dict[str, Any]) -> int:
    return LIFECYCLE_ORDER.index(row["lifecycle"])
