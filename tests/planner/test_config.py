"""Decoding of a planner's file, and of the `planners` section of a node's file."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest

from onyxpost.errors import InvalidInputError
from onyxpost.node import config as node_config
from onyxpost.planner.config import decode_config
from tests.edge.harness import node_fields

PLANNER_FILE = json.loads(pathlib.Path("deploy/example-planner.json").read_text())
MEMBERSHIP: dict[str, Any] = PLANNER_FILE["planners"]


@pytest.mark.parametrize(
    ("changes", "key_path"),
    [
        ({"listen": "x"}, "expected host:port with a port below 65536, got 'x'"),
        ({"name": "p9"}, "$.planners.members"),
        ({"forwarders": []}, "$.forwarders"),
        ({"forwarders": ["a", "a"]}, "$.forwarders"),
        ({"lease_ms": 1}, "$.lease_ms"),
        ({"packages": []}, "$.packages"),
        ({"planners": MEMBERSHIP | {"share": 0.9}}, "$.planners.share"),
        ({"planners": MEMBERSHIP | {"version": 0}}, "$.planners.version"),
        ({"planners": MEMBERSHIP | {"members": {"p0": "nowhere"}}}, "$.planners.members.p0"),
    ],
)
def test_error_in_a_planners_file_names_the_key(changes: dict[str, Any], key_path: str) -> None:
    with pytest.raises(InvalidInputError) as caught:
        decode_config(PLANNER_FILE | changes)
    assert key_path in str(caught.value)


def test_node_with_planners_keeps_its_safe_share() -> None:
    node = node_config.decode_config(node_fields(planners=MEMBERSHIP))
    assert node.planners is not None
    assert node.planners.members == {"p0": ("127.0.0.1", 7100)}
    assert node.deployment.limits.safe_share == 0.2


def test_node_without_planners_has_no_safe_share() -> None:
    assert node_config.decode_config(node_fields()).deployment.limits.safe_share == 0.0


def test_error_in_a_nodes_planners_names_the_key() -> None:
    with pytest.raises(InvalidInputError) as caught:
        node_config.decode_config(node_fields(planners=MEMBERSHIP | {"members": {"p0": "x"}}))
    assert "$.planners.members.p0" in str(caught.value)
