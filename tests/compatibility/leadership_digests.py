"""Digests of leader leases: random walks of the model, and failovers of complete nodes."""

from __future__ import annotations

import contextlib
from random import Random
from typing import TYPE_CHECKING, Any

from onyxpost.leadership import effects
from onyxpost.leadership.effect_runner import EffectRunner
from onyxpost.simulation import virtual_time
from onyxpost.simulation.model_checking.actions import (
    Action,
    CallResource,
    DeliverCall,
    DeliverDuplicate,
    DeliverMessage,
    DeliverReplies,
    DeliverRequests,
    Exchange,
    RestartAcceptor,
    Tick,
    WriteRecord,
)
from onyxpost.simulation.model_checking.failover_timing import measure_failover
from onyxpost.simulation.model_checking.initial_states import elect_leader
from onyxpost.simulation.model_checking.leadership_model import TIMING, LeadershipModel
from onyxpost.simulation.model_checking.messages import RESOURCE
from tests.compatibility.event_digest import EventDigest, Record, final_digest, without_collector, wrapped
from tests.compatibility.network_observer import observe_network

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

LEASE_SEEDS = range(30)
LEASE_STEPS = 150
FAILOVER_RUNS = tuple((fault, seed) for fault in ("sigterm", "kill", "stall", "cut") for seed in (1, 2))
FAILOVER_NODES = 5

# The type of an action is drawn from 0 to 9. The draws that have no name here are actions of a leader.
DRAW_LIMIT = 10
TICK_DRAWS = (0, 1)
EXCHANGE_DRAWS = (2, 3)
RENEWALS_DRAW = 4
CANDIDATE_DELIVERY_DRAW = 5
MESSAGE_DELIVERY_DRAW = 6
RESTART_DRAW = 7
RESTART_PROBABILITY = 0.3
TICK_DURATIONS_MS = [
    TIMING.rank_delay_ms,
    TIMING.renew_interval_ms,
    TIMING.lease_ms / 2.0,
    TIMING.acceptor_lease_ms,
]
CANDIDATE_DELIVERIES: list[Callable[[str], Action]] = [DeliverRequests, DeliverReplies]
MESSAGE_DELIVERIES: list[Callable[[int], Action]] = [DeliverMessage, DeliverDuplicate]
LEADER_ACTIONS: list[Callable[[str], Action]] = [WriteRecord, CallResource]


def observe_lease_model(digest: EventDigest, model: LeadershipModel) -> None:
    """Adds the state after an action: committed writes, calls, fencing tokens and messages in flight."""
    digest.add(
        model.now_ms,
        model.history.latest_token,
        *model.history.committed,
        model.history.rejected_calls,
        *model.history.accepted_tokens,
    )
    for name in model.participants:
        digest.add(name, model.fencing_token(name))
    for message in model.in_flight:
        digest.add(message.sender, message.recipient, message.body)


def lease_actions(rng: Random, model: LeadershipModel) -> list[Action]:
    """Draws the next actions of a random walk. The recorded walks depend on the order of the draws."""
    candidate = rng.choice(list(model.participants))
    absent = rng.choice(["", "", *model.acceptors])
    draw = rng.randrange(DRAW_LIMIT)
    if draw in TICK_DRAWS:
        return [Tick(rng.choice(TICK_DURATIONS_MS))]
    if draw in EXCHANGE_DRAWS:
        return [Exchange(candidate, absent)]
    if draw == RENEWALS_DRAW:
        return [Tick(TIMING.renew_interval_ms), Exchange(candidate)] * 4
    return [single_action(rng, model, candidate, draw)]


def single_action(rng: Random, model: LeadershipModel, candidate: str, draw: int) -> Action:
    """Draws a delivery, the restart of an acceptor, or an action of a leader."""
    if draw == CANDIDATE_DELIVERY_DRAW:
        return rng.choice(CANDIDATE_DELIVERIES)(candidate)
    if draw == MESSAGE_DELIVERY_DRAW and model.in_flight:
        index = rng.choice(range(len(model.in_flight)))
        if model.in_flight[index].recipient == RESOURCE:
            return DeliverCall(index)
        return rng.choice(MESSAGE_DELIVERIES)(index)
    if draw == RESTART_DRAW and model.restarts_left and rng.random() < RESTART_PROBABILITY:
        return RestartAcceptor(rng.choice(list(model.acceptors)))
    return rng.choice(LEADER_ACTIONS)(candidate)


def lease_record(seed: int) -> Record:
    """Returns digest and counts of a random walk with five acceptors and three candidates for one lease."""
    rng = Random(f"{seed}/lease")
    digest = EventDigest()
    model = elect_leader(LeadershipModel(5, 3, 6))
    for _ in range(LEASE_STEPS):
        for action in lease_actions(rng, model):
            model.apply(action)
            observe_lease_model(digest, model)
    return {
        "sha256": digest.hexdigest(),
        "events": digest.events,
        "grants": model.history.latest_token,
        "violations": int(model.violation() is not None),
    }


@contextlib.contextmanager
def observe_leases(digest: EventDigest) -> Iterator[None]:
    """Adds each lease that is acquired or lost and each committed record, with the virtual time in us."""

    def changed(original: Any, runner: EffectRunner, effect: Any) -> None:
        time_us = round(runner.transport.monotonic() * 1000.0)
        match effect:
            case effects.LeadershipAcquired():
                record = effect.record
                digest.add(time_us, "taken", runner.registry.identity.name, effect.role, effect.fencing_token)
                digest.add(record.sequence, record.body, effect.record_epoch_ms)
            case effects.LeadershipLost():
                digest.add(time_us, "lost", runner.registry.identity.name, effect.role, effect.fencing_token)
            case effects.RecordCommitted():
                digest.add(
                    time_us,
                    "confirmed",
                    runner.registry.identity.name,
                    effect.role,
                    effect.fencing_token,
                    effect.sequence,
                )
        original(runner, effect)

    with wrapped(EffectRunner, "handle_change", changed):
        yield


def failover_record(fault: str, seed: int) -> Record:
    """Returns digest and timing of the failover of one lease between complete nodes on the virtual network.

    The leader receives SIGTERM, is killed, stalls, or is cut off from the network, according to `fault`.
    """
    digest = EventDigest()
    with without_collector(), observe_network(digest), observe_leases(digest):
        result, sha256, events = virtual_time.run(
            final_digest(digest, measure_failover(seed, FAILOVER_NODES, fault))
        )
    failover_ms, overlap_count, is_record_kept = result
    return {
        "sha256": sha256,
        "events": events,
        "failover ms": round(failover_ms, 3),
        "overlaps": overlap_count,
        "record kept": is_record_kept,
    }
