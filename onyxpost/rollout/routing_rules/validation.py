"""Checks of a rules file against what the node serves. Each error names its place in the file. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.core.types import DeduplicationScope, Idempotency
from onyxpost.errors import with_key_path
from onyxpost.rollout.routing_rules.errors import (
    InvalidRulesError,
    MissingFallbackError,
    SplitsDeduplicationScopeError,
    UnknownNameError,
    UnreachableRuleError,
)
from onyxpost.rollout.routing_rules.reachability import check_reachable
from onyxpost.rollout.routing_rules.schema import ANY_SERVER, ServerAttribute

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from onyxpost.rollout.routing_rules.context import RoutingContext
    from onyxpost.rollout.routing_rules.schema import (
        LocatedChoice,
        Rule,
        RulesFile,
        ServerChoice,
        ServerSelection,
    )

SCOPE_ATTRIBUTES = {
    DeduplicationScope.ZONE: ServerAttribute.ZONES,
    DeduplicationScope.CELL: ServerAttribute.CELLS,
}
"""The attribute that selects whole deduplication scopes."""


def validate(rules_file: RulesFile, context: RoutingContext) -> None:
    """Checks the whole file.

    Raises:
        InvalidInputError: one of the errors of this package, for the first place that cannot be used.
    """
    zones = context.zones | set(rules_file.zones or ())
    for index, rule in enumerate(rules_file.rules):
        path = f"rules[{index}]"
        _check_names(rule.frontends, context.frontends, f"{path}.frontends")
        _check_names(rule.plans, context.plans, f"{path}.plans")
        _check_names(rule.node_zones, zones, f"{path}.at")
        if rule.node_zones is not None and context.own_zone is None:
            raise UnknownNameError(with_key_path("the node's file does not say its `zone`", f"{path}.at"))
        if rule.servers is not None:
            _check_servers(rule, rule.servers, zones, context, f"{path}.servers")
    check_reachable(rules_file.rules, context)


def is_subset(choice: ServerChoice, other: ServerChoice) -> bool:
    """Returns whether all servers of one choice are also in the other, whatever servers there are."""
    criteria = choice.criteria()
    return all(
        attribute in criteria and set(criteria[attribute]) <= set(values)
        for attribute, values in other.criteria().items()
    )


def _check_names(names: Iterable[str] | None, known: Container[str], path: str) -> None:
    for name in names or ():
        if name not in known:
            raise UnknownNameError(with_key_path(f"{name!r} is not known here", path))


def _check_servers(
    rule: Rule, servers: ServerSelection, zones: Container[str], context: RoutingContext, path: str
) -> None:
    choices = servers.choices()
    for below, choice in choices:
        _check_choice(choice, zones, path + below)
        _check_deduplication_scopes(rule, choice, context, path + below)
    _check_last_fallback(servers, choices, path)
    _check_fallbacks_reachable(choices, path)


def _check_choice(choice: ServerChoice, zones: Container[str], path: str) -> None:
    criteria = choice.criteria()
    if not criteria:
        raise InvalidRulesError(with_key_path("names no servers", path))
    if sum(isinstance(values, dict) for values in criteria.values()) > 1:
        raise InvalidRulesError(with_key_path("weights for more than one of zones, cells, names", path))
    _check_names(choice.zones, zones, f"{path}.zones")


def _check_deduplication_scopes(rule: Rule, choice: ServerChoice, context: RoutingContext, path: str) -> None:
    """A retry of a request that was possibly executed stays in its scope, which must be selected whole."""
    for name in rule.frontends or context.frontends:
        frontend = context.frontends[name]
        scope = frontend.deduplication_scope
        if frontend.idempotency is not Idempotency.IDEMPOTENCY_KEY or scope is DeduplicationScope.ALL:
            continue
        for attribute in choice.criteria():
            if attribute is not SCOPE_ATTRIBUTES[scope]:
                message = f"{name!r} deduplicates requests by {scope.value}, of which this selects a part"
                raise SplitsDeduplicationScopeError(with_key_path(message, f"{path}.{attribute}"))


def _check_last_fallback(servers: ServerSelection, choices: list[LocatedChoice], path: str) -> None:
    if not servers.fallbacks or servers.fallbacks[-1] != ANY_SERVER:
        below, choice = choices[-1]
        attribute = next(iter(choice.criteria()))
        raise MissingFallbackError(
            with_key_path("all of them may be unavailable", f"{path}{below}.{attribute}")
        )
    if ANY_SERVER in servers.fallbacks[:-1]:
        next_index = servers.fallbacks.index(ANY_SERVER) + 1
        raise UnreachableRuleError(with_key_path('it comes after "any"', f"{path}.fallbacks[{next_index}]"))


def _check_fallbacks_reachable(choices: list[LocatedChoice], path: str) -> None:
    for index, (below, choice) in enumerate(choices):
        for earlier_below, earlier in choices[:index]:
            if is_subset(choice, earlier):
                message = f"all of its servers are in `{path}{earlier_below}`"
                raise UnreachableRuleError(with_key_path(message, f"{path}{below}"))
