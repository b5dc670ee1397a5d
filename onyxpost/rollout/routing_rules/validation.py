"""Checks a rules file against the node's context. Each error names its place in the file. No I/O."""

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

    from onyxpost.rollout.routing_rules.routing_context import RoutingContext
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
"""For each deduplication scope smaller than all servers, the attribute that selects only whole scopes."""


def validate(rules_file: RulesFile, context: RoutingContext) -> None:
    """Checks all rules of the file.

    Raises:
        InvalidInputError: an error of the `errors` module, for the first place that is not valid.
    """
    zones = context.zones | set(rules_file.additional_zones or ())
    for index, rule in enumerate(rules_file.rules):
        path = f"rules[{index}]"
        _check_names(rule.frontends, context.frontends, f"{path}.frontends")
        _check_names(rule.plans, context.plans, f"{path}.plans")
        _check_names(rule.node_zones, zones, f"{path}.at")
        if rule.node_zones is not None and context.own_zone is None:
            raise UnknownNameError(
                with_key_path("expected a `zone` in the node's file, got none", f"{path}.at")
            )
        if rule.servers is not None:
            _check_servers(rule, rule.servers, zones, context, f"{path}.servers")
    check_reachable(rules_file.rules, context)


def is_subset(choice: ServerChoice, other: ServerChoice) -> bool:
    """Returns whether `other` contains all servers of `choice`, whichever servers exist."""
    criteria = choice.criteria()
    return all(
        attribute in criteria and set(criteria[attribute]) <= set(values)
        for attribute, values in other.criteria().items()
    )


def _check_names(names: Iterable[str] | None, known: Container[str], path: str) -> None:
    for name in names or ():
        if name not in known:
            raise UnknownNameError(with_key_path(f"expected a name that this node knows, got {name!r}", path))


def _check_servers(
    rule: Rule, servers: ServerSelection, zones: Container[str], context: RoutingContext, path: str
) -> None:
    choices = servers.choices()
    for subpath, choice in choices:
        _check_choice(choice, zones, path + subpath)
        _check_deduplication_scopes(rule, choice, context, path + subpath)
    _check_last_fallback(servers, choices, path)
    _check_fallbacks_reachable(choices, path)


def _check_choice(choice: ServerChoice, zones: Container[str], path: str) -> None:
    criteria = choice.criteria()
    if not criteria:
        raise InvalidRulesError(with_key_path("expected `zones`, `cells` or `names`, got none", path))
    if sum(isinstance(values, dict) for values in criteria.values()) > 1:
        raise InvalidRulesError(
            with_key_path("expected weights for one of zones, cells and names, got more", path)
        )
    _check_names(choice.zones, zones, f"{path}.zones")


def _check_deduplication_scopes(rule: Rule, choice: ServerChoice, context: RoutingContext, path: str) -> None:
    """Checks that a choice selects only whole deduplication scopes.

    The retry of a request that was possibly executed must stay in its scope, so that it is deduplicated.
    """
    for name in rule.frontends or context.frontends:
        frontend = context.frontends[name]
        scope = frontend.deduplication_scope
        if frontend.idempotency is not Idempotency.IDEMPOTENCY_KEY or scope is DeduplicationScope.ALL:
            continue
        for attribute in choice.criteria():
            if attribute is not SCOPE_ATTRIBUTES[scope]:
                message = (
                    f"frontend {name!r} deduplicates by {scope.value}; "
                    f"selecting by {attribute} may select only a part of a {scope.value}"
                )
                raise SplitsDeduplicationScopeError(with_key_path(message, f"{path}.{attribute}"))


def _check_last_fallback(servers: ServerSelection, choices: list[LocatedChoice], path: str) -> None:
    if not servers.fallbacks or servers.fallbacks[-1] != ANY_SERVER:
        subpath, choice = choices[-1]
        attribute = next(iter(choice.criteria()))
        raise MissingFallbackError(
            with_key_path(
                'the servers selected here may all be unavailable; expected "any" as the last fallback',
                f"{path}{subpath}.{attribute}",
            )
        )
    if ANY_SERVER in servers.fallbacks[:-1]:
        next_index = servers.fallbacks.index(ANY_SERVER) + 1
        raise UnreachableRuleError(
            with_key_path(
                'this fallback never applies: it comes after "any"', f"{path}.fallbacks[{next_index}]"
            )
        )


def _check_fallbacks_reachable(choices: list[LocatedChoice], path: str) -> None:
    for index, (subpath, choice) in enumerate(choices):
        for earlier_subpath, earlier in choices[:index]:
            if is_subset(choice, earlier):
                message = f"this fallback never applies: all of its servers are in `{path}{earlier_subpath}`"
                raise UnreachableRuleError(with_key_path(message, f"{path}{subpath}"))
