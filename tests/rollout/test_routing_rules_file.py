"""Rules files: which errors are rejected with which key, and which versions take effect."""

from __future__ import annotations

import dataclasses
from typing import Any
from unittest import mock

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from onyxpost.errors import InvalidInputError
from onyxpost.rollout.routing_rules import validation
from onyxpost.rollout.routing_rules.errors import (
    ConflictingRulesError,
    InvalidRulesError,
    MissingFallbackError,
    SplitsDeduplicationScopeError,
    StaleRulesError,
    UnknownNameError,
    UnreachableRuleError,
)
from onyxpost.rollout.routing_rules.reachability import TrafficClass, check_reachable, traffic_classes
from onyxpost.rollout.routing_rules.routing_context import RoutingContext
from onyxpost.rollout.routing_rules.rules_file import compile_rules, is_later_version
from onyxpost.rollout.routing_rules.schema import Rule
from tests.rollout.rules import CONTEXT, ZONES, compiled_rules, rules_text
from tests.rollout.test_routing_rules_matching import CUSTOMERS, first_match

FRONTEND = 'frontends = ["f"]'
ZONE_H1 = 'zones = ["h1"]'
ANY_FALLBACK = 'fallbacks = ["any"]'

FALLBACK_INSIDE_EARLIER_CHOICE = (
    f"rules = [{{{FRONTEND}, servers = {{{ZONE_H1}, fallbacks = [{{{ZONE_H1}, cells = [1]}}, 'any']}}}}]"
)

REJECTED: list[tuple[str, type[InvalidInputError], str]] = [
    ("rules = [{plan = 'p'}]", InvalidRulesError, "$.rules[0]`"),
    ("rules = [{customers = {share = 0.0}}]", InvalidRulesError, "$.rules[0].customers.share`"),
    ("rules = [{window = 1.5}]", InvalidRulesError, "$.rules[0].window`"),
    ("rules = [{attempts = 0}]", InvalidRulesError, "$.rules[0].attempts`"),
    ("rules = [{plans = ['z']}]", UnknownNameError, "$.rules[0].plans`"),
    ("rules = [{plans = ['p']}, {frontends = ['z']}]", UnknownNameError, "$.rules[1].frontends`"),
    ("rules = [{at = ['z']}]", UnknownNameError, "$.rules[0].at`"),
    (
        f"rules = [{{{FRONTEND}, servers = {{zones = ['z'], {ANY_FALLBACK}}}}}]",
        UnknownNameError,
        "$.rules[0].servers.zones`",
    ),
    (
        f"rules = [{{{FRONTEND}, servers = {{{ZONE_H1}}}}}]",
        MissingFallbackError,
        "$.rules[0].servers.zones`",
    ),
    (
        f"rules = [{{{FRONTEND}, servers = {{{ZONE_H1}, fallbacks = [{{cells = [1]}}]}}}}]",
        MissingFallbackError,
        "$.rules[0].servers.fallbacks[0].cells`",
    ),
    (f"rules = [{{{FRONTEND}, servers = {{{ANY_FALLBACK}}}}}]", InvalidRulesError, "$.rules[0].servers`"),
    (
        f"rules = [{{{FRONTEND}, servers = {{{ZONE_H1}, fallbacks = ['any', {{cells = [1]}}, 'any']}}}}]",
        UnreachableRuleError,
        "$.rules[0].servers.fallbacks[1]`",
    ),
    (FALLBACK_INSIDE_EARLIER_CHOICE, UnreachableRuleError, "$.rules[0].servers.fallbacks[0]`"),
    (
        f"rules = [{{{FRONTEND}, servers = {{zones = {{h0 = 1}}, cells = {{0 = 1}}, {ANY_FALLBACK}}}}}]",
        InvalidRulesError,
        "$.rules[0].servers`",
    ),
    ("rules = [{}, {plans = ['p']}]", UnreachableRuleError, "$.rules[1]`"),
    (
        f"rules = [{{frontends = ['by-zone'], servers = {{cells = {{0 = 1, 1 = 1}}, {ANY_FALLBACK}}}}}]",
        SplitsDeduplicationScopeError,
        "$.rules[0].servers.cells`",
    ),
    (
        f"rules = [{{servers = {{names = ['s1'], {ANY_FALLBACK}}}}}]",
        SplitsDeduplicationScopeError,
        "$.rules[0].servers.names`",
    ),
    (
        f"rules = [{{frontends = ['by-cell'], servers = {{{ZONE_H1}, {ANY_FALLBACK}}}}}]",
        SplitsDeduplicationScopeError,
        "$.rules[0].servers.zones`",
    ),
    ("rules = [", InvalidRulesError, "end of document"),
    (f"rules = [{{attempts = {'1' * 5000}}}]", InvalidRulesError, "digits"),
    ("rules = []\n#" + "x" * 70_000, InvalidRulesError, "at most"),
]


@pytest.mark.parametrize(
    ("line", "kind", "key_path"),
    REJECTED,
    ids=[f"{index}: {line[:60]}" for index, (line, *_) in enumerate(REJECTED)],
)
def test_rejected_rules_name_the_key(line: str, kind: type[InvalidInputError], key_path: str) -> None:
    with pytest.raises(InvalidInputError) as caught:
        compile_rules(rules_text(line), CONTEXT, "r.toml")
    assert type(caught.value) is kind
    assert key_path in caught.value.message
    assert caught.value.location == "r.toml"


def test_a_check_that_misses_unreachable_fallbacks_is_detected() -> None:
    text = rules_text(FALLBACK_INSIDE_EARLIER_CHOICE)
    with pytest.raises(UnreachableRuleError):
        compile_rules(text, CONTEXT)
    with mock.patch.object(validation, "is_subset", return_value=False):
        compile_rules(text, CONTEXT)


def test_node_zones_require_a_node_with_a_zone() -> None:
    without_zone = dataclasses.replace(CONTEXT, own_zone=None)
    with pytest.raises(UnknownNameError):
        compile_rules(rules_text("rules = [{at = ['h1']}]"), without_zone)


def test_the_file_may_introduce_a_new_zone() -> None:
    rules = compile_rules(rules_text("zones = ['new']", "rules = [{at = ['new']}]"), CONTEXT)
    assert (rules.version, rules.rule_count, len(rules.digest)) == (2, 1, 64)


def test_only_a_later_version_takes_effect() -> None:
    in_force = compile_rules(rules_text("rules = []"), CONTEXT)
    assert not is_later_version(in_force, in_force)
    assert is_later_version(compile_rules(b"version = 3\nrules = []", CONTEXT), in_force)


@pytest.mark.parametrize(
    ("text", "kind"),
    [(b"version = 1\nrules = []", StaleRulesError), (rules_text("rules = [{}]"), ConflictingRulesError)],
)
def test_an_earlier_version_and_a_changed_text_are_rejected(
    text: bytes, kind: type[InvalidInputError]
) -> None:
    in_force = compile_rules(rules_text("rules = []"), CONTEXT)
    changed = compile_rules(text, CONTEXT)
    with pytest.raises(kind):
        is_later_version(changed, in_force)


def test_repeated_names_do_not_multiply_traffic_classes() -> None:
    """Guards against a blocked node: repeated names in a rule once multiplied its traffic classes.

    Some hundreds of names in each of three lists were enough.
    """
    repeated = {"frontends": ["f"] * 9, "plans": ["p"] * 9, "at": ["h0"] * 9, "customers": {"share": 0.5}}
    assert len(compiled_rules(repeated).rules_for("f", "p")) == 1
    rule = msgspec.convert(repeated, type=Rule)
    assert list(traffic_classes(rule, CONTEXT, [None, "h0"])) == [TrafficClass("f", "p", "h0")]


def rule_for_share(fraction: float, salt: str) -> dict[str, Any]:
    return {"customers": {"share": fraction, "salt": salt}}


@pytest.mark.parametrize(
    "rules",
    [
        [rule_for_share(0.5, "a"), rule_for_share(0.6, "a"), rule_for_share(0.5, "b"), {}],
        [{"at": ["h0"]}, {"at": ["h1"]}, {"at": ["h2"]}, {}],  # nodes of other zones reach the last rule
    ],
)
def test_shares_and_node_zones_that_leave_requests_are_valid(rules: list[dict[str, Any]]) -> None:
    compiled_rules(*rules)


@pytest.mark.parametrize(
    "rules",
    [
        [rule_for_share(0.5, "a"), rule_for_share(0.4, "a")],
        [rule_for_share(1.0, "a"), rule_for_share(0.1, "b")],
        [{"plans": ["p"]}, {"plans": ["q"]}, rule_for_share(0.1, "b")],
    ],
)
def test_rules_that_earlier_ones_cover_are_rejected(rules: list[dict[str, Any]]) -> None:
    with pytest.raises(UnreachableRuleError):
        compiled_rules(*rules)


def some_of(names: list[str]) -> st.SearchStrategy[Any]:
    return st.none() | st.lists(st.sampled_from(names), min_size=1, unique=True)


CUSTOMER_SHARES = st.fixed_dictionaries(
    {"share": st.sampled_from([0.1, 0.5, 0.9, 1.0]), "salt": st.sampled_from(["a", "b"])}
)
CONDITIONS = st.fixed_dictionaries(
    {
        "frontends": some_of(["f", "g"]),
        "plans": some_of(["p", "q"]),
        "at": some_of(ZONES),
        "customers": st.none() | CUSTOMER_SHARES,
    }
)
TWO_FRONTENDS = RoutingContext(
    frontends={name: CONTEXT.frontends[name] for name in "fg"},
    plans=CONTEXT.plans,
    zones=CONTEXT.zones,
    own_zone="h0",
)


@given(st.lists(CONDITIONS, min_size=1, max_size=6))
def test_a_rule_is_rejected_exactly_if_no_request_reaches_it(conditions: list[Any]) -> None:
    rules = [msgspec.convert(each, type=Rule) for each in conditions]
    reached = {
        first_match(rules, TrafficClass(name, plan, zone), customer)
        for name in "fg"
        for plan in "pq"
        for zone in (*ZONES, "")
        for customer in CUSTOMERS
    }
    try:
        check_reachable(rules, TWO_FRONTENDS)
    except UnreachableRuleError as error:
        key_path = error.message.rpartition(" at ")[2]
        rejected = next(index for index in range(len(rules)) if f"rules[{index}]`" in key_path)
        assert rejected not in reached
    else:
        assert set(range(len(rules))) <= reached
