"""Fault scenarios of one role with the pure state machines."""

from collections.abc import Callable

import pytest

from onyxpost.leadership.ballots import Ballot
from onyxpost.leadership.effects import Diagnostic, SendMessage
from onyxpost.leadership.errors import NotLeaderError, RecordTooLongError
from onyxpost.leadership.protocol import Prepare, Reject, RejectReason, StatusReply
from onyxpost.simulation.model_checking.actions import (
    CallResource,
    DeliverReplies,
    DeliverRequests,
    Exchange,
    Tick,
    WriteRecord,
)
from onyxpost.simulation.model_checking.initial_states import elect_leader
from onyxpost.simulation.model_checking.leadership_model import (
    EPOCH_MS,
    ROLE,
    TIMING,
    LeadershipModel,
)
from onyxpost.simulation.model_checking.messages import RESOURCE, MessageInFlight
from tests.leadership.model_steps import STEP_MS, deliver_all, drop, leader_of, run_for, token_of


def settled_model(acceptors: int = 3, restarts: int = 2) -> LeadershipModel:
    """A model that c0 leads, with a committed record."""
    model = elect_leader(LeadershipModel(acceptors, restarts=restarts))
    assert model.participants["c0"].leader is not None
    return model


def test_a_leader_paused_past_its_lease_cannot_write_and_its_late_call_is_rejected() -> None:
    model = settled_model()
    model.apply(CallResource("c0"))
    first_token = model.history.latest_token
    run_for(model, 3 * TIMING.lease_ms, lambda: model.apply(Exchange("c1")))  # c0 receives no messages
    assert leader_of(model) == "c1"
    with pytest.raises(NotLeaderError):
        model.participants["c0"].write(model.clock_ms("c0"), b"late")
    model.apply(CallResource("c1"))
    for token in (model.history.latest_token, first_token):
        model.deliver(MessageInFlight("c", RESOURCE, b"%d" % token))
    assert model.history.accepted_tokens == [model.history.latest_token]
    assert model.history.rejected_calls == 1


def test_a_leader_stays_when_a_minority_of_acceptors_restarts_without_state() -> None:
    model = settled_model(acceptors=5, restarts=2)
    for name in ("v0", "v3"):
        model.restart_acceptor(name)
    run_for(model, 4 * TIMING.lease_ms, lambda: deliver_all(model))
    assert leader_of(model) == "c0"
    assert all(acceptor.is_voting for acceptor in model.acceptors.values())
    assert {acceptor.record.body for acceptor in model.acceptors.values()} == {model.history.committed[1]}


def test_after_a_restart_of_all_acceptors_the_record_is_lost_and_tokens_increase() -> None:
    model = settled_model(restarts=3)
    for name in model.acceptors:
        model.restart_acceptor(name)
    before = model.history.latest_token
    run_for(model, 8 * TIMING.lease_ms, lambda: deliver_all(model))
    leader = next(participant.leader for participant in model.participants.values() if participant.leader)
    assert leader.fencing_token > before
    assert leader.record_epoch_ms > before
    assert leader.record.body == b""


def test_a_leader_that_receives_no_messages_resigns_before_another_leads() -> None:
    model = settled_model()

    def lose_messages_to_c0() -> None:
        drop(model, lambda message: message.recipient == "c0")
        model.apply(DeliverRequests("c0"))
        model.apply(Exchange("c1"))

    run_for(model, 4 * TIMING.lease_ms, lose_messages_to_c0)
    assert leader_of(model) == "c1"


def test_a_leader_whose_messages_are_lost_resigns_before_another_leads() -> None:
    model = settled_model()

    def lose_messages_from_c0() -> None:
        drop(model, lambda message: message.sender == "c0")
        model.apply(Exchange("c1"))

    run_for(model, 4 * TIMING.lease_ms, lose_messages_from_c0)
    assert leader_of(model) == "c1"


@pytest.mark.parametrize(
    "is_lost",
    [
        pytest.param(lambda message: message.recipient == "c1", id="receives nothing"),
        pytest.param(lambda message: message.sender == "c1", id="its messages are lost"),
    ],
)
def test_a_candidate_connected_one_way_does_not_replace_the_leader(
    is_lost: Callable[[MessageInFlight], bool],
) -> None:
    model = settled_model()

    def lose_one_direction() -> None:
        drop(model, is_lost)
        model.apply(DeliverRequests("c1"))
        model.apply(Exchange("c0"))

    token = model.history.latest_token
    run_for(model, 4 * TIMING.lease_ms, lose_one_direction)
    assert leader_of(model) == "c0"
    assert model.history.latest_token == token


def test_a_partition_whose_sides_share_one_acceptor_keeps_one_leader() -> None:
    model = settled_model()

    def deliver_within_sides() -> None:
        drop(
            model,
            lambda message: (
                {"c0", "v2"} <= {message.sender, message.recipient}
                or {"c1", "v0"} <= {message.sender, message.recipient}
            ),
        )
        deliver_all(model)

    token = model.history.latest_token
    run_for(model, 6 * TIMING.lease_ms, deliver_within_sides)
    assert leader_of(model) == "c0"
    assert model.history.latest_token == token


def test_candidates_that_always_act_at_the_same_time_elect_one_leader() -> None:
    model = LeadershipModel(candidates=4)
    ticks = 0
    while leader_of(model) is None and ticks < 60:
        ticks += 1
        model.tick(STEP_MS)
        for name in model.participants:  # all requests arrive, then the replies to all of them
            model.apply(DeliverRequests(name))
        for name in model.participants:
            model.apply(DeliverReplies(name))
    assert ticks < 40
    assert model.violation() is None


def test_late_and_repeated_replies_to_an_earlier_ballot_change_nothing() -> None:
    model = settled_model()
    model.apply(Tick(TIMING.renew_interval_ms))
    model.apply(DeliverRequests("c0"))
    late_replies = list(model.in_flight)
    model.in_flight = []
    run_for(model, 3 * TIMING.lease_ms, lambda: model.apply(Exchange("c1")))
    token = model.history.latest_token
    leader = model.participants["c1"].leader
    for message in late_replies * 2:
        model.deliver(message)
    assert leader_of(model) == "c1"
    assert model.history.latest_token == token
    assert model.participants["c1"].leader is leader
    assert model.violation() is None


def test_a_write_accepted_as_the_lease_ends_is_read_by_the_next_leader() -> None:
    model = settled_model()
    model.apply(WriteRecord("c0"))
    model.apply(DeliverRequests("c0"))
    replies = list(model.in_flight)
    model.in_flight = []
    run_for(model, 3 * TIMING.lease_ms, lambda: model.apply(Exchange("c1")))
    for message in replies:
        model.deliver(message)  # too late to commit the write
    leader = model.participants["c1"].leader
    assert leader is not None
    assert (leader.record.sequence, leader.record.body) == (2, b"c0 1")
    assert model.history.committed == (1, b"c0 0")


def test_a_restarted_acceptor_recovers_only_after_its_restart_wait() -> None:
    """A reply sent before the restart may still commit a write that the other acceptors do not have yet.

    v0 accepts a write of c0 and restarts without state. If it recovered at once, it would not learn the
    write, which v1 accepts afterwards and which the replies of v0 and v1 commit.
    """
    model = settled_model()
    model.apply(WriteRecord("c0"))
    to_v1 = next(message for message in model.in_flight if message.recipient == "v1")
    model.deliver(next(message for message in model.in_flight if message.recipient == "v0"))
    model.in_flight = [message for message in model.in_flight if message.recipient == "c0"]
    model.restart_acceptor("v0")
    model.tick(STEP_MS)
    assert not model.acceptors["v0"].is_voting
    model.deliver(to_v1)
    model.apply(DeliverReplies("c0"))
    assert model.history.committed[0] == 2
    run_for(model, 3 * TIMING.lease_ms, lambda: None)
    assert model.acceptors["v0"].record.sequence == 2


def test_a_leader_that_resigns_is_succeeded_immediately_and_does_not_lead_again() -> None:
    model = settled_model()
    model.run_effects("c0", model.participants["c0"].resign(model.clock_ms("c0"), "leaving"))
    model.apply(DeliverRequests("c0"))
    model.tick(1.0)
    model.apply(Exchange("c1"))
    model.tick(TIMING.rank_delay_ms * 2.0)
    model.apply(Exchange("c1"))
    assert leader_of(model) == "c1"
    run_for(model, 4 * TIMING.lease_ms, lambda: deliver_all(model))
    assert leader_of(model) == "c1"


def test_a_ballot_of_a_clock_far_ahead_or_of_another_node_is_rejected() -> None:
    model = settled_model()
    acceptor = model.acceptors["v0"]
    now_ms = model.clock_ms("v0") + 5 * TIMING.lease_ms
    prepare = Prepare(role=ROLE, version=1, ballot=Ballot(int(now_ms) + 10**6, "c1", 1))
    reply = acceptor.handle(now_ms, "c1", prepare)[0]
    assert isinstance(reply, SendMessage)
    assert isinstance(reply.message, Reject)
    assert reply.message.reason is RejectReason.CLOCK_AHEAD
    assert isinstance(acceptor.handle(now_ms, "c0", prepare)[0], Diagnostic)


def test_an_implausible_ballot_number_does_not_raise_the_next_ballot() -> None:
    candidate = LeadershipModel().participants["c0"].candidate
    candidate.query_status(EPOCH_MS)
    reply = StatusReply(
        role=ROLE,
        version=1,
        queried_at_ms=int(EPOCH_MS),
        is_voting=True,
        remaining_ms=0.0,
        leader="",
        highest_ballot=2**53 - 1,
    )
    candidate.handle(EPOCH_MS, "v0", reply)
    assert candidate.status_poll.replies == {"v0": reply}
    assert candidate.ballot_numbers.highest_known < EPOCH_MS + TIMING.lease_ms


def test_a_record_that_is_too_long_is_rejected() -> None:
    model = settled_model()
    with pytest.raises(RecordTooLongError):
        model.participants["c0"].write(model.clock_ms("c0"), bytes(65537))
    assert token_of(model, "c0") is not None
