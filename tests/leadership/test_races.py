"""Shutdowns, changes of acceptors, lost leases and failing disks that coincide with messages in flight."""

import asyncio
from unittest import mock

import pytest

from onyxpost.leadership import protocol
from onyxpost.leadership.acceptor import Acceptor
from onyxpost.leadership.acceptor_set import AcceptorSet
from onyxpost.leadership.acceptor_state import AcceptorState
from onyxpost.leadership.ballots import NO_BALLOT, Ballot
from onyxpost.leadership.candidate import Phase
from onyxpost.leadership.effects import (
    DiagnosticKind,
    Effect,
    LeadershipAcquired,
    LeadershipChange,
    LeadershipLost,
    PersistState,
    RecordCommitted,
    SendMessage,
)
from onyxpost.leadership.election import ElectionWon
from onyxpost.leadership.errors import AcceptorLogError
from onyxpost.leadership.leader import Leader
from onyxpost.leadership.protocol import (
    EMPTY_RECORD,
    Accept,
    Accepted,
    Prepare,
    RecoveryQuery,
    Reject,
    RejectReason,
    Release,
    StatusQuery,
)
from onyxpost.leadership.role_lease_timing import RoleLeaseTiming
from onyxpost.simulation import virtual_time
from onyxpost.simulation.model_checking.virtual_cluster import VirtualCluster
from tests.leadership.cluster import run_cluster

ROLE = "d0"
ACCEPTORS = AcceptorSet(1, ("n0", "n1", "n2"))
LEASE_MS = RoleLeaseTiming().lease_ms


@pytest.mark.parametrize("phase", [Phase.PREPARING, Phase.ACCEPTING])
def test_a_candidate_that_leaves_before_its_replies_arrive_is_succeeded_immediately(phase: Phase) -> None:
    """The acceptors may have granted its ballot a lease, which the leaving node must release.

    Otherwise the role has no leader until the lease ends.
    """

    async def scenario(cluster: VirtualCluster) -> None:
        await cluster.kill(cluster.leaders_of(ROLE)[0])
        participants = {
            name: node.leadership.registry.participants[ROLE] for name, node in cluster.nodes.items()
        }
        in_phase: list[str] = []
        while not in_phase:
            await asyncio.sleep(0.0001)
            in_phase = [name for name, one in participants.items() if one.candidate.phase is phase]
        await asyncio.sleep(0.002)  # its requests are in flight, and no reply has arrived
        assert participants[in_phase[0]].candidate.phase is phase
        await cluster.terminate(in_phase[0])
        left_at_ms = cluster.now_ms()
        await cluster.wait_for_leader(ROLE)
        assert cluster.now_ms() - left_at_ms < 250.0

    run_cluster(scenario)


def test_messages_of_another_acceptor_set_cause_one_log_line_and_change_nothing() -> None:
    """Such messages arrive while nodes reload a file with other acceptors one after another."""

    async def scenario(cluster: VirtualCluster) -> None:
        service = cluster.nodes["n00"].leadership
        before = service.registry.fencing_tokens(service.transport.clock())
        for role in cluster.config.roles:
            for message in (
                StatusQuery(role=role, version=2, queried_at_ms=1),
                Release(role=role, version=3, ballot=NO_BALLOT, is_resignation=True),
                RecoveryQuery(role=role, version=4, queried_at_ms=1),
            ):
                service.handle_message("n01", protocol.encode(message))
        assert service.registry.fencing_tokens(service.transport.clock()) == before
        logs = [log.event for log in cluster.logs if log.node == "n00"]
        (dropped,) = [log.fields for log in logs if log.event == DiagnosticKind.MESSAGE_DROPPED.value]
        assert dropped["reason"] == "acceptor set version 2 from n01, expected 1"

    run_cluster(scenario, roles=20)


def test_an_accept_that_arrives_after_its_release_is_rejected() -> None:
    """Messages change their order if the connection is replaced between them.

    An accepted request would grant the released lease again, with no node that leads the role.
    """
    ballot = Ballot(900_000, "n1", 1)
    acceptor = Acceptor(0.0, "n0", "d", RoleLeaseTiming(), ACCEPTORS)
    acceptor.is_voting = True
    now_ms = 1_000_000.0
    acceptor.handle(now_ms, "n1", Prepare(role="d", version=1, ballot=ballot))
    acceptor.handle(now_ms, "n1", Release(role="d", version=1, ballot=ballot, is_resignation=True))
    accept = Accept(
        role="d",
        version=1,
        ballot=ballot,
        round_id=1,
        lease_ms=2000.0,
        sequence=0,
        committed_set_version=0,
        record_epoch_ms=0,
        record=EMPTY_RECORD,
    )
    (reply,) = acceptor.handle(now_ms, "n1", accept)
    assert isinstance(reply, SendMessage)
    assert isinstance(reply.message, Reject)
    assert reply.message.reason is RejectReason.HIGHER_PROMISE
    assert acceptor.lease.ends_at_ms <= now_ms


def test_an_exception_of_a_listener_stops_neither_the_timer_nor_the_election() -> None:
    def fail(change: LeadershipChange) -> None:
        raise ZeroDivisionError(change)

    async def main() -> None:
        cluster = VirtualCluster(1, 5)
        await cluster.start()
        await asyncio.sleep(5.0)
        leader = cluster.leaders_of(ROLE)[0]
        service = cluster.nodes[leader].leadership
        service.subscribe(ROLE, fail)
        cluster.isolate(leader)
        await cluster.wait_for_leader(ROLE, other_than=leader)
        cluster.blocked_links.clear()
        await asyncio.sleep(1.0)
        assert service.tasks
        assert "fault" in [log.event.event for log in cluster.logs if log.node == leader]
        await cluster.close()

    virtual_time.run(main())


def test_a_lease_lost_in_the_step_in_which_the_disk_fails_is_reported() -> None:
    """Effects after a failed write are dropped, but a listener must not miss that its lease was lost."""

    async def main() -> None:
        cluster = VirtualCluster(1, 3)
        await cluster.start()
        service = cluster.nodes["n00"].leadership
        changes: list[LeadershipChange] = []
        service.subscribe(ROLE, changes.append)
        acceptor_log = mock.Mock()
        acceptor_log.append.side_effect = AcceptorLogError("the disk is full", "file")
        service.acceptor_log = acceptor_log
        service.effect_runner.acceptor_log = acceptor_log
        service.effect_runner.apply(
            [
                PersistState(AcceptorState("other", 1, NO_BALLOT, EMPTY_RECORD, 0, 0)),
                LeadershipAcquired(ROLE, 5, EMPTY_RECORD, 0),
                LeadershipLost(ROLE, 4, "over"),
                SendMessage("n01", StatusQuery(role=ROLE, version=1, queried_at_ms=7)),
            ]
        )
        assert changes == [LeadershipLost(ROLE, 4, "over")]
        assert service.counters.sent + service.counters.send_failed == 0
        await cluster.close()

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("last_reply_at_ms", "is_committed"),
    [(LEASE_MS - 1.0, True), (LEASE_MS, False), (LEASE_MS + 1.0, False)],
)
def test_a_write_whose_last_reply_comes_at_the_end_of_the_lease_is_not_committed(
    last_reply_at_ms: float, is_committed: bool
) -> None:
    """An acceptor that restarts without state relies on this: its restart wait is longer than a lease."""
    ballot = Ballot(5, "n0", 1)
    election = ElectionWon(ballot, EMPTY_RECORD, 0, 0.0, frozenset(("n0", "n1")))
    leader = Leader("d", RoleLeaseTiming(), ACCEPTORS, election)
    (request, *_) = leader.write(0.0, b"x")
    assert isinstance(request, SendMessage)
    assert isinstance(request.message, Accept)
    effects: list[Effect] = []
    for sender, now_ms in (("n0", 1.0), ("n1", last_reply_at_ms)):
        reply = Accepted(role="d", version=1, ballot=ballot, round_id=request.message.round_id, sequence=1)
        effects += leader.handle(now_ms, sender, reply)
    committed = [effect for effect in effects if isinstance(effect, RecordCommitted)]
    assert committed == [RecordCommitted("d", 5, 1)] * is_committed
    assert any(isinstance(effect, LeadershipLost) for effect in effects) is not is_committed
    assert leader.holds_lease(last_reply_at_ms) is is_committed
