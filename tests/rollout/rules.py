"""Routing rules for tests: a context, and rules compiled from Python values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from onyxpost.core.types import DeduplicationScope, Frontend, Idempotency
from onyxpost.rollout.routing_rules.compiled_rules import CompiledRules
from onyxpost.rollout.routing_rules.routing_context import RoutingContext
from onyxpost.rollout.routing_rules.schema import RulesFile
from onyxpost.rollout.routing_rules.validation import validate

ZONES = ["h0", "h1", "h2"]


def frontend(
    name: str,
    idempotency: Idempotency = Idempotency.IDEMPOTENT,
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL,
) -> Frontend:
    return Frontend(name, 1000.0, 5000.0, idempotency, deduplication_scope, 3000.0, 1.0, 0.0, 0.0, False)


CONTEXT = RoutingContext(
    frontends={
        each.name: each
        for each in (
            frontend("f"),
            frontend("g"),
            frontend("by-zone", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE),
            frontend("by-cell", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL),
        )
    },
    plans=frozenset({"p", "q"}),
    zones=frozenset(ZONES),
    own_zone="h0",
)


@dataclass(unsafe_hash=True)
class Server:
    """An app server with the attributes by which routing rules select servers."""

    id: str
    zone: str
    cell: int


def rules_text(*lines: str) -> bytes:
    """The text of a rules file with version 2 and the given lines."""
    return "\n".join(["version = 2", *lines]).encode()


def compiled_rules(*rules: dict[str, Any], version: int = 1) -> CompiledRules:
    """The compiled rules of a file that must be valid."""
    rules_file = msgspec.convert({"version": version, "rules": list(rules)}, type=RulesFile, str_keys=True)
    validate(rules_file, CONTEXT)
    return CompiledRules(rules_file, f"{rules}", CONTEXT)


def rule_preferring_zones(*zones: str, **other_keys: Any) -> dict[str, Any]:
    """A rule that prefers servers in the given zones and falls back to all servers."""
    return {"frontends": ["f", "g"], "servers": {"zones": list(zones), "fallbacks": ["any"]}, **other_keys}
