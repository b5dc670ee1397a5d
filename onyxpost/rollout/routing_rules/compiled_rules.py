"""Routing rules compiled to a table by frontend and plan, which holds the few rules that can match a request.

No I/O.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from onyxpost.core.types import UNRESTRICTED, RoutingConstraint
from onyxpost.rollout.routing_rules.customer_hash import HASH_RANGE, customer_hash, salt_hash
from onyxpost.rollout.routing_rules.server_filter import server_filters, weight_bounds

if TYPE_CHECKING:
    from onyxpost.core.types import ServerType
    from onyxpost.rollout.routing_rules.routing_context import RoutingContext
    from onyxpost.rollout.routing_rules.schema import Rule, RulesFile
    from onyxpost.rollout.routing_rules.server_filter import ServerFilter

LOGGED_DIGEST_CHARS = 16


class CompiledConstraint(RoutingConstraint):
    """The restrictions of one rule for the customers whose hash under its `weight_salt` is in one range."""

    __slots__ = ("capacity_share", "filters", "max_attempts")

    def __init__(self, filters: list[ServerFilter], rule: Rule) -> None:
        self.filters = filters
        self.max_attempts: float = rule.max_attempts or UNRESTRICTED.max_attempts
        self.capacity_share = rule.capacity_share or UNRESTRICTED.capacity_share

    def select(self, servers: list[ServerType]) -> list[ServerType]:
        """Applies the filters in order and returns the first result that is not empty, else all servers."""
        for is_permitted in self.filters:
            if permitted := [server for server in servers if is_permitted(server)]:
                return permitted
        return servers


@dataclass(frozen=True, slots=True)
class CompiledRule:
    """A rule that matches the customers whose hash under `customer_salt` is below `customer_bound`.

    A customer's hash under `weight_salt` selects one of the constraints. `weight_bounds` are the hashes at
    which one constraint ends and the next begins, in ascending order; they are empty without weights.
    """

    customer_salt: int
    customer_bound: int
    weight_salt: int
    weight_bounds: list[int]
    constraints: list[RoutingConstraint]

    @property
    def matches_all_customers(self) -> bool:
        """Whether the rule matches every customer, so that no later rule for its traffic applies."""
        return self.customer_bound == HASH_RANGE

    def matches(self, customer: int) -> bool:
        """Returns whether the rule applies to the customer."""
        return (
            self.customer_bound == HASH_RANGE
            or customer_hash(self.customer_salt, customer) < self.customer_bound
        )

    def constraint(self, customer: int) -> RoutingConstraint:
        """Returns the constraint on the requests of a customer whom the rule matches."""
        if not self.weight_bounds:
            return self.constraints[0]
        return self.constraints[bisect_right(self.weight_bounds, customer_hash(self.weight_salt, customer))]


class CompiledRules:
    """One version of the routing rules, compiled for one node; `digest` is the SHA-256 of the file in hex.

    Implements `onyxpost.core.types.RoutingRules`.
    """

    def __init__(self, rules_file: RulesFile, digest: str, context: RoutingContext) -> None:
        self.version = rules_file.version
        self.digest = digest
        self.rule_count = len(rules_file.rules)
        self._rules_by_traffic: dict[tuple[str, str], list[CompiledRule]] = {}
        for rule in rules_file.rules:
            if rule.node_zones is None or context.own_zone in rule.node_zones:
                self._add(rule, context)

    def constraint_for(self, frontend: str, plan: str, customer: int) -> RoutingConstraint:
        """Returns the constraint of the first rule that matches, or `UNRESTRICTED` if none does.

        Args:
            frontend: the request's frontend.
            plan: the customer's plan.
            customer: the CRC-32 of the customer's name.
        """
        for rule in self.rules_for(frontend, plan):
            if rule.matches(customer):
                return rule.constraint(customer)
        return UNRESTRICTED

    def rules_for(self, frontend: str, plan: str) -> list[CompiledRule]:
        """Returns the rules that can match requests of a frontend and plan, in the order of the file."""
        return self._rules_by_traffic.get((frontend, plan), [])

    def log_fields(self) -> dict[str, Any]:
        """Returns the fields that identify this version in a log line."""
        digest = self.digest[:LOGGED_DIGEST_CHARS]
        return {"version": self.version, "rules": self.rule_count, "digest": digest}

    def _add(self, rule: Rule, context: RoutingContext) -> None:
        compiled = compile_rule(rule)
        for frontend in dict.fromkeys(rule.frontends or context.frontends):
            for plan in dict.fromkeys(rule.plans or context.plans):
                rules = self._rules_by_traffic.setdefault((frontend, plan), [])
                if not rules or not rules[-1].matches_all_customers:
                    rules.append(compiled)


def compile_rule(rule: Rule) -> CompiledRule:
    """Compiles a rule that has passed `validation.validate`."""
    salt = ""
    customer_bound = HASH_RANGE
    if rule.customers is not None:
        salt = rule.customers.salt
        customer_bound = max(1, round(rule.customers.share * HASH_RANGE))
    bounds: list[int] = []
    if rule.servers is not None:
        bounds = sorted({bound for _, choice in rule.servers.choices() for bound in weight_bounds(choice)})
    return CompiledRule(
        customer_salt=salt_hash(salt),
        customer_bound=customer_bound,
        weight_salt=salt_hash(f"{salt}/weights"),
        weight_bounds=bounds,
        constraints=[_compile_constraint(rule, lowest_hash) for lowest_hash in (0, *bounds)],
    )


def _compile_constraint(rule: Rule, weight_hash: int) -> RoutingConstraint:
    if rule.servers is None and rule.max_attempts is None and rule.capacity_share is None:
        return UNRESTRICTED
    filters: list[ServerFilter] = []
    if rule.servers is not None:
        for _, choice in rule.servers.choices():
            filters += server_filters(choice, weight_hash)
    return CompiledConstraint(filters, rule)
