"""The messages in which nodes exchange customers' usage."""

from __future__ import annotations

from zlib import crc32

from onyxpost.core.customer_name import key_of_name
from onyxpost.core.events import PeerMessageReceived
from onyxpost.core.types import AttemptResult, Plan
from tests.policy.gateway_host import Host, kinds

PLAN = Plan("p", 2.0, 12.0, 0, 1.0, 0.0, 0.0)


def test_a_repeated_report_counts_once() -> None:
    host = Host(plan=PLAN, node_index=0)
    peer = Host(plan=PLAN, node_index=1)
    for each in (host, peer):
        each.arrive(1)
        each.run(10000.0)
    peer.arrive(6)
    reports = [d for d in peer.run(1500.0) if d[0] == "message" and d[1] == 0]
    (customer,) = host.gateway.state.customers.by_key.values()
    customer.refill(host.now)
    tokens = customer.quota.tokens
    for _ in range(2):
        host.handle(PeerMessageReceived(1, reports[0][2]))
    assert customer.quota.tokens == tokens - 6  # units that are not new were used and refilled long ago


def test_a_peer_that_has_forgotten_a_customer_gives_no_units_back() -> None:
    host = Host()
    crc = f"{key_of_name('c'):x}"
    host.handle(PeerMessageReceived(1, f"a {crc}:64:0:64:0:0:0:3"))
    (customer,) = host.gateway.state.customers.by_key.values()
    tokens = customer.quota.tokens
    host.handle(PeerMessageReceived(1, f"a {crc}:5:0:5:0:0:0:3"))
    assert customer.quota.tokens == tokens - 5
    host.handle(PeerMessageReceived(1, f"a {crc}:8:0:2:0:0:0:3"))
    # A report that arrives out of order is corrected by the next one.
    host.handle(PeerMessageReceived(1, f"a {crc}:7:0:1:0:0:0:3"))
    host.handle(PeerMessageReceived(1, f"a {crc}:8:0:2:0:0:0:3"))
    assert customer.quota.tokens == tokens - 8


def test_in_a_large_set_a_coordinator_receives_all_reports_and_sends_corrections() -> None:
    plan = Plan("p", 1.0, 20.0, 0, 1.0, 0.0, 0.0)
    coordinator_index = crc32(b"c") % 12
    coordinator, member, other = (
        Host(plan=plan, node_index=(coordinator_index + i) % 12, node_count=12) for i in range(3)
    )
    for host in (coordinator, member, other):
        host.run(20000.0)
    for _ in range(2):
        member.end(member.arrive(8, set_size=12)[0][1], AttemptResult.OK)
    reports = [d for d in member.run(500.0) if d[0] == "message"]
    assert {d[1] for d in reports} == {coordinator_index}
    for _, _, body in reports:
        coordinator.handle(PeerMessageReceived(member.gateway.state.options.node_index, body))
    corrections = [
        d
        for d in coordinator.run(500.0)
        if d[0] == "message" and d[1] == other.gateway.state.options.node_index
    ]
    other.handle(PeerMessageReceived(coordinator_index, corrections[-1][2]))
    assert kinds(other.arrive(6, set_size=12)) == ["reject"]
    assert ["attempt"] in [kinds(other.arrive(3, set_size=12)) for _ in range(9)]


def test_a_large_set_that_runs_short_admits_at_random() -> None:
    host = Host(
        plan=Plan("p", 0.001, 400.0, 0, 1.0, 0.0, 0.0), node_index=(crc32(b"c") + 1) % 12, node_count=12
    )
    host.arrive(set_size=12)
    admitted = []
    for missing_tokens in (100, 300):  # the burst is 400
        host.handle(PeerMessageReceived(crc32(b"c") % 12, f"1 {key_of_name('c'):x}:{missing_tokens:x}:0"))
        admitted.append(0)
        for _ in range(8):
            ((decision, request_id, *_),) = host.arrive(set_size=12)
            admitted[-1] += decision == "attempt"
            host.end(request_id, AttemptResult.OK)
    assert admitted[0] == 8
    assert admitted[1] in range(1, 8)


def test_no_message_is_sent_while_as_many_are_received_as_peers_can_take() -> None:
    host = Host(peer_messages_per_second=40.0)
    for _ in range(40):
        host.handle(PeerMessageReceived(1, "1 ab:1:0:1:0:0:0:3"))
    host.arrive()
    assert "message" not in kinds(host.run(200.0))
    assert "message" in kinds(host.run(2000.0))


def test_a_malformed_message_is_dropped() -> None:
    host = Host()
    for body in ("", "x", "1 2:3", "1 zz:1:0", "1 a:1:0 b", "1 a:1:0:1:0:7:0:3"):
        assert host.handle(PeerMessageReceived(1, body)) == []
    assert host.gateway.state.customers.by_key == {}
    host.handle(PeerMessageReceived(1, "1 a:1:0:1:0:0:0:fffff"))  # a set size above the number of nodes
    assert len(host.gateway.state.customers.by_key[10].peers) < 3
