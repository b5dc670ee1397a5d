"""Many seeds of one scenario on several processes; the same bytes whatever their number."""

from __future__ import annotations

import contextlib
import multiprocessing
import signal
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from typing import Any

from onyxpost.policy.concurrency import ConcurrencyLimit
from onyxpost.policy.endpoint_updates import EndpointTrust
from onyxpost.policy.gossip_exchange import GossipExchange
from onyxpost.policy.hard_limit_wait import HardLimitWait
from onyxpost.policy.latency_estimates import LatencyEstimator
from onyxpost.policy.load_balancing import LoadBalancer
from onyxpost.policy.load_shedding import LatencyLoadShedder
from onyxpost.policy.node_timer import NodeTimer
from onyxpost.policy.outlier_detection import OutlierDetector
from onyxpost.policy.peer_usage import PeerUsageAccounting
from onyxpost.policy.preference_order import PreferenceOrder
from onyxpost.policy.quota_gossip import QuotaGossip
from onyxpost.policy.quotas import QuotaPolicy
from onyxpost.policy.rejection import Rejections
from onyxpost.policy.retries import RetryBudget, RetryPolicy
from onyxpost.policy.server_assessment import ServerAssessment
from onyxpost.policy.slow_start import SlowStart
from onyxpost.simulation.discrete_event.scenario import Scenario, packed, unpacked
from onyxpost.simulation.discrete_event.world import World, lines
from onyxpost.simulation.errors import InvalidOptionError
from onyxpost.simulation.results import encode

SEED_MOST = 2**32 - 1
TRIED: tuple[type, ...] = (
    ConcurrencyLimit,
    EndpointTrust,
    GossipExchange,
    HardLimitWait,
    LatencyEstimator,
    LatencyLoadShedder,
    LoadBalancer,
    NodeTimer,
    OutlierDetector,
    PeerUsageAccounting,
    PreferenceOrder,
    QuotaGossip,
    QuotaPolicy,
    Rejections,
    RetryBudget,
    RetryPolicy,
    ServerAssessment,
    SlowStart,
)
# Earlier names of the constants, which notes and scripts of earlier trials give.
RENAMED = {
    "Customer.AGE": "PeerUsageAccounting.MAX_AGE_MS",
    "Customer.DEBT": "QuotaPolicy.MAX_DEBT_MS",
    "Customer.FORGET": "QuotaPolicy.FORGET_AFTER_MS",
    "Customer.PRESSED": "QuotaPolicy.PRESSURE_FRACTION",
    "Customer.TURN": "QuotaPolicy.MAX_GOSSIP_PEERS",
    "Gateway.BEAT": "NodeTimer.TICK_MS",
    "Gateway.COME_BACK": "Rejections.RETRY_AFTER_FRACTION",
    "Gateway.GOSSIP": "GossipExchange.GOSSIP_INTERVAL_MS",
    "Gateway.GOSSIP_INTERVAL_MS": "GossipExchange.GOSSIP_INTERVAL_MS",
    "Gateway.MAX_NOTICE_DELAY_MS": "EndpointTrust.MAX_NOTICE_DELAY_MS",
    "Gateway.RESEND_MOST": "RetryBudget.MAX_RETRIES",
    "Gateway.RESEND_SHARE": "RetryBudget.RETRIES_PER_REQUEST",
    "Gateway.RETRY_AFTER_FRACTION": "Rejections.RETRY_AFTER_FRACTION",
    "Gateway.TICK_MS": "NodeTimer.TICK_MS",
    "Gateway.UNTOLD": "EndpointTrust.MAX_NOTICE_DELAY_MS",
    "LoadBalancer.ASSESS_INTERVAL_MS": "ServerAssessment.ASSESS_INTERVAL_MS",
    "LoadBalancer.INITIAL_LATENCY_FRACTION": "LatencyEstimator.INITIAL_LATENCY_FRACTION",
    "LoadBalancer.MIN_WINDOW_MS": "SlowStart.MIN_WINDOW_MS",
    "LoadBalancer.PRIOR_ANSWERS": "LatencyEstimator.PRIOR_ANSWERS",
    "LoadBalancer.WINDOW_MS": "LatencyEstimator.WINDOW_MS",
    "Peers.INTAKE": "QuotaGossip.MAX_RECEIVED_SHARE",
    "Peers.MESSAGE_BYTES": "QuotaGossip.MAX_MESSAGE_BYTES",
    "QuotaPolicy.PEER_USAGE_MAX_AGE_MS": "PeerUsageAccounting.MAX_AGE_MS",
    "Servers.ASSESS": "ServerAssessment.ASSESS_INTERVAL_MS",
    "Servers.FAILED_SHARE": "OutlierDetector.MAX_FAILED_SHARE",
    "Servers.GOLDEN": "SlowStart.GOLDEN_RATIO",
    "Servers.MARGIN": "LoadBalancer.LATENCY_TOLERANCE",
    "Servers.OPEN": "OutlierDetector.OPEN_MS",
    "Servers.OPEN_MOST": "OutlierDetector.MAX_OPEN_MS",
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


def seeds(text: str) -> list[int]:
    """`7`, `1-20` or `1,4,9-12`."""
    found: list[int] = []
    try:
        for part in text.split(","):
            low, _, high = part.partition("-")
            first, last = int(low), int(high or low)
            if not 0 <= first <= last <= SEED_MOST or last - first >= 1_000_000:
                raise ValueError
            found += range(first, last + 1)
    except ValueError:
        what = f"{text!r}: numbers from 0 to {SEED_MOST}, as in 1-20 or 1,4,9-12"
        raise InvalidOptionError(what, "seeds") from None
    return list(dict.fromkeys(found))


Changes = dict[str, float]  # constants of the module, as "Theta.PERIOD", tried at other values


def changes(words: Iterable[str]) -> Changes:
    """`Theta.PERIOD=250` and the like; only what the module has can be tried."""
    found: Changes = {}
    for word in words:
        name, _, value = word.partition("=")
        try:
            found[name] = float(value)
            owner, constant = _constant(name)
            if not isinstance(getattr(owner, constant), int | float):
                raise TypeError(name)
        except (ValueError, AttributeError, TypeError):
            why = "a constant of the module and a number, as in Theta.PERIOD=250"
            raise InvalidOptionError(f"{word!r}: {why}", "--with") from None
    return found


def _constant(name: str) -> tuple[Any, str]:
    owner, _, constant = RENAMED.get(name, name).rpartition(".")
    found = next((kind for kind in TRIED if kind.__name__ == owner), None)
    if found is None or not constant.isupper():
        raise ValueError(name)
    return found, constant


@contextlib.contextmanager
def tried(changed: Changes) -> Iterator[None]:
    before = {}
    for name, value in changed.items():
        owner, constant = _constant(name)
        before[name] = getattr(owner, constant)
        setattr(owner, constant, type(before[name])(value))
    try:
        yield
    finally:
        for name, value in before.items():
            owner, constant = _constant(name)
            setattr(owner, constant, value)


def one(text: bytes, seed: int, changed: Changes) -> tuple[bytes, float]:
    began = time.perf_counter()
    with tried(changed):
        world = World(unpacked(text, "scenario"), seed)
        world.play()
    return encode(lines(world)), time.perf_counter() - began


def _quiet() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # an interrupt is the parent's to handle
    signal.signal(signal.SIGTERM, signal.SIG_DFL)


@contextlib.contextmanager
def pool_of(jobs: int) -> Iterator[ProcessPoolExecutor]:
    """Processes that end with what they are for: an interrupted run leaves none, and waits for none."""
    context = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(jobs, mp_context=context, initializer=_quiet)
    try:
        yield pool
    except BaseException:
        for child in multiprocessing.active_children():
            child.terminate()
        pool.shutdown(wait=False, cancel_futures=True)
        raise
    pool.shutdown()


def many(
    scenario: Scenario, chosen: list[int], jobs: int, changed: Changes | None = None
) -> Iterator[tuple[int, bytes, float]]:
    """In the seeds' order, as each is done."""
    text = packed(scenario)
    if jobs <= 1:
        for seed in chosen:
            yield seed, *one(text, seed, changed or {})
        return
    with pool_of(jobs) as pool:
        waiting: list[tuple[int, Future[tuple[bytes, float]]]] = [
            (seed, pool.submit(one, text, seed, changed or {})) for seed in chosen
        ]
        for seed, future in waiting:
            yield seed, *future.result()
