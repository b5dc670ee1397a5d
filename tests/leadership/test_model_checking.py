"""Explores all orders of actions in small models of one role up to a depth; known bugs must be found."""

import pytest

from onyxpost.simulation.model_checking.actions import (
    Action,
    CallResource,
    DeliverCall,
    DeliverReplies,
    DeliverRequests,
    Exchange,
    RestartAcceptor,
    Tick,
    WriteRecord,
)
from onyxpost.simulation.model_checking.explorer import ExplorationResult, explore
from onyxpost.simulation.model_checking.initial_states import elect_leader
from onyxpost.simulation.model_checking.leadership_model import TIMING, LeadershipModel
from tests.leadership.mutants import (
    AcceptorWithoutRecovery,
    AcceptorWithoutRestartWait,
    ParticipantCountingFromReply,
    ParticipantWithoutRecord,
)

HALF_LEASE_MS = TIMING.lease_ms / 2.0
MAX_STATES = 20_000

ActionType = type[Action]


class LimitedModel(LeadershipModel):
    """A model with fewer actions, so that the exploration reaches the depth at which a mutant is found."""

    unreachable_acceptors: tuple[str, ...] = ("", "v1")
    action_types: tuple[ActionType, ...] = (Tick, Exchange, DeliverRequests, RestartAcceptor, WriteRecord)

    def actions(self) -> list[Action]:
        return [
            action
            for action in super().actions()
            if type(action) in self.action_types
            and (
                not isinstance(action, Exchange) or action.unreachable_acceptor in self.unreachable_acceptors
            )
        ]


def explore_mutant(depth: int, *first_actions: Action, **attributes: object) -> ExplorationResult[Action]:
    """Explores a model with a leader and a committed record, after `first_actions`.

    `attributes` replace those of `LimitedModel`.
    """
    kind = type("MutatedModel", (LimitedModel,), attributes)
    kind.__module__ = __name__  # the class is pickled by its name
    kind.__qualname__ = "MutatedModel"
    globals()["MutatedModel"] = kind

    def start() -> LeadershipModel:
        model: LeadershipModel = elect_leader(kind())
        for action in first_actions:
            model.apply(action)
        return model

    return explore(start, depth, MAX_STATES)


def test_no_order_of_single_messages_violates_an_invariant_to_depth_3() -> None:
    result = explore(lambda: elect_leader(LeadershipModel()), 3)
    assert result.violation is None
    assert result.depth == 3
    assert result.states > 500


def test_no_order_of_exchanges_violates_an_invariant_to_depth_4() -> None:
    result = explore_mutant(4)
    assert result.violation is None
    assert result.depth == 4
    assert result.states > 500


def test_finds_an_acceptor_that_votes_immediately_after_a_restart() -> None:
    result = explore_mutant(
        6,
        acceptor_type=AcceptorWithoutRestartWait,
        action_types=(Tick, Exchange, RestartAcceptor),
        unreachable_acceptors=("",),
    )
    assert result.violation is not None, result


@pytest.mark.parametrize(
    ("depth", "first_actions", "attributes", "violation"),
    [
        pytest.param(
            5,
            [WriteRecord("c0"), Exchange("c0", "v2"), RestartAcceptor("v0")],
            {"acceptor_type": AcceptorWithoutRecovery, "action_types": (Tick, Exchange)},
            "lost",
            id="acceptor votes without recovery",
        ),
        pytest.param(
            6,
            [Tick(HALF_LEASE_MS), DeliverRequests("c0"), Tick(HALF_LEASE_MS), DeliverReplies("c0")],
            {
                "participant_type": ParticipantCountingFromReply,
                "action_types": (Tick, Exchange),
                "unreachable_acceptors": ("",),
                "tick_durations_ms": (TIMING.renew_interval_ms,),
            },
            "both hold",
            id="lease counted from the reply",
        ),
        pytest.param(
            6,
            [],
            {"participant_type": ParticipantWithoutRecord, "action_types": (Tick, Exchange)},
            "lost",
            id="record of the promises ignored",
        ),
        pytest.param(
            6,
            [CallResource("c0"), Tick(TIMING.acceptor_lease_ms)],
            {"checks_fencing_tokens": False, "action_types": (Tick, Exchange, CallResource, DeliverCall)},
            "call with token",
            id="fencing token not checked",
        ),
    ],
)
def test_finds_the_violation_of_a_mutant(
    depth: int, first_actions: list[Action], attributes: dict[str, object], violation: str
) -> None:
    result = explore_mutant(depth, *first_actions, **attributes)
    assert violation in (result.violation or ""), result
