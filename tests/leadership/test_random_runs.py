"""Random runs of one role with hypothesis; messages are delayed, repeated and lost."""

from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from onyxpost.leadership.acceptor import Acceptor
from onyxpost.leadership.participant import Participant
from onyxpost.simulation.model_checking.actions import (
    CallResource,
    DeliverDuplicate,
    DeliverMessage,
    DeliverReplies,
    DeliverRequests,
    Exchange,
    RestartAcceptor,
    Tick,
    WriteRecord,
)
from onyxpost.simulation.model_checking.initial_states import elect_leader
from onyxpost.simulation.model_checking.leadership_model import TIMING, LeadershipModel
from onyxpost.simulation.model_checking.messages import RESOURCE
from tests.leadership.mutants import AcceptorWithoutRestartWait, ParticipantWithoutRecord

RUN_SETTINGS = settings(
    max_examples=25,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
    print_blob=False,
)
SEED = 1  # a fixed seed keeps the runs independent of the names and the text of this file
RUNS = 30
MUTANT_RUNS = 200
ACCEPTORS = [f"v{index}" for index in range(5)]
CANDIDATES = [f"c{index}" for index in range(3)]
TICKS_MS = [
    TIMING.rank_delay_ms,
    TIMING.renew_interval_ms,
    TIMING.lease_ms / 2.0,
    TIMING.acceptor_lease_ms,
]


class ModelWithoutFencing(LeadershipModel):
    checks_fencing_tokens = False


class RandomRun(RuleBasedStateMachine):
    model_type: type[LeadershipModel] = LeadershipModel
    acceptor_type: type[Acceptor] = Acceptor
    participant_type: type[Participant] = Participant
    restarts = 6

    def __init__(self) -> None:
        super().__init__()
        node_types = {"acceptor_type": self.acceptor_type, "participant_type": self.participant_type}
        mutated_type = type("MutatedModel", (self.model_type,), node_types)
        self.model = elect_leader(mutated_type(5, 3, self.restarts))

    @rule(duration_ms=st.sampled_from(TICKS_MS))
    def tick(self, duration_ms: float) -> None:
        self.model.apply(Tick(duration_ms))

    @rule(action=st.sampled_from([DeliverRequests, DeliverReplies]), candidate=st.sampled_from(CANDIDATES))
    def half_a_round(self, action: type[DeliverRequests | DeliverReplies], candidate: str) -> None:
        self.model.apply(action(candidate))

    @rule(candidate=st.sampled_from(CANDIDATES), unreachable=st.sampled_from(["", *ACCEPTORS]))
    def rounds(self, candidate: str, unreachable: str) -> None:
        self.model.apply(Exchange(candidate, unreachable))

    @rule(candidate=st.sampled_from(CANDIDATES))
    def only_one_connected(self, candidate: str) -> None:
        """Delivers no messages of other candidates for three lease durations."""
        for _ in range(12):
            self.model.apply(Tick(TIMING.renew_interval_ms))
            self.model.apply(Exchange(candidate))

    @precondition(lambda self: self.model.in_flight)
    @rule(action=st.sampled_from([DeliverMessage, DeliverDuplicate]), at=st.integers(0, 1000))
    def one_message(self, action: type[DeliverMessage | DeliverDuplicate], at: int) -> None:
        self.model.apply(action(at % len(self.model.in_flight)))

    @precondition(lambda self: self.model.restarts_left)
    @rule(acceptor=st.sampled_from(ACCEPTORS))
    def restart(self, acceptor: str) -> None:
        self.model.apply(RestartAcceptor(acceptor))

    @rule(action=st.sampled_from([WriteRecord, CallResource]))
    def act_as_leader(self, action: type[WriteRecord | CallResource]) -> None:
        for name in self.model.participants:
            if self.model.fencing_token(name) is not None:
                self.model.apply(action(name))

    @rule(last=st.booleans())
    def call_arrives(self, last: bool) -> None:
        calls = [index for index, message in enumerate(self.model.in_flight) if message.recipient == RESOURCE]
        if calls:
            self.model.apply(DeliverDuplicate(calls[-last]))

    @invariant()
    def no_invariant_is_violated(self) -> None:
        assert self.model.violation() is None, self.model.history.violation


def run_randomly(examples: int, **attributes: Any) -> None:
    machine = seed(SEED)(type("RandomRun", (RandomRun,), attributes))
    run_state_machine_as_test(machine, settings=settings(RUN_SETTINGS, max_examples=examples))


def test_no_random_run_violates_an_invariant() -> None:
    run_randomly(RUNS)


@pytest.mark.parametrize(
    ("attributes", "violation"),
    [
        pytest.param(
            {"acceptor_type": AcceptorWithoutRestartWait, "restarts": 40},
            "hold|lost|granted",
            id="acceptor votes immediately after a restart",
        ),
        pytest.param(
            {"participant_type": ParticipantWithoutRecord}, "lost", id="record of the promises ignored"
        ),
        pytest.param({"model_type": ModelWithoutFencing}, "call with token", id="fencing token not checked"),
    ],
)
def test_finds_the_violation_of_a_mutant(attributes: dict[str, Any], violation: str) -> None:
    with pytest.raises(AssertionError, match=violation):
        run_randomly(MUTANT_RUNS, **attributes)
