"""Steps of the pure model of one role that several tests share."""

from collections.abc import Callable

from onyxpost.simulation.model_checking.actions import Exchange
from onyxpost.simulation.model_checking.leadership_model import TIMING, LeadershipModel
from onyxpost.simulation.model_checking.messages import MessageInFlight

STEP_MS = TIMING.lease_ms / 8.0


def run_for(model: LeadershipModel, duration_ms: float, after_each_tick: Callable[[], object]) -> None:
    """Lets time pass in steps; no rule may be broken."""
    for _ in range(round(duration_ms / STEP_MS)):
        model.tick(STEP_MS)
        after_each_tick()
        assert model.violation() is None, model.history.violation


def deliver_all(model: LeadershipModel) -> None:
    """Delivers the messages of all candidates and their answers."""
    for name in model.participants:
        model.apply(Exchange(name))


def drop(model: LeadershipModel, which: Callable[[MessageInFlight], bool]) -> None:
    """Loses the messages under way for which `which` holds."""
    model.in_flight = [message for message in model.in_flight if not which(message)]


def token_of(model: LeadershipModel, name: str) -> int | None:
    """The fencing token of a node, if it leads."""
    return model.fencing_token(name)


def leader_of(model: LeadershipModel) -> str | None:
    """The node that leads."""
    return next((name for name in model.participants if token_of(model, name) is not None), None)
