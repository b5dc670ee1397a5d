"""Digests of events, and wrappers that observe method calls of the code under test.

A digest contains no class name, field name, repr or log line, so that a rename does not change the digest.
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
    """SHA-256 over a sequence of events; each event is a sequence of plain values, encoded unambiguously."""

    def __init__(self) -> None:
        self.hash = hashlib.sha256()
        self.events = 0
        self.numbers: dict[Any, int] = {}

    def add(self, *values: Value) -> None:
        """Adds one event."""
        self.events += 1
        encoded = b"".join(encode(value) for value in values)
        self.hash.update(b"%d:%s" % (len(encoded), encoded))

    def number(self, thing: Any) -> int:
        """Returns the index of a host or connection in the order of first appearance."""
        return self.numbers.setdefault(thing, len(self.numbers))

    def hexdigest(self) -> str:
        """Returns the digest of all events added so far."""
        return self.hash.hexdigest()


def encode(value: Value) -> bytes:
    """Encodes one value with a type tag; texts and bytes have a length before them.

    Floats are written in their shortest exact decimal form.
    """
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
    """Replaces the method `name` by `wrapper(original, self, *args)` while the context is open."""
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
    """Disables the cyclic garbage collector, which would close abandoned tasks at unpredictable times."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
        gc.collect()


async def final_digest(digest: EventDigest, main: Coroutine[Any, Any, Any]) -> tuple[Any, str, int]:
    """Returns the result of `main`, and the digest and number of events at its end.

    The digest is taken before the event loop cancels the remaining tasks, whose events are not recorded.
    """
    result = await main
    return result, digest.hexdigest(), digest.events
