"""Hard cases of one role on the pure state machines."""

from collections.abc import Callable

import pytest

from onyxpost.leadership import protocol
from onyxpost.leadership.ballots import Ballot
from onyxpost.leadership.effects import Diagnostic, SendMessage
from onyxpost.leadership.errors import MalformedMessageError, NotLeaderError, RecordTooLongError
from onyxpost.leadership.protocol import Prepare, Reject, RejectReason, StatusQuery, StatusReply
from onyxpost.simulation.model_checking.leadership_model import DUTY, EPOCH, TERMS, DutyWorld, Flying
from tests.leadership.world import STEP_MS, deliver_all, drop, leader_of, run_for, token_of


def settled_world(**options: int) -> DutyWorld:
    """A world that c0 leads, with a committed record."""
    world = DutyWorld(**options).settle()
    assert world.seats["c0"].leader is not None
    return world


def test_a_leader_stopped_past_its_lease_cannot_write_and_its_late_call_is_rejected() -> None:
    world = settled_world()
    world.make(("act", "c0"))
    first_token = world.fence
    run_for(world, 3 * TERMS.lease_ms, lambda: world.make(("run", "c1", "")))  # nothing reaches c0
    assert leader_of(world) == "c1"
    with pytest.raises(NotLeaderError):
        world.seats["c0"].write(world.at("c0"), b"late")
    world.make(("act", "c1"))
    for token in (world.fence, first_token):
        world.hand(Flying("c", "taker", b"%d" % token))
    assert world.taken == [world.fence]
    assert world.refused == 1


def test_a_minority_of_acceptors_restarted_without_state_does_not_unseat_the_leader() -> None:
    world = settled_world(voters=5, restarts=2)
    for name in ("v0", "v3"):
        world.restart(name)
    run_for(world, 4 * TERMS.lease_ms, lambda: deliver_all(world))
    assert leader_of(world) == "c0"
    assert all(acceptor.is_voting for acceptor in world.voters.values())
    assert {acceptor.record.body for acceptor in world.voters.values()} == {world.confirmed[1]}


def test_after_a_restart_of_all_acceptors_the_record_is_lost_and_tokens_grow() -> None:
    world = settled_world(restarts=3)
    for name in world.voters:
        world.restart(name)
    before = world.fence
    run_for(world, 8 * TERMS.lease_ms, lambda: deliver_all(world))
    leader = next(participant.leader for participant in world.seats.values() if participant.leader)
    assert leader.fencing_token > before
    assert leader.record_epoch_ms > before
    assert leader.record.body == b""


def test_a_leader_that_hears_nobody_resigns_before_another_leads() -> None:
    world = settled_world()

    def nothing_reaches_c0() -> None:
        drop(world, lambda message: message.to == "c0")
        world.make(("hear", "c0"))
        world.make(("run", "c1", ""))

    run_for(world, 4 * TERMS.lease_ms, nothing_reaches_c0)
    assert leader_of(world) == "c1"


def test_a_leader_that_nobody_hears_resigns_before_another_leads() -> None:
    world = settled_world()

    def nothing_comes_from_c0() -> None:
        drop(world, lambda message: message.sender == "c0")
        world.make(("run", "c1", ""))

    run_for(world, 4 * TERMS.lease_ms, nothing_comes_from_c0)
    assert leader_of(world) == "c1"


@pytest.mark.parametrize(
    "is_lost",
    [
        pytest.param(lambda message: message.to == "c1", id="hears nobody"),
        pytest.param(lambda message: message.sender == "c1", id="is heard by nobody"),
    ],
)
def test_a_candidate_connected_one_way_unseats_nobody(is_lost: Callable[[Flying], bool]) -> None:
    world = settled_world()

    def one_way() -> None:
        drop(world, is_lost)
        world.make(("hear", "c1"))
        world.make(("run", "c0", ""))

    token = world.fence
    run_for(world, 4 * TERMS.lease_ms, one_way)
    assert leader_of(world) == "c0"
    assert world.fence == token


def test_a_partition_whose_sides_share_one_acceptor_keeps_one_leader() -> None:
    world = settled_world()

    def partitioned() -> None:
        drop(world, lambda m: {"c0", "v2"} <= {m.sender, m.to} or {"c1", "v0"} <= {m.sender, m.to})
        deliver_all(world)

    token = world.fence
    run_for(world, 6 * TERMS.lease_ms, partitioned)
    assert leader_of(world) == "c0"
    assert world.fence == token


def test_candidates_in_lock_step_elect_one() -> None:
    world = DutyWorld(seats=4)
    ticks = 0
    while leader_of(world) is None and ticks < 60:
        ticks += 1
        world.tick(STEP_MS)
        for name in world.seats:  # the messages of all arrive, then the answers to all
            world.make(("hear", name))
        for name in world.seats:
            world.make(("answer", name))
    assert ticks < 40
    assert world.broken() is None


def test_late_and_repeated_replies_to_an_earlier_ballot_change_nothing() -> None:
    world = settled_world()
    world.make(("tick", TERMS.renew_interval_ms))
    world.make(("hear", "c0"))
    late = list(world.flying)
    world.flying = []
    run_for(world, 3 * TERMS.lease_ms, lambda: world.make(("run", "c1", "")))
    token = world.fence
    leader = world.seats["c1"].leader
    for message in late * 2:
        world.hand(message)
    assert leader_of(world) == "c1"
    assert world.fence == token
    assert world.seats["c1"].leader is leader
    assert world.broken() is None


def test_a_write_accepted_as_the_lease_ends_is_read_by_the_next_leader() -> None:
    world = settled_world()
    world.make(("write", "c0"))
    world.make(("hear", "c0"))
    answers = list(world.flying)
    world.flying = []
    run_for(world, 3 * TERMS.lease_ms, lambda: world.make(("run", "c1", "")))
    for message in answers:
        world.hand(message)  # too late to commit anything
    leader = world.seats["c1"].leader
    assert leader is not None
    assert (leader.record.sequence, leader.record.body) == (2, b"c0 1")
    assert world.confirmed == (1, b"c0 0")


def test_a_restarted_acceptor_recovers_only_after_its_silence() -> None:
    """c0's write was accepted by v0 alone, which restarts; v1 accepts it late: both commit it."""
    world = settled_world()
    world.make(("write", "c0"))
    to_v1 = next(message for message in world.flying if message.to == "v1")
    world.hand(next(message for message in world.flying if message.to == "v0"))
    world.flying = [message for message in world.flying if message.to == "c0"]
    world.restart("v0")
    world.tick(STEP_MS)
    assert not world.voters["v0"].is_voting
    world.hand(to_v1)
    world.make(("answer", "c0"))
    assert world.confirmed[0] == 2
    run_for(world, 3 * TERMS.lease_ms, lambda: None)
    assert world.voters["v0"].record.sequence == 2


def test_a_leader_that_resigns_is_followed_at_once_and_does_not_lead_again() -> None:
    world = settled_world()
    world.carry("c0", world.seats["c0"].resign(world.at("c0"), "leaving"))
    world.make(("hear", "c0"))
    world.tick(1.0)
    world.make(("run", "c1", ""))
    world.tick(TERMS.rank_delay_ms * 2.0)
    world.make(("run", "c1", ""))
    assert leader_of(world) == "c1"
    run_for(world, 4 * TERMS.lease_ms, lambda: deliver_all(world))
    assert leader_of(world) == "c1"


def test_a_ballot_of_a_clock_far_ahead_or_in_another_name_is_rejected() -> None:
    world = settled_world()
    acceptor = world.voters["v0"]
    now_ms = world.at("v0") + 5 * TERMS.lease_ms
    prepare = Prepare(role=DUTY, version=1, ballot=Ballot(int(now_ms) + 10**6, "c1", 1))
    answer = acceptor.handle(now_ms, "c1", prepare)[0]
    assert isinstance(answer, SendMessage)
    assert isinstance(answer.message, Reject)
    assert answer.message.reason is RejectReason.CLOCK_AHEAD
    assert isinstance(acceptor.handle(now_ms, "c0", prepare)[0], Diagnostic)


def test_an_implausible_ballot_number_does_not_lead_the_next_ballot() -> None:
    candidate = DutyWorld().seats["c0"].candidate
    candidate.query_status(EPOCH)
    reply = StatusReply(
        role=DUTY,
        version=1,
        queried_at_ms=int(EPOCH),
        is_voting=True,
        remaining_ms=0.0,
        leader="",
        highest_ballot=2**53 - 1,
    )
    candidate.handle(EPOCH, "v0", reply)
    assert candidate.status_poll.replies == {"v0": reply}
    assert candidate.ballot_numbers.highest_known < EPOCH + TERMS.lease_ms


def test_a_record_that_is_too_long_is_refused() -> None:
    world = settled_world()
    with pytest.raises(RecordTooLongError):
        world.seats["c0"].write(world.at("c0"), bytes(65537))
    assert token_of(world, "c0") is not None


COMPLETE = protocol.encode(StatusQuery(role=DUTY, version=1, queried_at_ms=1))


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff", id="no map"),
        pytest.param(COMPLETE[:-1], id="truncated"),
        pytest.param(b"\x80" * 70000, id="too long"),
        pytest.param(COMPLETE.replace(b"look", b"lock"), id="unknown tag"),
    ],
)
def test_a_malformed_message_is_refused(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        protocol.decode(data, "n1")
