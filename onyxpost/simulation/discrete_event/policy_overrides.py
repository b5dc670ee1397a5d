"""Overrides of the policy's constants, as given by the option `--with Class.NAME=value`."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, NamedTuple

from onyxpost.policy.concurrency import ConcurrencyLimit
from onyxpost.policy.endpoint_updates import StaleEndpointPolicy
from onyxpost.policy.gossip_messages import GossipMessenger
from onyxpost.policy.gossip_schedule import GossipScheduler
from onyxpost.policy.hard_limit_wait import HardLimitWait
from onyxpost.policy.latency_estimates import LatencyEstimator
from onyxpost.policy.load_balancing import LoadBalancer
from onyxpost.policy.load_shedding import LatencyLoadShedder
from onyxpost.policy.memory_pressure import MemoryPressurePolicy
from onyxpost.policy.node_timer import NodeTimer
from onyxpost.policy.outlier_detection import OutlierDetector
from onyxpost.policy.peer_usage import PeerUsageAccounting
from onyxpost.policy.preference_order import PreferenceOrder
from onyxpost.policy.quotas import QuotaPolicy
from onyxpost.policy.request_rejection import RequestRejecter
from onyxpost.policy.retries import AttemptPolicy, RetryBudget
from onyxpost.policy.server_assessment import ServerAssessment
from onyxpost.policy.slow_start import SlowStart
from onyxpost.simulation.errors import InvalidOptionError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

PolicyOverrides = dict[str, float]  # values by name, as in `LatencyLoadShedder.PERIOD_MS`

OVERRIDABLE_CLASSES: tuple[type, ...] = (
    ConcurrencyLimit,
    StaleEndpointPolicy,
    GossipScheduler,
    HardLimitWait,
    LatencyEstimator,
    LatencyLoadShedder,
    LoadBalancer,
    MemoryPressurePolicy,
    NodeTimer,
    OutlierDetector,
    PeerUsageAccounting,
    PreferenceOrder,
    GossipMessenger,
    QuotaPolicy,
    RequestRejecter,
    RetryBudget,
    AttemptPolicy,
    ServerAssessment,
    SlowStart,
)
# Current names by earlier names, which scripts and records of earlier runs use.
EARLIER_NAMES = {
    "Customer.AGE": "PeerUsageAccounting.MAX_AGE_MS",
    "Customer.DEBT": "QuotaPolicy.MAX_DEBT_MS",
    "Customer.FORGET": "QuotaPolicy.FORGET_AFTER_MS",
    "Customer.PRESSED": "QuotaPolicy.LOW_TOKENS_FRACTION",
    "Customer.TURN": "QuotaPolicy.MAX_GOSSIP_PEERS",
    "EndpointTrust.MAX_NOTICE_DELAY_MS": "StaleEndpointPolicy.MAX_NOTICE_DELAY_MS",
    "Gateway.BEAT": "NodeTimer.TICK_MS",
    "Gateway.COME_BACK": "RequestRejecter.RETRY_AFTER_FRACTION",
    "Gateway.GOSSIP": "GossipScheduler.GOSSIP_INTERVAL_MS",
    "Gateway.GOSSIP_INTERVAL_MS": "GossipScheduler.GOSSIP_INTERVAL_MS",
    "Gateway.MAX_NOTICE_DELAY_MS": "StaleEndpointPolicy.MAX_NOTICE_DELAY_MS",
    "Gateway.RESEND_MOST": "RetryBudget.MAX_RETRIES",
    "Gateway.RESEND_SHARE": "RetryBudget.RETRIES_PER_REQUEST",
    "Gateway.RETRY_AFTER_FRACTION": "RequestRejecter.RETRY_AFTER_FRACTION",
    "Gateway.TICK_MS": "NodeTimer.TICK_MS",
    "Gateway.UNTOLD": "StaleEndpointPolicy.MAX_NOTICE_DELAY_MS",
    "GossipExchange.GOSSIP_INTERVAL_MS": "GossipScheduler.GOSSIP_INTERVAL_MS",
    "LoadBalancer.ASSESS_INTERVAL_MS": "ServerAssessment.ASSESS_INTERVAL_MS",
    "LoadBalancer.INITIAL_LATENCY_FRACTION": "LatencyEstimator.INITIAL_LATENCY_FRACTION",
    "LoadBalancer.MIN_WINDOW_MS": "SlowStart.MIN_WINDOW_MS",
    "LoadBalancer.PRIOR_ANSWERS": "LatencyEstimator.PRIOR_ANSWERS",
    "LoadBalancer.WINDOW_MS": "LatencyEstimator.WINDOW_MS",
    "OutlierDetector.MAX_OPEN_MS": "OutlierDetector.MAX_EJECTION_MS",
    "OutlierDetector.OPEN_MS": "OutlierDetector.INITIAL_EJECTION_MS",
    "Peers.INTAKE": "GossipMessenger.MAX_RECEIVED_SHARE",
    "Peers.MESSAGE_BYTES": "GossipMessenger.MAX_MESSAGE_BYTES",
    "QuotaGossip.KEPT_FRACTION": "GossipMessenger.HARD_LIMIT_RESERVE_FRACTION",
    "QuotaGossip.MAX_MESSAGE_BYTES": "GossipMessenger.MAX_MESSAGE_BYTES",
    "QuotaGossip.MAX_RECEIVED_SHARE": "GossipMessenger.MAX_RECEIVED_SHARE",
    "QuotaGossip.RECEIVED_INTERVALS": "GossipMessenger.RECEIVED_INTERVALS",
    "QuotaGossip.RECEIVED_INTERVAL_MS": "GossipMessenger.RECEIVED_INTERVAL_MS",
    "QuotaPolicy.PEER_USAGE_MAX_AGE_MS": "PeerUsageAccounting.MAX_AGE_MS",
    "QuotaPolicy.PRESSURE_FRACTION": "QuotaPolicy.LOW_TOKENS_FRACTION",
    "Rejections.RETRY_AFTER_FRACTION": "RequestRejecter.RETRY_AFTER_FRACTION",
    "RetryPolicy.ANSWER_MARGIN_MS": "AttemptPolicy.ANSWER_MARGIN_MS",
    "RetryPolicy.DEADLINE_MARGIN_TICKS": "AttemptPolicy.DEADLINE_MARGIN_TICKS",
    "RetryPolicy.DEDUPLICATION_MARGIN": "AttemptPolicy.DEDUPLICATION_MARGIN",
    "RetryPolicy.MIN_REMAINING_LATENCIES": "AttemptPolicy.MIN_REMAINING_LATENCIES",
    "Servers.ASSESS": "ServerAssessment.ASSESS_INTERVAL_MS",
    "Servers.FAILED_SHARE": "OutlierDetector.MAX_FAILED_SHARE",
    "Servers.GOLDEN": "SlowStart.GOLDEN_RATIO",
    "Servers.MARGIN": "LoadBalancer.LATENCY_TOLERANCE",
    "Servers.OPEN": "OutlierDetector.INITIAL_EJECTION_MS",
    "Servers.OPEN_MOST": "OutlierDetector.MAX_EJECTION_MS",
    "Servers.YOUNG": "SlowStart.MIN_WINDOW_MS",
    "Srv.SPAN": "LatencyEstimator.WINDOW_MS",
    "Theta.ALPHA": "LatencyLoadShedder.LEARNING_RATE",
    "Theta.FLOOR": "LatencyLoadShedder.MIN_INPUT_COEFFICIENT",
    "Theta.GAIN": "LatencyLoadShedder.GAIN",
    "Theta.MOST": "LatencyLoadShedder.MAX_REJECTION_PROBABILITY",
    "Theta.PERIOD": "LatencyLoadShedder.PERIOD_MS",
    "Theta.STEP": "LatencyLoadShedder.MAX_STEP",
    "Window.CUT": "ConcurrencyLimit.DECREASE_FACTOR",
    "Window.LATE": "ConcurrencyLimit.LATE_FRACTION",
    "Window.MANY": "ConcurrencyLimit.MAX_LATE_SHARE",
    "Window.PERIOD": "ConcurrencyLimit.PERIOD_FRACTION",
    "Window.START": "ConcurrencyLimit.INITIAL_LIMIT",
    "Window.WIDEN": "ConcurrencyLimit.INCREASE_FACTOR",
}


class PolicyConstant(NamedTuple):
    """A constant of a policy class."""

    owner: Any
    name: str

    @property
    def value(self) -> float:
        """The current value."""
        value: float = getattr(self.owner, self.name)
        return value


def parse_overrides(options: Iterable[str]) -> PolicyOverrides:
    """Parses options such as `LatencyLoadShedder.PERIOD_MS=250`.

    Raises:
        InvalidOptionError: an option names no constant of the policy whose value is a number, or its value is
                not a number.
    """
    overrides: PolicyOverrides = {}
    for option in options:
        name, _, value = option.partition("=")
        try:
            overrides[name] = float(value)
            _require_number(name)
        except (ValueError, AttributeError, TypeError):
            expected = (
                "expected a constant of the policy and a number, as in LatencyLoadShedder.PERIOD_MS=250"
            )
            raise InvalidOptionError(f"{option!r}: {expected}", "--with") from None
    return overrides


def _require_number(name: str) -> None:
    if not isinstance(_find_constant(name).value, int | float):
        raise TypeError(name)


def _find_constant(name: str) -> PolicyConstant:
    class_name, _, constant_name = EARLIER_NAMES.get(name, name).rpartition(".")
    owner = next((owner for owner in OVERRIDABLE_CLASSES if owner.__name__ == class_name), None)
    if owner is None or not constant_name.isupper():
        raise ValueError(name)
    return PolicyConstant(owner, constant_name)


@contextlib.contextmanager
def override_policy(overrides: PolicyOverrides) -> Iterator[None]:
    """Overrides constants of the policy within the context; values are converted to the constants' types."""
    previous_values: list[tuple[PolicyConstant, Any]] = []
    for name, value in overrides.items():
        constant = _find_constant(name)
        previous_values.append((constant, constant.value))
        setattr(constant.owner, constant.name, type(constant.value)(value))
    try:
        yield
    finally:
        for constant, previous_value in previous_values:
            setattr(constant.owner, constant.name, previous_value)
