"""Building the deployment of a node from its settings."""

from __future__ import annotations

from typing import Any

import pytest

from onyxpost.config.deployment import Deployment, decode_deployment
from onyxpost.core.types import DeduplicationScope, Idempotency
from onyxpost.errors import ConflictingValuesError, InvalidInputError, InvalidValueError
from onyxpost.node import config as node_config
from tests.edge.harness import DEPLOYMENT_SETTINGS, node_fields


def deployment_with(**changes: Any) -> Deployment:
    """Returns the deployment of the test settings, with some keys or sections changed."""
    merged = {
        key: DEPLOYMENT_SETTINGS[key] | value if isinstance(value, dict) else value
        for key, value in changes.items()
    }
    return decode_deployment(DEPLOYMENT_SETTINGS | merged)


def test_connect_timeout_does_not_exceed_the_drain_grace() -> None:
    assert deployment_with(rules={"drain_grace_us": 100_000}).connect_timeout_ms == 100.0


def test_all_connect_timeouts_together_do_not_exceed_half_of_a_requests_time() -> None:
    assert deployment_with(bounds={"try_limit": 10}).connect_timeout_ms == 100.0


def test_the_settings_may_lower_the_connect_timeout_but_not_raise_it() -> None:
    assert deployment_with(bounds={"connect_timeout_us": 50_000}).connect_timeout_ms == 50.0
    limit_ms = deployment_with(bounds={"connect_timeout_us": None}).connect_timeout_ms
    assert deployment_with(bounds={"connect_timeout_us": 10_000_000}).connect_timeout_ms == limit_ms


@pytest.mark.parametrize(
    ("effect", "idempotency"),
    [
        ("retryable", Idempotency.IDEMPOTENT),
        ("dedup", Idempotency.IDEMPOTENCY_KEY),
        ("fragile", Idempotency.NON_IDEMPOTENT),
    ],
)
def test_idempotency_and_deduplication_scope_of_a_frontend_are_read(
    effect: str, idempotency: Idempotency
) -> None:
    grade = {"name": "f", "aim_us": 1000, "deadline_us": 2000, "effect": effect, "group": "zone"}
    (frontend,) = deployment_with(grades=[grade]).frontends
    assert frontend.idempotency is idempotency
    assert frontend.deduplication_scope is DeduplicationScope.ZONE


def test_max_retry_after_is_zero_if_retry_after_is_not_sent() -> None:
    bounds = {"retry_after": False, "max_retry_after_us": 1_000_000}
    assert deployment_with(bounds=bounds).limits.max_retry_after_ms == 0.0


@pytest.mark.parametrize("wrong", [{"grades": []}, {"n_instances": 0}, {"ordinal": 2}, {"rules": None}])
def test_unusable_settings_are_rejected(wrong: dict[str, Any]) -> None:
    with pytest.raises(InvalidInputError):
        node_config.decode_config(node_fields(settings=DEPLOYMENT_SETTINGS | wrong))


def test_a_node_index_out_of_range_names_its_key() -> None:
    with pytest.raises(ConflictingValuesError) as caught:
        deployment_with(ordinal=5, n_instances=5)
    assert caught.value.message == "expected a node index below 5, got 5 - at `$.ordinal`"


@pytest.mark.parametrize(
    ("changes", "key_path"),
    [
        ({"bounds": {"try_limit": 0}}, "`$.bounds.try_limit`"),
        ({"rules": {"cold_us": "long"}}, "`$.rules.cold_us`"),
        ({"family_info": {"most_units": "many"}}, "`$.family_info.most_units`"),
        ({"packages": [{"name": "p", "refill": "x"}]}, "`$.packages[0].refill`"),
        ({"grades": [{"name": "f", "aim_us": 0, "deadline_us": 1}]}, "`$.grades[0].aim_us`"),
        ({"quantum_us": "x"}, "`$.quantum_us`"),
    ],
)
def test_an_error_names_the_operators_key(changes: dict[str, Any], key_path: str) -> None:
    with pytest.raises(InvalidValueError) as caught:
        deployment_with(**changes)
    assert caught.value.message.endswith(key_path)
    assert caught.value.location == "settings"
