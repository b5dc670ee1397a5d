"""Explores all states that a small model can reach within a depth, breadth first, and visits each state once.

The terms are those of TLA+: a model has a state, actions that change the state, and invariants that each
state must satisfy. States are copied and compared by their pickles. The pickler uses no memo, so that equal
states have equal pickles.
"""

from __future__ import annotations

import io
import pickle
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING, Generic, NamedTuple, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

ActionT = TypeVar("ActionT")

DEFAULT_MAX_STATES = 1_000_000
KEY_BYTES = 12  # size of the digest that identifies a visited state


class Model(Protocol[ActionT]):
    """The state of a model and the actions that are possible in it."""

    def actions(self) -> Sequence[ActionT]:
        """Returns the actions that are possible in this state, in a fixed order."""
        ...

    def apply(self, action: ActionT) -> None:
        """Changes the state by one action."""

    def shared_values(self) -> Sequence[object]:
        """Returns values that no action changes and that all copies share; at most one of each type."""
        ...

    def violation(self) -> str | None:
        """Returns a description of the invariant that this state violates; None if it violates none."""


@dataclass(frozen=True, slots=True)
class ExplorationResult(Generic[ActionT]):
    """The result of an exploration.

    Attributes:
        states: Number of different states that were reached.
        transitions: Number of actions that were applied.
        depth: Number of actions within which every reachable state was reached.
        violation: A description of the first violation; None if there was none.
        path: The shortest sequence of actions from the initial state to the violation.
    """

    states: int
    transitions: int
    depth: int
    violation: str | None = None
    path: tuple[ActionT, ...] = ()


class _UnexpandedState(NamedTuple, Generic[ActionT]):
    """A state whose actions are still to be applied."""

    state: bytes
    actions: Sequence[ActionT]
    path: tuple[ActionT, ...]


_shared_values: dict[int, object] = {}  # by id; values are never removed, so that no id is reused


def encode_state(model: Model[ActionT]) -> bytes:
    """Returns the state of a model as bytes that `decode_state` accepts in this process."""
    buffer = io.BytesIO()
    pickler = pickle.Pickler(buffer, pickle.HIGHEST_PROTOCOL)
    pickler.fast = True
    pickler.dispatch_table = {type(value): _reduce_shared_value for value in model.shared_values()}
    pickler.dump(model)
    return buffer.getvalue()


def decode_state(state: bytes) -> Model[ActionT]:
    """Returns a new model with an encoded state, which shares `shared_values` with the original."""
    model: Model[ActionT] = pickle.loads(state)
    return model


def state_key(state: bytes) -> bytes:
    """Returns the digest that identifies an encoded state."""
    return blake2b(state, digest_size=KEY_BYTES).digest()


def explore(
    create_model: Callable[[], Model[ActionT]], depth: int, max_states: int = DEFAULT_MAX_STATES
) -> ExplorationResult[ActionT]:
    """Explores all states within `depth` actions of the state that `create_model` returns.

    Stops at the first violation, to which it returns the shortest path, or after `max_states` states. The
    `depth` of the result is then the number of actions within which all states were reached.
    """
    initial = create_model()
    initial_state = encode_state(initial)
    visited = {state_key(initial_state)}
    transitions = 0
    frontier: list[_UnexpandedState[ActionT]] = [_UnexpandedState(initial_state, initial.actions(), ())]
    for level in range(depth):
        next_frontier: list[_UnexpandedState[ActionT]] = []
        for unexpanded in frontier:
            for action in unexpanded.actions:
                model: Model[ActionT] = decode_state(unexpanded.state)
                model.apply(action)
                transitions += 1
                path = (*unexpanded.path, action)
                violation = model.violation()
                if violation is not None:
                    return ExplorationResult(len(visited), transitions, level, violation, path)
                state = encode_state(model)
                key = state_key(state)
                if key in visited:
                    continue
                visited.add(key)
                next_frontier.append(_UnexpandedState(state, model.actions(), path))
                if len(visited) >= max_states:
                    return ExplorationResult(len(visited), transitions, level)
        frontier = next_frontier
    return ExplorationResult(len(visited), transitions, depth)


def _reduce_shared_value(value: object) -> tuple[Callable[[int], object], tuple[int]]:
    _shared_values[id(value)] = value
    return _find_shared_value, (id(value),)


def _find_shared_value(key: int) -> object:
    return _shared_values[key]
