"""The actions of the leadership model. A message that no action delivers is lost."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passes, and every node's timers run."""

    duration_ms: float


@dataclass(frozen=True, slots=True)
class DeliverMessage:
    """One message in flight is delivered."""

    index: int  # among the messages in flight


@dataclass(frozen=True, slots=True)
class DeliverDuplicate:
    """One message in flight is delivered, and a duplicate stays in flight."""

    index: int


@dataclass(frozen=True, slots=True)
class DeliverCall:
    """A call of the fenced resource is delivered."""

    index: int


@dataclass(frozen=True, slots=True)
class Exchange:
    """A candidate and the acceptors exchange messages until none between them is in flight."""

    candidate: str
    unreachable_acceptor: str = ""


@dataclass(frozen=True, slots=True)
class ExchangeAmongAcceptors:
    """The acceptors exchange messages until none between them is in flight."""


@dataclass(frozen=True, slots=True)
class DeliverRequests:
    """The messages of a candidate are delivered; the replies stay in flight."""

    candidate: str


@dataclass(frozen=True, slots=True)
class DeliverReplies:
    """The messages to a candidate are delivered."""

    candidate: str


@dataclass(frozen=True, slots=True)
class RestartAcceptor:
    """An acceptor restarts without its state."""

    acceptor: str


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """A candidate writes a record, if it leads."""

    candidate: str


@dataclass(frozen=True, slots=True)
class CallResource:
    """A candidate sends a call to the fenced resource, if it leads."""

    candidate: str


Delivery = (
    DeliverMessage
    | DeliverDuplicate
    | DeliverCall
    | Exchange
    | ExchangeAmongAcceptors
    | DeliverRequests
    | DeliverReplies
)
Action = Tick | RestartAcceptor | WriteRecord | CallResource | Delivery
