"""A discovery agent that can fail in each way that a node's call to it can, on the virtual clock."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any, Protocol

from onyxpost.config.address import Address
from onyxpost.runtime.transport import Transport
from onyxpost.simulation.stubs import DiscoveryAgent, EndpointsResponse, RequestObserver

LIFE = ("up", "draining", "removed")
BUSY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class Holding(RequestObserver, Protocol):
    """Whoever wants to know as well what an agent holds, told or not."""

    def held(self, agent: FailingAgent, rows: list[dict[str, Any]]) -> None: ...


class FailingAgent(DiscoveryAgent):
    """Silent, it is discovery that is down: it learns nothing until it speaks again. Else it learns, and

    `how` says what becomes of calls: `refuse`, `busy` (503), `cut` in the middle of an answer; a watch that
    was hushed gets no answer, and one begun anew does. `disturbed`: a call may have come to nothing since
    the last whole answer, and what it holds does not count as told at once.
    """

    def __init__(self, net: Transport, watching: Holding, number: int, address: Address) -> None:
        super().__init__(net, watching, number, address)
        self.holding = watching
        self.how = ""
        self.disturbed = False
        self.counts_from = 0.0  # ms: after a SIGHUP what it holds counts no sooner
        self.hushed: set[asyncio.StreamWriter] = set()
        self.missed: list[dict[str, Any]] = []

    @property
    def reachable(self) -> bool:
        return not self.is_silent and self.how != "refuse"

    def update_endpoint(self, row: dict[str, Any]) -> None:
        if self.is_silent:
            self.missed.append(row)
            return
        held = self.endpoints.get(row["instanceId"])
        if held is not None and LIFE.index(held["lifecycle"]) > LIFE.index(row["lifecycle"]):
            return  # that list was late, and a newer one is here
        super().update_endpoint(row)
        self.holding.held(self, [row])

    def speak(self) -> None:
        """Discovery is up again, and what it had to tell is here at once."""
        self.is_silent = False
        missed, self.missed = self.missed, []
        for row in missed:
            self.update_endpoint(row)
        self.holding.held(self, list(self.endpoints.values()))

    def hush(self) -> None:
        """The open watches fall silent."""
        self.hushed |= self.writers
        self.disturbed = True

    def reset(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()
        self.disturbed = True

    def fail(self, how: str) -> None:
        self.how, self.disturbed = how, True
        if how == "refuse":
            assert self.listener is not None
            self.listener.close()
            self.reset()

    async def mend(self, how: str) -> None:
        if self.how != how:
            return  # another fault has begun since
        self.how = ""
        if how == "refuse":
            await self.open()
            self.holding.held(self, list(self.endpoints.values()))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self.one(reader, writer):
                pass
        self.writers.discard(writer)
        self.hushed.discard(writer)
        writer.close()

    async def one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        rows, text = await self.answer(head)
        if writer.is_closing():
            return False  # nobody is told by it any more
        if writer in self.hushed:
            await reader.read()  # until the node gives it up
            return False
        if self.how == "cut":
            writer.write(text[: len(text) * 2 // 3])
            return False
        writer.write(text)
        if text is not BUSY:
            self.disturbed, self.counts_from = False, 0.0
            self.observer.on_endpoints_sent(self.node_index, rows)
        return True

    async def answer(self, head: bytes) -> EndpointsResponse:
        while True:
            while self.is_silent:
                await asyncio.sleep(0.05)
            if self.how == "busy":
                return EndpointsResponse([], BUSY)
            told = await self.wait_for_update(head)
            if not self.is_silent and self.how != "busy":
                return told
