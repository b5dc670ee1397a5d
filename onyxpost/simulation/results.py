"""Result files: JSON lines, each with the version of the format. Files are written atomically."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import msgspec

from onyxpost.simulation.errors import InvalidResultsError, ResultsNotWrittenError, SimulationFileError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

VERSION = 1

ResultLine = dict[str, Any]  # `kind` is the type of the line, `version` that of the format


def encode(lines: Iterable[ResultLine]) -> bytes:
    """Encodes result lines as JSON, and adds the format version to each."""
    return b"".join(msgspec.json.encode({**line, "version": VERSION}) + b"\n" for line in lines)


def write(path: Path, data: bytes) -> None:
    """Writes a file atomically: an existing file is kept until the new one is complete.

    Raises:
        ResultsNotWrittenError: the file cannot be written.
    """
    temporary = path.with_name(path.name + f".{os.getpid()}.part")
    try:
        temporary.write_bytes(data)
        temporary.replace(path)
    except OSError as error:
        raise ResultsNotWrittenError(str(error.strerror), str(path)) from error
    finally:
        temporary.unlink(missing_ok=True)


def read(path: Path) -> list[ResultLine]:
    """Reads the lines of a result file.

    Raises:
        SimulationFileError: the file cannot be read.
        InvalidResultsError: a line is malformed or has another version, or no line holds totals.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SimulationFileError(str(error.strerror), str(path)) from error
    lines = [_decode_line(text, number, path) for number, text in enumerate(data.splitlines(), 1)]
    if not any(line.get("kind") == "total" for line in lines):
        raise InvalidResultsError("no line with the totals of a run", str(path))
    return lines


def _decode_line(text: bytes, number: int, path: Path) -> ResultLine:
    try:
        line: ResultLine = msgspec.json.decode(text, type=ResultLine)
    except msgspec.DecodeError as error:
        raise InvalidResultsError(f"line {number}: {error}", str(path)) from error
    if line.get("version") != VERSION:
        problem = f"line {number}: results of version {line.get('version')}; expected version {VERSION}"
        raise InvalidResultsError(problem, str(path))
    return line


def decode_totals(data: bytes) -> ResultLine:
    """Returns the totals of one encoded run, which are its last line."""
    return msgspec.json.decode(data.splitlines()[-1], type=ResultLine)


def decode_violations(data: bytes) -> list[ResultLine]:
    """Returns the violations of one encoded run."""
    candidates = [line for line in data.splitlines() if b'"breach"' in line]
    lines: list[ResultLine] = [msgspec.json.decode(line) for line in candidates]
    return [line for line in lines if line["kind"] == "breach"]
