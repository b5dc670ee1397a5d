"""Explores all states that a small model can reach, breadth first, up to a depth; visits each state once.

The terms are those of TLA+: a model has a state, actions that change it, and invariants that each state must
satisfy. A state is copied and compared by its pickle, which is made without memo, so that equal states give
equal bytes.
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
KEY_BYTES = 12  # of the digest by which a visited state is known


class Model(Protocol[ActionT]):
    """A state with the actions that are possible in it."""

    def actions(self) -> Sequence[ActionT]:
        """The actions that are possible in this state, in a fixed order."""
        ...

    def apply(self, action: ActionT) -> None:
        """Changes the state."""

    def shared_values(self) -> Sequence[object]:
        """Values that never change, at most one of each type: all copies of the state share them."""
        ...

    def violation(self) -> str | None:
        """The invariant that this state violates; None if it violates none."""


@dataclass(frozen=True, slots=True)
class ExplorationResult(Generic[ActionT]):
    """What an exploration found.

    Attributes:
        states: Number of different states that were reached.
        transitions: Number of actions that were applied.
        depth: Number of actions up to which every state was reached.
        violation: The first invariant that was violated; None if none was.
        path: The shortest sequence of actions from the initial state to that violation.
    """

    states: int
    transitions: int
    depth: int
    violation: str | None = None
    path: tuple[ActionT, ...] = ()


class _Node(NamedTuple, Generic[ActionT]):
    """A state that is still to be expanded."""

    state: bytes
    actions: Sequence[ActionT]
    path: tuple[ActionT, ...]


_shared_values: dict[int, object] = {}  # by id; they are kept, so that no id is used again


def encode_state(model: Model[ActionT]) -> bytes:
    """Returns the state as bytes, from which `decode_state` makes a copy."""
    buffer = io.BytesIO()
    pickler = pickle.Pickler(buffer, pickle.HIGHEST_PROTOCOL)
    pickler.fast = True
    pickler.dispatch_table = {type(value): _reduce_shared_value for value in model.shared_values()}
    pickler.dump(model)
    return buffer.getvalue()


def decode_state(state: bytes) -> Model[ActionT]:
    """Returns a copy of the model that was encoded in this process."""
    model: Model[ActionT] = pickle.loads(state)
    return model


def state_key(state: bytes) -> bytes:
    """Returns the digest by which a visited state is known."""
    return blake2b(state, digest_size=KEY_BYTES).digest()


def explore(
    create_model: Callable[[], Model[ActionT]], depth: int, max_states: int = DEFAULT_MAX_STATES
) -> ExplorationResult[ActionT]:
    """Explores from the state that `create_model` returns, up to `depth` actions.

    Stops at the first violation, with the shortest path to it, or once `max_states` were reached; the
    `depth` of the result then says up to where all states were reached.
    """
    initial = create_model()
    initial_state = encode_state(initial)
    visited = {state_key(initial_state)}
    transitions = 0
    frontier: list[_Node[ActionT]] = [_Node(initial_state, initial.actions(), ())]
    for level in range(depth):
        next_frontier: list[_Node[ActionT]] = []
        for node in frontier:
            for action in node.actions:
                model: Model[ActionT] = decode_state(node.state)
                model.apply(action)
                transitions += 1
                path = (*node.path, action)
                violation = model.violation()
                if violation is not None:
                    return ExplorationResult(len(visited), transitions, level, violation, path)
                state = encode_state(model)
                key = state_key(state)
                if key in visited:
                    continue
                visited.add(key)
                next_frontier.append(_Node(state, model.actions(), path))
                if len(visited) >= max_states:
                    return ExplorationResult(len(visited), transitions, level)
        frontier = next_frontier
    return ExplorationResult(len(visited), transitions, depth)


def _reduce_shared_value(value: object) -> tuple[Callable[[int], object], tuple[int]]:
    _shared_values[id(value)] = value
    return _find_shared_value, (id(value),)


def _find_shared_value(key: int) -> object:
    return _shared_values[key]
