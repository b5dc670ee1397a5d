"""Initial states of the leadership model for explorations and random runs."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from onyxpost.simulation.model_checking.actions import Exchange

if TYPE_CHECKING:
    from onyxpost.simulation.model_checking.leadership_model import LeadershipModel

MAX_ELECTION_TICKS = 40

ModelT = TypeVar("ModelT", bound="LeadershipModel")


def elect_leader(model: ModelT, *, writes: int = 1) -> ModelT:
    """Runs `model` until a candidate leads and has written `writes` records, and returns it.

    All messages are exchanged, and none is in flight at the end. Raises StopIteration if there is no leader
    after `MAX_ELECTION_TICKS` ticks.
    """
    for _ in range(MAX_ELECTION_TICKS):
        model.tick(model.timing.renew_interval_ms / 2.0)
        for name in model.participants:
            model.apply(Exchange(name))
        if any(participant.leader for participant in model.participants.values()):
            break
    leader = next(name for name, participant in model.participants.items() if participant.leader)
    for _ in range(writes):
        model.write_record(leader)
        model.apply(Exchange(leader))
    model.in_flight.clear()
    return model
