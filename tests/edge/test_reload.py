"""Changes of a reloaded file that take effect at once, and those that need a restart.

A change that needs a restart must be reported by its key and must not be applied to the running node.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from onyxpost.node import config
from onyxpost.node.reload import ConfigChange, compare_configs
from tests.edge.harness import node_fields

CLUSTER = {"version": 1, "listen": "10.0.0.1:7", "members": {"n0": "10.0.0.1:7", "n1": "10.0.0.2:7"}}


def compare(before: dict[str, Any], after: dict[str, Any], has_routing_rules: bool = False) -> ConfigChange:
    running = config.decode_config(node_fields(**before))
    new = config.decode_config(node_fields(**after), is_reload=True)
    return compare_configs(running, new, has_routing_rules=has_routing_rules)


def test_the_same_file_changes_nothing() -> None:
    running = config.decode_config(node_fields())
    change = compare_configs(
        running, config.decode_config(node_fields(), is_reload=True), has_routing_rules=False
    )
    assert change == ConfigChange(running, ())


def test_discovery_and_limits_take_effect_at_once() -> None:
    running = config.decode_config(node_fields())
    new = config.decode_config(node_fields(discovery="10.0.0.9:1", limits={"sockets": 99}), is_reload=True)
    change = compare_configs(running, new, has_routing_rules=False)
    expected = replace(running, discovery=("10.0.0.9", 1), max_descriptors=99)
    assert change == ConfigChange(expected, ())


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("name", "n9"),
        ("listen", "127.0.0.1:9"),
        ("peer_listen", "127.0.0.1:9"),
        ("peers", ["127.0.0.1:9"]),
        ("zone", "a"),
    ],
)
def test_the_identity_and_addresses_of_a_node_change_only_at_a_restart(key: str, value: Any) -> None:
    change = compare({}, {key: value})
    assert change.restart_keys == (key,)
    assert change.config == config.decode_config(node_fields())


def test_a_changed_memory_limit_takes_a_restart() -> None:
    assert compare({}, {"limits": {"sockets": 256, "memory_mb": 64}}).restart_keys == ("memory_mb",)


def test_a_changed_deployment_takes_a_restart() -> None:
    settings = node_fields()["settings"]
    assert compare({}, {"settings": settings | {"quantum_us": 4000}}).restart_keys == ("deployment",)


@pytest.mark.parametrize(
    ("before", "after", "restart_keys"),
    [
        ({}, {"fleet": CLUSTER}, ("fleet",)),
        ({"fleet": CLUSTER}, {}, ("fleet",)),
        ({"fleet": CLUSTER}, {"fleet": CLUSTER | {"listen": "10.0.0.1:8"}}, ("fleet",)),
        ({"fleet": CLUSTER}, {"fleet": CLUSTER | {"version": 2}}, ()),
    ],
    ids=["added", "removed", "other address", "other version"],
)
def test_only_the_address_of_the_cluster_takes_a_restart(
    before: dict[str, Any], after: dict[str, Any], restart_keys: tuple[str, ...]
) -> None:
    assert compare(before, after).restart_keys == restart_keys


@pytest.mark.parametrize(
    ("after", "has_routing_rules", "restart_keys"),
    [
        ({}, True, ("rules",)),
        ({}, False, ()),
        ({"rules": "rules.toml"}, True, ()),
        ({"rules": "rules.toml"}, False, ()),
    ],
)
def test_routing_rules_remain_in_force_when_the_file_names_none_any_more(
    after: dict[str, Any], has_routing_rules: bool, restart_keys: tuple[str, ...]
) -> None:
    assert compare({}, after, has_routing_rules).restart_keys == restart_keys
