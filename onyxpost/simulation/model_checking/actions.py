"""The actions of the leadership model. Message loss needs no action: a lost message is never delivered."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tick:
    """Advances the time by `duration_ms` and runs every node's timers."""

    duration_ms: float


@dataclass(frozen=True, slots=True)
class DeliverMessage:
    """Delivers one message in flight."""

    index: int  # index in the sorted list of messages in flight, as in the next two actions


@dataclass(frozen=True, slots=True)
class DeliverDuplicate:
    """Delivers one message in flight and leaves a duplicate in flight."""

    index: int


@dataclass(frozen=True, slots=True)
class DeliverCall:
    """Delivers a call to the fenced resource."""

    index: int


@dataclass(frozen=True, slots=True)
class Exchange:
    """Delivers messages between a candidate and the acceptors until none of them is in flight."""

    candidate: str
    unreachable_acceptor: str = ""  # exchanges no messages with the candidate; "" if all acceptors do


@dataclass(frozen=True, slots=True)
class ExchangeAmongAcceptors:
    """Delivers messages between the acceptors until none of them is in flight."""


@dataclass(frozen=True, slots=True)
class DeliverRequests:
    """Delivers all messages from a candidate; the replies stay in flight."""

    candidate: str


@dataclass(frozen=True, slots=True)
class DeliverReplies:
    """Delivers all messages to a candidate."""

    candidate: str


@dataclass(frozen=True, slots=True)
class RestartAcceptor:
    """Restarts an acceptor without its state."""

    acceptor: str


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Makes a candidate write a record, if it is the leader."""

    candidate: str


@dataclass(frozen=True, slots=True)
class CallResource:
    """Makes a candidate send a call to the fenced resource, if it is the leader."""

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
