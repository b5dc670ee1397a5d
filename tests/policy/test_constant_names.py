"""Current and earlier names by which `--with Class.NAME=value` sets constants of the policy."""

from __future__ import annotations

import pytest

from onyxpost.policy.endpoint_updates import EndpointTrust
from onyxpost.policy.gossip_exchange import GossipExchange
from onyxpost.policy.latency_estimates import LatencyEstimator
from onyxpost.policy.node_timer import NodeTimer
from onyxpost.policy.peer_usage import PeerUsageAccounting
from onyxpost.policy.rejection import Rejections
from onyxpost.policy.server_assessment import ServerAssessment
from onyxpost.policy.slow_start import SlowStart
from onyxpost.simulation.discrete_event import policy_overrides

MOVED = {
    "Gateway.GOSSIP_INTERVAL_MS": (GossipExchange, "GOSSIP_INTERVAL_MS"),
    "Gateway.MAX_NOTICE_DELAY_MS": (EndpointTrust, "MAX_NOTICE_DELAY_MS"),
    "Gateway.RETRY_AFTER_FRACTION": (Rejections, "RETRY_AFTER_FRACTION"),
    "Gateway.TICK_MS": (NodeTimer, "TICK_MS"),
    "LoadBalancer.ASSESS_INTERVAL_MS": (ServerAssessment, "ASSESS_INTERVAL_MS"),
    "LoadBalancer.INITIAL_LATENCY_FRACTION": (LatencyEstimator, "INITIAL_LATENCY_FRACTION"),
    "LoadBalancer.MIN_WINDOW_MS": (SlowStart, "MIN_WINDOW_MS"),
    "LoadBalancer.PRIOR_ANSWERS": (LatencyEstimator, "PRIOR_ANSWERS"),
    "LoadBalancer.WINDOW_MS": (LatencyEstimator, "WINDOW_MS"),
    "QuotaPolicy.PEER_USAGE_MAX_AGE_MS": (PeerUsageAccounting, "MAX_AGE_MS"),
}
UNMOVED = """
    ConcurrencyLimit.DECREASE_FACTOR ConcurrencyLimit.INCREASE_FACTOR ConcurrencyLimit.INITIAL_LIMIT
    ConcurrencyLimit.LATE_FRACTION ConcurrencyLimit.MAX_LATE_SHARE ConcurrencyLimit.MAX_LIMIT_FACTOR
    ConcurrencyLimit.MIN_LATE_ANSWERS ConcurrencyLimit.MIN_LIMIT ConcurrencyLimit.PERIOD_FRACTION
    LatencyLoadShedder.GAIN LatencyLoadShedder.LEARNING_RATE LatencyLoadShedder.MAX_LOAD
    LatencyLoadShedder.MAX_MODEL_ERROR LatencyLoadShedder.MAX_REJECTION_PROBABILITY
    LatencyLoadShedder.MAX_STEP LatencyLoadShedder.MIN_INPUT_COEFFICIENT LatencyLoadShedder.PERIOD_MS
    LoadBalancer.LATENCY_TOLERANCE
    OutlierDetector.MAX_FAILED_SHARE OutlierDetector.MAX_OPEN_MS OutlierDetector.MIN_FAILURES
    OutlierDetector.OPEN_MS
    QuotaGossip.MAX_MESSAGE_BYTES QuotaGossip.MAX_RECEIVED_SHARE
    QuotaPolicy.FORGET_AFTER_MS QuotaPolicy.MAX_DEBT_MS QuotaPolicy.MAX_GOSSIP_PEERS
    QuotaPolicy.PRESSURE_FRACTION
    RetryBudget.MAX_RETRIES RetryBudget.RETRIES_PER_REQUEST RetryPolicy.DEDUPLICATION_MARGIN
    SlowStart.GOLDEN_RATIO
""".split()


@pytest.mark.parametrize("name", MOVED)
def test_a_constant_that_has_moved_is_set_by_its_earlier_name(name: str) -> None:
    owner, constant = MOVED[name]
    before = getattr(owner, constant)
    with policy_overrides.override_policy(policy_overrides.parse_overrides([f"{name}=3"])):
        assert getattr(owner, constant) == 3.0
    assert getattr(owner, constant) == before


@pytest.mark.parametrize("name", UNMOVED)
def test_a_constant_that_has_not_moved_is_set_by_its_name(name: str) -> None:
    owner_name, constant = name.split(".")
    (owner,) = (kind for kind in policy_overrides.OVERRIDABLE_CLASSES if kind.__name__ == owner_name)
    before = getattr(owner, constant)
    with policy_overrides.override_policy(policy_overrides.parse_overrides([f"{name}=3"])):
        assert getattr(owner, constant) == 3
    assert getattr(owner, constant) == before


@pytest.mark.parametrize("name", policy_overrides.EARLIER_NAMES)
def test_every_earlier_name_sets_a_constant_of_the_class_that_has_it_now(name: str) -> None:
    owner_name, constant = policy_overrides.EARLIER_NAMES[name].split(".")
    (owner,) = (kind for kind in policy_overrides.OVERRIDABLE_CLASSES if kind.__name__ == owner_name)
    assert constant in vars(owner)
    assert policy_overrides.parse_overrides([f"{name}=3"]) == {name: 3.0}
