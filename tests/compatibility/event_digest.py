"""Digests of events, and the means to observe calls of the code under test.

A digest contains no class name, field name, repr or log line.
"""

from __future__ import annotations

import contextlib
import functools
import gc
import hashlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterator

Record = dict[str, Any]
Value = int | float | bytes | str | None


class EventDigest:
    """A running sha256 over events, each a sequence of plain values, encoded without ambiguity."""

    def __init__(self) -> None:
        self.hash = hashlib.sha256()
        self.events = 0
        self.numbers: dict[Any, int] = {}

    def add(self, *values: Value) -> None:
        """Append one event."""
        self.events += 1
        encoded = b"".join(encode(value) for value in values)
        self.hash.update(b"%d:%s" % (len(encoded), encoded))

    def number(self, thing: Any) -> int:
        """The place of a host or connection in the order of first appearance."""
        return self.numbers.setdefault(thing, len(self.numbers))

    def hexdigest(self) -> str:
        """The digest of all events so far."""
        return self.hash.hexdigest()


def encode(value: Value) -> bytes:
    """One value as a type tag, a length and its bytes; floats by their shortest exact decimal form."""
    if value is None:
        return b"n"
    if isinstance(value, bytes):
        return b"b%d:%s" % (len(value), value)
    if isinstance(value, str):
        text = value.encode()
        return b"s%d:%s" % (len(text), text)
    if isinstance(value, float):
        return b"f%s;" % repr(value).encode()
    return b"i%d;" % value


@contextlib.contextmanager
def wrapped(owner: type, name: str, wrapper: Callable[..., Any]) -> Iterator[None]:
    """Replace the method `name` by `wrapper(original, self, *args)` for the time of the context."""
    original = getattr(owner, name)

    @functools.wraps(original)
    def replacement(self: Any, *args: Any) -> Any:
        return wrapper(original, self, *args)

    setattr(owner, name, replacement)
    try:
        yield
    finally:
        setattr(owner, name, original)


@contextlib.contextmanager
def without_collector() -> Iterator[None]:
    """Keep the cyclic collector from closing abandoned tasks at a moment of its own."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
        gc.collect()


async def final_digest(digest: EventDigest, main: Coroutine[Any, Any, Any]) -> tuple[Any, str, int]:
    """The result of `main` with the digest at its end, before the loop tears down what is left."""
    result = await main
    return result, digest.hexdigest(), digest.events
