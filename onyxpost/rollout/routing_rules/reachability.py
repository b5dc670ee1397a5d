"""Finds rules that no request reaches, because earlier rules match all of their requests. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.errors import with_key_path
from onyxpost.rollout.routing_rules.errors import UnreachableRuleError

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from onyxpost.rollout.routing_rules.context import RoutingContext
    from onyxpost.rollout.routing_rules.schema import Rule

ALL_CUSTOMERS = None
"""In place of a salt: the rule matches all customers, whatever their hash."""

OTHER_ZONES = None
"""Stands for the zones of nodes that no rule names, which are all alike."""


class TrafficClass(NamedTuple):
    """Requests that rules can only tell apart by the customer."""

    frontend: str
    plan: str
    node_zone: str | None


class _Matched(NamedTuple):
    """The largest share of customers that a rule has matched so far, with the rule's index."""

    share: float
    rule_index: int


_MatchedBySalt = dict[str | None, _Matched]


def check_reachable(rules: Sequence[Rule], context: RoutingContext) -> None:
    """Checks that each rule matches requests that no earlier rule matches.

    In a traffic class, a share of customers is contained in any of the same salt that is at least as large,
    and in all customers. Different salts are independent: neither share contains the other.

    Raises:
        UnreachableRuleError: for the first rule that is contained in earlier ones in all traffic classes.
    """
    named_zones = {zone for rule in rules for zone in rule.node_zones or ()}
    zones = [OTHER_ZONES, *sorted(named_zones)]
    matched: dict[TrafficClass, _MatchedBySalt] = {}
    for index, rule in enumerate(rules):
        covering_rules: set[int] = set()
        is_reachable = False
        for traffic_class in traffic_classes(rule, context, zones):
            covering_rule = _match(rule, index, matched.setdefault(traffic_class, {}))
            if covering_rule is None:
                is_reachable = True
            else:
                covering_rules.add(covering_rule)
        if not is_reachable:
            earlier = ", ".join(f"`$.rules[{covering}]`" for covering in sorted(covering_rules))
            raise UnreachableRuleError(with_key_path(f"it never matches after {earlier}", f"rules[{index}]"))


def traffic_classes(
    rule: Rule, context: RoutingContext, zones: Sequence[str | None]
) -> Iterator[TrafficClass]:
    """Yields each traffic class that the rule applies to once, even if the rule repeats a name."""
    for frontend in dict.fromkeys(rule.frontends or context.frontends):
        for plan in dict.fromkeys(rule.plans or context.plans):
            for zone in dict.fromkeys(rule.node_zones or zones):
                yield TrafficClass(frontend, plan, zone)


def _match(rule: Rule, index: int, matched: _MatchedBySalt) -> int | None:
    """Returns the earlier rule that matches all of this rule's customers, or records this rule."""
    salt, share = _customers(rule)
    covering = matched.get(ALL_CUSTOMERS) or matched.get(salt)
    if covering is not None and covering.share >= share:
        return covering.rule_index
    matched[salt] = _Matched(share, index)
    return None


def _customers(rule: Rule) -> tuple[str | None, float]:
    """Returns the salt and share of the customers that a rule matches."""
    customers = rule.customers
    if customers is None or customers.share >= 1.0:
        return ALL_CUSTOMERS, 1.0
    return customers.salt, customers.share
