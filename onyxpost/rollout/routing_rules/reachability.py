"""Finds rules that never apply, because earlier rules match all of their requests. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.errors import with_key_path
from onyxpost.rollout.routing_rules.errors import UnreachableRuleError

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from onyxpost.rollout.routing_rules.routing_context import RoutingContext
    from onyxpost.rollout.routing_rules.schema import Rule

ALL_CUSTOMERS = None
"""The salt of rules that match all customers, whatever their hash."""

OTHER_ZONES = None
"""The zone of nodes whose zone no rule names; the rules treat all of these nodes alike."""


class TrafficClass(NamedTuple):
    """The requests of one frontend and plan at the nodes of one zone; rules divide them by customer only."""

    frontend: str
    plan: str
    node_zone: str | None


class _MatchedShare(NamedTuple):
    """The largest share of customers that a rule of one salt matches so far, and that rule's index."""

    share: float
    rule_index: int


_SharesBySalt = dict[str | None, _MatchedShare]


def check_reachable(rules: Sequence[Rule], context: RoutingContext) -> None:
    """Checks that each rule matches requests that no earlier rule matches.

    Within a traffic class, a share of customers is contained in every share of the same salt that is at
    least as large, and in a rule for all customers. Shares of different salts are independent, so neither
    contains the other.

    Raises:
        UnreachableRuleError: a rule is contained in earlier rules in all of its traffic classes.
    """
    named_zones = {zone for rule in rules for zone in rule.node_zones or ()}
    zones = [OTHER_ZONES, *sorted(named_zones)]
    matched: dict[TrafficClass, _SharesBySalt] = {}
    for index, rule in enumerate(rules):
        covering_rules: set[int] = set()
        is_reachable = False
        for traffic_class in traffic_classes(rule, context, zones):
            covering_rule = _record_unless_covered(rule, index, matched.setdefault(traffic_class, {}))
            if covering_rule is None:
                is_reachable = True
            else:
                covering_rules.add(covering_rule)
        if not is_reachable:
            earlier = ", ".join(f"`$.rules[{covering}]`" for covering in sorted(covering_rules))
            raise UnreachableRuleError(
                with_key_path(
                    f"this rule never applies: all requests that it matches are matched by {earlier}",
                    f"rules[{index}]",
                )
            )


def traffic_classes(
    rule: Rule, context: RoutingContext, zones: Sequence[str | None]
) -> Iterator[TrafficClass]:
    """Yields each traffic class that the rule applies to, only once even if the rule repeats a name."""
    for frontend in dict.fromkeys(rule.frontends or context.frontends):
        for plan in dict.fromkeys(rule.plans or context.plans):
            for zone in dict.fromkeys(rule.node_zones or zones):
                yield TrafficClass(frontend, plan, zone)


def _record_unless_covered(rule: Rule, index: int, matched: _SharesBySalt) -> int | None:
    """Returns the index of an earlier rule that matches all of this rule's customers.

    Without one, records this rule in `matched` and returns None.
    """
    salt, share = _salt_and_share(rule)
    covering = matched.get(ALL_CUSTOMERS) or matched.get(salt)
    if covering is not None and covering.share >= share:
        return covering.rule_index
    matched[salt] = _MatchedShare(share, index)
    return None


def _salt_and_share(rule: Rule) -> tuple[str | None, float]:
    """Returns the salt and share of the customers that a rule matches."""
    customers = rule.customers
    if customers is None or customers.share >= 1.0:
        return ALL_CUSTOMERS, 1.0
    return customers.salt, customers.share
