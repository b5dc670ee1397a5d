"""Steps of the model of one role, which several tests use."""

from collections.abc import Callable

from onyxpost.simulation.model_checking.actions import Exchange
from onyxpost.simulation.model_checking.leadership_model import TIMING, LeadershipModel
from onyxpost.simulation.model_checking.messages import MessageInFlight

STEP_MS = TIMING.lease_ms / 8.0


def run_for(model: LeadershipModel, duration_ms: float, after_each_tick: Callable[[], object]) -> None:
    """Advances the clocks in steps, and checks after each step that no invariant is violated."""
    for _ in range(round(duration_ms / STEP_MS)):
        model.tick(STEP_MS)
        after_each_tick()
        assert model.violation() is None, model.history.violation


def deliver_all(model: LeadershipModel) -> None:
    """Delivers the messages of all candidates and the replies to them."""
    for name in model.participants:
        model.apply(Exchange(name))


def drop(model: LeadershipModel, is_dropped: Callable[[MessageInFlight], bool]) -> None:
    """Removes the messages in flight for which `is_dropped` returns True."""
    model.in_flight = [message for message in model.in_flight if not is_dropped(message)]


def token_of(model: LeadershipModel, name: str) -> int | None:
    """The fencing token of a node that leads the role; None for another node."""
    return model.fencing_token(name)


def leader_of(model: LeadershipModel) -> str | None:
    """The node that leads the role; None if no node does."""
    return next((name for name in model.participants if token_of(model, name) is not None), None)
