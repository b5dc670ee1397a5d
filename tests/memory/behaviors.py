"""Draws what bad clients send, where they stop, how fast, and whether they read and return."""

from __future__ import annotations

from enum import StrEnum
from random import Random

import msgspec

from onyxpost.simulation.http_client import RequestFields

MAX_CLIENTS = 900
MAX_BODY_BYTES = 65_000
MAX_HEAD_BYTES = 15_000
LONG_VALUE_BYTES = 1_000
PLAN = "team"
FRONTEND = "post"
TIMEOUT_MS = 5_000.0


class Content(StrEnum):
    """What a bad client sends."""

    NOTHING = "nothing"
    BODY = "body"  # a request with a body of known length
    CHUNKS = "chunks"  # a request with a body in chunks
    LONG_FIELDS = "long fields"
    SHORT_FIELDS = "short fields"
    SMALL_REQUESTS = "small requests"  # many on one connection, each of a new customer
    UNSOUND_REQUESTS = "unsound requests"  # many on one connection, each of an unknown plan


class Behavior(msgspec.Struct, frozen=True, kw_only=True):
    """How some of the bad clients of a run behave.

    Attributes:
        clients: number of clients that behave so.
        content: what they send.
        size_bytes: size of the body or head of a request.
        sent_share: share of the request after which they stop; 1 completes it.
        piece_bytes: bytes that they write at once.
        pause_seconds: pause after each piece.
        reads: whether they read their answers.
        returns: whether they connect again as soon as they are turned away.
    """

    clients: int
    content: Content
    size_bytes: int = 0
    sent_share: float = 1.0
    piece_bytes: int = MAX_BODY_BYTES
    pause_seconds: float = 0.0
    reads: bool = True
    returns: bool = True


def draw_behaviors(seed: int) -> list[Behavior]:
    """Returns the behaviors of one run."""
    rng = Random(seed)
    kinds = rng.randint(1, 3)
    clients = rng.choice([100, 300, 500, MAX_CLIENTS]) // kinds
    return [_draw_behavior(rng, clients) for _ in range(kinds)]


def _draw_behavior(rng: Random, clients: int) -> Behavior:
    content: Content = rng.choice(tuple(Content.__members__.values()))
    is_slow = rng.random() < 0.4
    max_bytes = MAX_BODY_BYTES if content in (Content.BODY, Content.CHUNKS) else MAX_HEAD_BYTES
    return Behavior(
        clients=clients,
        content=content,
        size_bytes=rng.choice([3_990, max_bytes // 4, max_bytes - 1_000, max_bytes]),
        sent_share=rng.choice([0.1, 0.5, 0.95, 0.999, 1.0]),
        piece_bytes=rng.choice([200, 1_000]) if is_slow else MAX_BODY_BYTES,
        pause_seconds=rng.choice([0.01, 0.05, 0.2]) if is_slow else 0.0,
        reads=rng.random() < 0.6,
        returns=rng.random() < 0.7,
    )


def encode(behavior: Behavior, trace_id: str, customer: int) -> bytes:
    """Returns the bytes that a client sends for one request, up to the place where it stops."""
    is_unsound = behavior.content is Content.UNSOUND_REQUESTS
    fields = RequestFields(trace_id, "no-such-plan" if is_unsound else PLAN, customer, TIMEOUT_MS, 1)
    lines = [f"POST /{FRONTEND}/1 HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.headers()]
    lines.append(f"Idempotency-Key: {trace_id}")
    head = "\r\n".join(lines).encode() + b"\r\n"
    size = behavior.size_bytes
    match behavior.content:
        case Content.NOTHING:
            return b""
        case Content.BODY:
            data = head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
        case Content.CHUNKS:
            chunk = b"100\r\n" + b"x" * 256 + b"\r\n"
            data = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * (size // 256) + b"0\r\n\r\n"
        case Content.LONG_FIELDS:
            field = b"X-Long: " + b"v" * LONG_VALUE_BYTES + b"\r\n"
            data = head + field * (size // len(field)) + b"Content-Length: 0\r\n\r\n"
        case Content.SHORT_FIELDS:
            data = head + b"a:1\r\n" * (size // 5) + b"Content-Length: 0\r\n\r\n"
        case _:
            return head + b"Content-Length: 0\r\n\r\n"
    return data[: int(len(data) * behavior.sent_share)]
