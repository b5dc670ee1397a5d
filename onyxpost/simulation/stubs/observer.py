"""Who is notified of what reaches the stubs, and of the endpoints that they send."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

if TYPE_CHECKING:
    import asyncio

CELLS = 2


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """A stub app server in one incarnation, as discovery names it."""

    id: str
    index: int  # of the server among all; its incarnations share it
    incarnation: int
    zone: str

    @property
    def cell(self) -> int:
        """The part of the installation that the server belongs to."""
        return self.index % CELLS


class AttemptKey(NamedTuple):
    """What an observer calls an attempt that reached a server; the stub hands it back."""

    sender: str
    attempt_index: int


class RequestObserver(Protocol):
    """Is notified of attempts that reach stub app servers and of endpoints that discovery agents send."""

    def on_attempt_received(
        self, writer: asyncio.StreamWriter, trace_id: str, server: ServerIdentity
    ) -> AttemptKey:
        """A complete request arrived at `server` on the connection of `writer`."""
        ...

    def on_attempt_not_executed(self, attempt: AttemptKey, trace_id: str) -> None:
        """The server is about to answer that it did not execute the attempt."""

    def on_endpoints_sent(self, node_index: int, rows: list[dict[str, Any]]) -> None:
        """The node's discovery agent is about to send `rows`, in the form of the discovery protocol."""


class NullObserver:
    """A `RequestObserver` that does nothing."""

    def on_attempt_received(
        self,
        writer: asyncio.StreamWriter,  # noqa: ARG002 - part of the protocol
        trace_id: str,  # noqa: ARG002
        server: ServerIdentity,  # noqa: ARG002
    ) -> AttemptKey:
        """Names every attempt alike."""
        return AttemptKey("", 0)

    def on_attempt_not_executed(self, attempt: AttemptKey, trace_id: str) -> None:
        """Does nothing."""

    def on_endpoints_sent(self, node_index: int, rows: list[dict[str, Any]]) -> None:
        """Does nothing."""
