"""Invalid byte strings, made from the bytes of a valid message without use of the program."""

from __future__ import annotations

from typing import Any

import msgspec

InvalidBytes = dict[str, bytes]


def framed(body: bytes) -> bytes:
    """Returns a message with its length before it, as four big-endian bytes."""
    return len(body).to_bytes(4, "big") + body


def invalid_bodies(body: bytes) -> InvalidBytes:
    """Returns message bodies that each differ from a valid one by one error, by case."""
    value: Any = msgspec.msgpack.decode(body)
    invalid = {
        "cut short": body[:-1],
        "bytes after the end": body + b"\x00",
        "no MessagePack": b"\xc1",
        "a number": msgspec.msgpack.encode(7),
        "nothing": b"",
    }
    if isinstance(value, list):
        invalid["unknown kind"] = msgspec.msgpack.encode(["unknown", *value[1:]])
        invalid["one field more"] = msgspec.msgpack.encode([*value, 0])
        invalid["one field fewer"] = msgspec.msgpack.encode(value[:-1])
        invalid["field of another type"] = msgspec.msgpack.encode([*value[:-1], {"x": 1}])
        return invalid
    invalid["unknown kind"] = msgspec.msgpack.encode({**value, "say": "unknown"})
    invalid["no kind"] = msgspec.msgpack.encode({k: v for k, v in value.items() if k != "say"})
    invalid["unknown field"] = msgspec.msgpack.encode({**value, "unknown": 0})
    for name, content in value.items():
        if name == "say":
            continue
        invalid[f"field of another type: {name}"] = msgspec.msgpack.encode({**value, name: {"x": [content]}})
        if isinstance(content, int) and not isinstance(content, bool):
            invalid[f"negative: {name}"] = msgspec.msgpack.encode({**value, name: -1})
            invalid[f"too large: {name}"] = msgspec.msgpack.encode({**value, name: 2**53})
        if name not in ("record", "holds", "whole"):
            remaining = {k: v for k, v in value.items() if k != name}
            invalid[f"missing: {name}"] = msgspec.msgpack.encode(remaining)
    return invalid


def invalid_frames(frame: bytes, limit: int) -> InvalidBytes:
    """Returns frames with an invalid body or length, by case; `limit` is the longest body in bytes."""
    invalid = {name: framed(body) for name, body in invalid_bodies(frame[4:]).items()}
    invalid["end inside the length"] = frame[:3]
    invalid["end inside the body"] = frame[:-1]
    invalid["length of zero"] = bytes(4)
    invalid["length above the limit"] = (limit + 1).to_bytes(4, "big") + frame[4:]
    return invalid
