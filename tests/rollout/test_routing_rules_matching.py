"""Compiled routing rules: which rule a request matches, and which servers the rule permits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest import mock
from zlib import crc32

import msgspec
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from onyxpost.core.types import UNRESTRICTED
from onyxpost.rollout.routing_rules import compiled_rules as compiled
from onyxpost.rollout.routing_rules.compiled_rules import CompiledConstraint, compile_rule
from onyxpost.rollout.routing_rules.customer_hash import HASH_RANGE, customer_hash
from onyxpost.rollout.routing_rules.schema import Rule
from tests.rollout.rules import ZONES, Server, compiled_rules, rule_preferring_zones

if TYPE_CHECKING:
    from onyxpost.rollout.routing_rules.reachability import TrafficClass

CUSTOMERS = [crc32(f"c{index}".encode()) for index in range(60)]
SERVER_IDS = [f"s{index}" for index in range(6)]
ATTRIBUTES = (("zone", "zones"), ("cell", "cells"), ("id", "names"))


def first_match(rules: list[Rule], requests: TrafficClass, customer: int) -> int:
    """The index of the first rule that a request matches, without compiled rules; -1 if none matches."""
    for index, rule in enumerate(rules):
        customers = rule.customers
        if (
            requests.frontend in (rule.frontends or requests.frontend)
            and requests.plan in (rule.plans or requests.plan)
            and (rule.node_zones is None or requests.node_zone in rule.node_zones)
            and (
                customers is None
                or customer_hash(crc32(customers.salt.encode()), customer) < customers.share * HASH_RANGE
            )
        ):
            return index
    return -1


def some_of(names: list[str]) -> st.SearchStrategy[Any]:
    return st.none() | st.lists(st.sampled_from(names), min_size=1, unique=True)


CHOICES = st.fixed_dictionaries(
    {
        "zones": some_of(ZONES) | st.dictionaries(st.sampled_from(ZONES), st.floats(0.1, 9.0), min_size=1),
        "cells": st.none() | st.lists(st.integers(0, 1), min_size=1),
        "names": some_of(["s0", "s1", "s5"]),
    }
)
SELECTIONS = st.builds(
    lambda first, fallbacks: {**first, "fallbacks": [*fallbacks, "any"]},
    CHOICES,
    st.lists(CHOICES, max_size=2),
)


@settings(phases=[Phase.generate])
@given(SELECTIONS, st.sets(st.sampled_from(SERVER_IDS)), st.integers(0, HASH_RANGE - 1))
def check_constraint(selection: Any, available: set[str], customer: int) -> None:
    """Permitted servers are some of the available ones, in their order, of the first choice that has any."""
    rule = msgspec.convert({"servers": selection}, type=Rule, str_keys=True)
    servers = [
        Server(name, f"h{int(name[1]) % 3}", int(name[1]) % 2) for name in SERVER_IDS if name in available
    ]
    permitted = compile_rule(rule).constraint(customer).select(servers)
    assert permitted == [server for server in servers if server in permitted]
    assert bool(permitted) == bool(servers)
    of_first_choice = [
        server
        for server in servers
        if all(
            getattr(server, attribute) in (selection[key] or [getattr(server, attribute)])
            for attribute, key in ATTRIBUTES
        )
    ]
    assert set(permitted) <= set(of_first_choice or servers)


def test_constraints_never_widen_nor_reorder_nor_exclude_all() -> None:
    check_constraint()


def without_last_fallback(self: CompiledConstraint, servers: list[Any]) -> list[Any]:
    choices = ([server for server in servers if permits(server)] for permits in self.filters)
    return next((permitted for permitted in choices if permitted), [])


def in_reverse_order(_self: CompiledConstraint, servers: list[Any]) -> list[Any]:
    return servers[::-1]


@pytest.mark.parametrize("mutation", [without_last_fallback, in_reverse_order])
def test_constraints_that_exclude_all_or_reorder_are_detected(mutation: Any) -> None:
    with mock.patch.object(CompiledConstraint, "select", mutation), pytest.raises(AssertionError):
        check_constraint()


def test_the_first_rule_that_matches_applies() -> None:
    rules = compiled_rules(
        {"frontends": ["f"], "plans": ["q"]},
        {"frontends": ["f"], "at": ["h1"], "attempts": 1},
        {"frontends": ["f"], "attempts": 2, "window": 0.5},
    )
    assert rules.constraint_for("f", "q", 1) is UNRESTRICTED
    assert rules.constraint_for("f", "p", 1).max_attempts == 2
    assert rules.constraint_for("f", "p", 1).capacity_share == 0.5


def test_a_request_that_no_rule_matches_is_unrestricted() -> None:
    rules = compiled_rules({"frontends": ["f"], "attempts": 2})
    assert rules.constraint_for("g", "p", 1) is UNRESTRICTED


def check_shares_and_weights_are_independent() -> None:
    """Checks two rules for half of the customers, with different salts; one weights its zones 3 to 1."""
    weighted_half = compiled_rules(
        {
            "frontends": ["f", "g"],
            "customers": {"share": 0.5, "salt": "x"},
            "servers": {"zones": {"h0": 3, "h1": 1}, "fallbacks": ["any"]},
        }
    )
    other_half = compiled_rules({"frontends": ["f"], "customers": {"share": 0.5, "salt": "y"}, "attempts": 1})
    servers = [Server(f"s{index}", f"h{index}", 0) for index in range(3)]
    matched = 0
    matched_by_both = 0
    sent_to_h0 = 0
    for index in range(4000):
        customer = crc32(f"{index:016x}".encode())
        constraint = weighted_half.constraint_for("f", "p", customer)
        is_matched = constraint is not UNRESTRICTED
        matched += is_matched
        matched_by_both += is_matched and other_half.constraint_for("f", "p", customer) is not UNRESTRICTED
        sent_to_h0 += is_matched and constraint.select(servers)[0].zone == "h0"
    assert matched / 4000 == pytest.approx(0.5, abs=0.03)
    assert matched_by_both / 4000 == pytest.approx(0.25, abs=0.03)
    assert sent_to_h0 / 2000 == pytest.approx(0.75, abs=0.04)


def test_shares_and_weights_are_met_and_independent() -> None:
    check_shares_and_weights_are_independent()


def test_a_linear_hash_is_detected() -> None:
    def linear(salt: int, customer: int) -> int:
        return salt ^ customer

    with mock.patch.object(compiled, "customer_hash", linear), pytest.raises(AssertionError):
        check_shares_and_weights_are_independent()


def test_a_weighted_customer_keeps_its_zone_and_moves_to_the_others_while_it_is_lost() -> None:
    rules = compiled_rules(
        {"frontends": ["f"], "servers": {"zones": {"h0": 1, "h1": 1}, "fallbacks": ["any"]}}
    )
    servers = [Server(f"s{index}", f"h{index}", 0) for index in range(3)]
    for customer in CUSTOMERS:
        constraint = rules.constraint_for("f", "p", customer)
        (own,) = constraint.select(servers)
        (other,) = constraint.select([server for server in servers if server is not own])
        assert {own.zone, other.zone} == {"h0", "h1"}


def test_a_preferred_zone_gives_way_to_all_servers() -> None:
    constraint = compiled_rules(rule_preferring_zones("h1")).constraint_for("f", "p", 1)
    servers = [Server("s0", "h0", 0), Server("s2", "h2", 0)]
    assert constraint.select(servers) == servers
