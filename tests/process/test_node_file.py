"""Validation of a node's file: an error contains the path of the invalid key."""

from typing import Any

import pytest

from onyxpost.edge.messages import decode_endpoint_update
from onyxpost.errors import InvalidInputError
from onyxpost.node import config
from tests.edge.harness import DEPLOYMENT_SETTINGS, node_fields

FRONTEND: dict[str, Any] = DEPLOYMENT_SETTINGS["grades"][0]
BOUNDS: dict[str, Any] = DEPLOYMENT_SETTINGS["bounds"]
ENDPOINT = {"instanceId": "s", "lifecycle": "up", "zone": None, "cell": None, "weight": 2}


@pytest.mark.parametrize(
    ("changed", "path"),
    [
        ({"listen": 7}, "$.listen"),
        ({"listen": "nowhere"}, "$.listen"),
        ({"peers": ["127.0.0.1:1", "x"]}, "$.peers[1]"),
        ({"seed": "xyz"}, "$.seed"),
        ({"limits": {"sockets": "many"}}, "$.limits.sockets"),
        ({"log_level": "loud"}, "$.log_level"),
        ({"known": {"generation": 1, "instances": [{"lifecycle": "up"}]}}, "$.known.instances[0]"),
        ({"settings": DEPLOYMENT_SETTINGS | {"ordinal": 2}}, "$.ordinal"),
        ({"settings": DEPLOYMENT_SETTINGS | {"grades": []}}, "$.settings.grades"),
        (
            {"settings": DEPLOYMENT_SETTINGS | {"grades": [FRONTEND | {"group": 1}]}},
            "$.settings.grades[0].group",
        ),
        (
            {"settings": DEPLOYMENT_SETTINGS | {"grades": [FRONTEND | {"aim_us": 0}]}},
            "$.settings.grades[0].aim_us",
        ),
        (
            {"settings": DEPLOYMENT_SETTINGS | {"bounds": BOUNDS | {"try_limit": 0}}},
            "$.settings.bounds.try_limit",
        ),
    ],
)
def test_an_invalid_value_is_reported_with_its_path(changed: dict[str, Any], path: str) -> None:
    with pytest.raises(InvalidInputError) as caught:
        config.decode_config(node_fields(**changed))
    assert f"`{path}`" in str(caught.value)
    assert "\n" not in str(caught.value)


def test_unknown_keys_are_ignored() -> None:
    node = config.decode_config(
        node_fields(more={"of": "it"}, settings=DEPLOYMENT_SETTINGS | {"family": "x"})
    )
    assert (node.name, node.log_level, node.max_descriptors) == ("n0", "info", 256)


def test_an_endpoint_without_optional_values_has_defaults() -> None:
    row = decode_endpoint_update({"generation": 1, "instances": [ENDPOINT]}).endpoints[0]
    assert (row.zone, row.cell, row.weight, row.started_at) == ("", 0, 2.0, 0.0)


@pytest.mark.parametrize(
    "invalid", [{"lifecycle": "up"}, ENDPOINT | {"lifecycle": "odd"}, ENDPOINT | {"hostPort": "x"}, 7]
)
def test_an_endpoint_update_with_one_invalid_endpoint_is_rejected_altogether(invalid: object) -> None:
    with pytest.raises(InvalidInputError):
        decode_endpoint_update({"generation": 1, "instances": [ENDPOINT, invalid]})
