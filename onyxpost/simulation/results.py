"""Results as JSON lines: written whole or not at all, read with their version checked."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from onyxpost.simulation.errors import InvalidResultsError, ResultsNotWrittenError, SimulationFileError

VERSION = 1


def encode(lines: Iterable[dict[str, Any]]) -> bytes:
    return b"".join(msgspec.json.encode({**line, "version": VERSION}) + b"\n" for line in lines)


def write(path: Path, data: bytes) -> None:
    """Beside its place first: an interrupted run leaves the file that was there, or none."""
    beside = path.with_name(path.name + f".{os.getpid()}.part")
    try:
        beside.write_bytes(data)
        beside.replace(path)
    except OSError as err:
        raise ResultsNotWrittenError(str(err.strerror), str(path)) from err
    finally:
        beside.unlink(missing_ok=True)


def read(path: Path) -> list[dict[str, Any]]:
    try:
        data = path.read_bytes()
    except OSError as err:
        raise SimulationFileError(str(err.strerror), str(path)) from err
    lines = []
    for number, text in enumerate(data.splitlines(), 1):
        try:
            line: dict[str, Any] = msgspec.json.decode(text, type=dict[str, Any])
        except msgspec.DecodeError as err:
            raise InvalidResultsError(f"line {number}: {err}", str(path)) from err
        if line.get("version") != VERSION:
            what = f"line {number}: results of version {line.get('version')}, not {VERSION}"
            raise InvalidResultsError(what, str(path))
        lines.append(line)
    if not any(line.get("kind") == "total" for line in lines):
        raise InvalidResultsError("no run's totals in it", str(path))
    return lines


def last(data: bytes) -> dict[str, Any]:
    """A run's totals: its last line."""
    return msgspec.json.decode(data.splitlines()[-1], type=dict[str, Any])


def breaches(data: bytes) -> list[dict[str, Any]]:
    lines = [line for line in data.splitlines() if b'"breach"' in line]
    told: list[dict[str, Any]] = [msgspec.json.decode(line) for line in lines]
    return [line for line in told if line["kind"] == "breach"]
