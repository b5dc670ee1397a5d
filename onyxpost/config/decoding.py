"""Decodes files and messages into typed values. Errors name their source, and the key at fault if any."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import msgspec

from onyxpost.errors import FileOpenError, InvalidValueError, ParseError

JsonObject = dict[str, Any]

Decoded = TypeVar("Decoded")


class Settings(msgspec.Struct, kw_only=True):
    """Base of settings from operators and from the simulator. Unknown keys are ignored."""


def decode_as(data: object, target_type: type[Decoded], source: str) -> Decoded:
    """Decodes JSON text, or converts parsed JSON, and checks types and ranges.

    Args:
        data: JSON text as bytes, or parsed JSON.
        target_type: the type to decode to.
        source: the file's path, or another name for errors.

    Raises:
        InvalidValueError: a key is missing, of another type or out of its range.
        ParseError: the text is not JSON.
    """
    try:
        if isinstance(data, bytes):
            return msgspec.json.decode(data, type=target_type)
        return msgspec.convert(data, type=target_type)
    except msgspec.ValidationError as error:
        raise InvalidValueError(str(error), source) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ParseError(str(error), source) from error


def read_json_file(path: str) -> JsonObject:
    """Reads a JSON object from a file; its keys and values are not checked.

    Raises:
        FileOpenError: the file cannot be read.
        InvalidInputError: the file is not JSON, or its top level is not an object.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise FileOpenError(str(error.strerror), path) from error
    return decode_as(data, JsonObject, path)
