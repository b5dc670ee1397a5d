"""Reads the rules file that a node's file names, at the start of the node and at each reload."""

from __future__ import annotations

import hashlib
import os
from typing import TYPE_CHECKING

from onyxpost.errors import FileOpenError, InvalidInputError, with_key_path
from onyxpost.rollout.routing_rules import schema
from onyxpost.rollout.routing_rules.compiled_rules import CompiledRules
from onyxpost.rollout.routing_rules.errors import ConflictingRulesError, StaleRulesError
from onyxpost.rollout.routing_rules.validation import validate

if TYPE_CHECKING:
    from onyxpost.rollout.routing_rules.routing_context import RoutingContext


def compile_rules(data: bytes, context: RoutingContext, source: str = "rules") -> CompiledRules:
    """Parses, validates and compiles the text of a rules file.

    Raises:
        InvalidInputError: the text cannot be used; the error names `source` and the place in it.
    """
    try:
        rules_file = schema.parse(data)
        validate(rules_file, context)
    except InvalidInputError as error:
        raise error.with_location(source) from error
    return CompiledRules(rules_file, hashlib.sha256(data).hexdigest(), context)


def read_rules(path: str, context: RoutingContext) -> CompiledRules:
    """Reads and compiles a rules file.

    Raises:
        FileOpenError: the file cannot be read.
        InvalidInputError: the file cannot be used.
    """
    try:
        # Opened without blocking: opening a pipe without a writer would otherwise block the node. Such a pipe
        # reads as empty.
        with open(path, "rb", opener=_open_nonblocking) as file:
            data = file.read(schema.MAX_FILE_BYTES + 1) or b""
    except (OSError, ValueError) as error:  # A path with a zero byte is a ValueError.
        raise FileOpenError(str(getattr(error, "strerror", error)), path) from error
    return compile_rules(data, context, path)


def is_later_version(new: CompiledRules, in_force: CompiledRules | None, source: str = "rules") -> bool:
    """Returns whether new rules take effect; rules with the version and text in force do not.

    Raises:
        StaleRulesError: the new version is earlier than the one in force.
        ConflictingRulesError: the new version is the one in force, but the text differs.
    """
    if in_force is None or new.version > in_force.version:
        return True
    if new.version < in_force.version:
        message = f"version {new.version} is earlier than version {in_force.version}, which is in force"
        raise StaleRulesError(with_key_path(message, "version"), source)
    if new.digest != in_force.digest:
        message = f"version {in_force.version} is already in force with a different text"
        raise ConflictingRulesError(with_key_path(message, "version"), source)
    return False


def read_newer_rules(
    path: str, context: RoutingContext, in_force: CompiledRules | None
) -> CompiledRules | None:
    """Reads the rules again; returns them if they take effect, None if they are the ones in force.

    Raises:
        InvalidInputError: the file cannot be read or used, or its version conflicts with the one in force.
    """
    new = read_rules(path, context)
    return new if is_later_version(new, in_force, path) else None


def _open_nonblocking(path: str, flags: int) -> int:
    return os.open(path, flags | os.O_NONBLOCK)
