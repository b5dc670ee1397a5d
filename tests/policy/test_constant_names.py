"""Current and earlier names by which `--with Class.NAME=value` sets constants of the policy."""

from __future__ import annotations

import pytest

from onyxpost.policy.endpoint_updates import StaleEndpointPolicy
from onyxpost.policy.gossip_messages import GossipMessenger
from onyxpost.policy.gossip_schedule import GossipScheduler
from onyxpost.policy.latency_estimates import LatencyEstimator
from onyxpost.policy.node_timer import NodeTimer
from onyxpost.policy.outlier_detection import OutlierDetector
from onyxpost.policy.peer_usage import PeerUsageAccounting
from onyxpost.policy.quotas import QuotaPolicy
from onyxpost.policy.request_rejection import RequestRejecter
from onyxpost.policy.retries import AttemptPolicy
from onyxpost.policy.server_assessment import ServerAssessment
from onyxpost.policy.slow_start import SlowStart
from onyxpost.simulation.discrete_event import policy_overrides

MOVED = {
    "EndpointTrust.MAX_NOTICE_DELAY_MS": (StaleEndpointPolicy, "MAX_NOTICE_DELAY_MS"),
    "Gateway.GOSSIP_INTERVAL_MS": (GossipScheduler, "GOSSIP_INTERVAL_MS"),
    "Gateway.MAX_NOTICE_DELAY_MS": (StaleEndpointPolicy, "MAX_NOTICE_DELAY_MS"),
    "Gateway.RETRY_AFTER_FRACTION": (RequestRejecter, "RETRY_AFTER_FRACTION"),
    "Gateway.TICK_MS": (NodeTimer, "TICK_MS"),
    "GossipExchange.GOSSIP_INTERVAL_MS": (GossipScheduler, "GOSSIP_INTERVAL_MS"),
    "LoadBalancer.ASSESS_INTERVAL_MS": (ServerAssessment, "ASSESS_INTERVAL_MS"),
    "LoadBalancer.INITIAL_LATENCY_FRACTION": (LatencyEstimator, "INITIAL_LATENCY_FRACTION"),
    "LoadBalancer.MIN_WINDOW_MS": (SlowStart, "MIN_WINDOW_MS"),
    "LoadBalancer.PRIOR_ANSWERS": (LatencyEstimator, "PRIOR_ANSWERS"),
    "LoadBalancer.WINDOW_MS": (LatencyEstimator, "WINDOW_MS"),
    "OutlierDetector.MAX_OPEN_MS": (OutlierDetector, "MAX_EJECTION_MS"),
    "OutlierDetector.OPEN_MS": (OutlierDetector, "INITIAL_EJECTION_MS"),
    "QuotaGossip.KEPT_FRACTION": (GossipMessenger, "HARD_LIMIT_RESERVE_FRACTION"),
    "QuotaGossip.MAX_MESSAGE_BYTES": (GossipMessenger, "MAX_MESSAGE_BYTES"),
    "QuotaGossip.MAX_RECEIVED_SHARE": (GossipMessenger, "MAX_RECEIVED_SHARE"),
    "QuotaGossip.RECEIVED_INTERVALS": (GossipMessenger, "RECEIVED_INTERVALS"),
    "QuotaGossip.RECEIVED_INTERVAL_MS": (GossipMessenger, "RECEIVED_INTERVAL_MS"),
    "QuotaPolicy.PEER_USAGE_MAX_AGE_MS": (PeerUsageAccounting, "MAX_AGE_MS"),
    "QuotaPolicy.PRESSURE_FRACTION": (QuotaPolicy, "LOW_TOKENS_FRACTION"),
    "Rejections.RETRY_AFTER_FRACTION": (RequestRejecter, "RETRY_AFTER_FRACTION"),
    "RetryPolicy.ANSWER_MARGIN_MS": (AttemptPolicy, "ANSWER_MARGIN_MS"),
    "RetryPolicy.DEADLINE_MARGIN_TICKS": (AttemptPolicy, "DEADLINE_MARGIN_TICKS"),
    "RetryPolicy.DEDUPLICATION_MARGIN": (AttemptPolicy, "DEDUPLICATION_MARGIN"),
    "RetryPolicy.MIN_REMAINING_LATENCIES": (AttemptPolicy, "MIN_REMAINING_LATENCIES"),
}
UNMOVED = """
    ConcurrencyLimit.DECREASE_FACTOR ConcurrencyLimit.INCREASE_FACTOR ConcurrencyLimit.INITIAL_LIMIT
    ConcurrencyLimit.LATE_FRACTION ConcurrencyLimit.MAX_LATE_SHARE ConcurrencyLimit.MAX_LIMIT_FACTOR
    ConcurrencyLimit.MIN_LATE_ANSWERS ConcurrencyLimit.MIN_LIMIT ConcurrencyLimit.PERIOD_FRACTION
    LatencyLoadShedder.GAIN LatencyLoadShedder.LEARNING_RATE LatencyLoadShedder.MAX_LOAD
    LatencyLoadShedder.MAX_MODEL_ERROR LatencyLoadShedder.MAX_REJECTION_PROBABILITY
    LatencyLoadShedder.MAX_STEP LatencyLoadShedder.MIN_INPUT_COEFFICIENT LatencyLoadShedder.PERIOD_MS
    LoadBalancer.LATENCY_TOLERANCE
    OutlierDetector.MAX_FAILED_SHARE OutlierDetector.MIN_FAILURES
    QuotaPolicy.FORGET_AFTER_MS QuotaPolicy.MAX_DEBT_MS QuotaPolicy.MAX_GOSSIP_PEERS
    RetryBudget.MAX_RETRIES RetryBudget.RETRIES_PER_REQUEST
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
