"""The interface of observers, which are notified of received attempts and of sent endpoint updates."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    import asyncio

CELLS = 2  # servers are assigned to cells by their index


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """The identity of one incarnation of a stub app server."""

    id: str
    index: int  # index of the server among all servers; its incarnations share it
    incarnation: int
    zone: str

    @property
    def cell(self) -> int:
        """The cell that the server belongs to."""
        return self.index % CELLS


class AttemptKey(NamedTuple):
    """An observer's key of a received attempt, which the stub passes to later calls."""

    sender: str
    attempt_index: int


class RequestObserver(Protocol):
    """Observes the attempts that stub app servers receive, and the endpoints that discovery agents send."""

    def on_attempt_received(
        self, writer: asyncio.StreamWriter, trace_id: str, server: ServerIdentity
    ) -> AttemptKey:
        """Called when `server` has received a complete request on the connection of `writer`."""
        ...

    def on_attempt_not_executed(self, attempt: AttemptKey, trace_id: str) -> None:
        """Called before the server answers that it did not execute the attempt."""

    def on_endpoints_sent(self, node_index: int, rows: list[dict[str, Any]]) -> None:
        """Called before the node's discovery agent sends `rows`, in the format of the discovery protocol."""


class NullObserver:
    """A `RequestObserver` that does nothing."""

    def on_attempt_received(
        self,
        writer: asyncio.StreamWriter,  # noqa: ARG002 - part of the protocol
        trace_id: str,  # noqa: ARG002
        server: ServerIdentity,  # noqa: ARG002
    ) -> AttemptKey:
        """Returns the same key for every attempt."""
        return AttemptKey("", 0)

    def on_attempt_not_executed(self, attempt: AttemptKey, trace_id: str) -> None:
        """Does nothing."""

    def on_endpoints_sent(self, node_index: int, rows: list[dict[str, Any]]) -> None:
        """Does nothing."""
