"""The mapping between the program's Python names and the neutral names of the recorded data.

It and `meanings` (for files) are the only modules of these tests that import the program: a rename changes
them alone. Recorded data (`data/`) never changes. Builders give the value of each recorded message by its
neutral case name; renderers turn what was decoded into plain JSON with neutral keys.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec

from onyxpost import cli
from onyxpost.cluster import errors as cluster_errors
from onyxpost.cluster import frames
from onyxpost.cluster import protocol as cluster_protocol
from onyxpost.cluster.incarnation import Incarnation
from onyxpost.cluster.membership import Membership
from onyxpost.core import types
from onyxpost.core.customer_quota import CustomerQuota
from onyxpost.core.customer_table import CustomerTable
from onyxpost.core.options import GatewayOptions
from onyxpost.core.usage_reports import Placement, UsageReport
from onyxpost.edge.messages import decode_datagram, encode_datagram
from onyxpost.leadership import errors as leadership_errors
from onyxpost.leadership import protocol as leadership_protocol
from onyxpost.leadership.ballots import Ballot
from onyxpost.planner import protocol as planner_protocol
from onyxpost.policy.peer_usage import PeerUsageAccounting
from onyxpost.policy.quota_gossip import QuotaGossip
from onyxpost.policy.quotas import QuotaPolicy
from onyxpost.rollout.metrics import protocol as counts
from onyxpost.simulation.errors import InvalidResultsError, SimulationFileError
from onyxpost.simulation.multiprocess.errors import InvalidScenarioError

JSON = Any
JsonObject = dict[str, Any]
Decode = Callable[[bytes], Any]

COMMAND_LINE = cli.main

# --- refusals ---------------------------------------------------------------------------------------------

MALFORMED = "malformed"
# The first type that matches names the refusal.
REFUSALS: dict[type[Exception], str] = {
    cluster_errors.MalformedFrameError: MALFORMED,
    leadership_errors.MalformedMessageError: MALFORMED,
    msgspec.DecodeError: MALFORMED,
    EOFError: "end of stream",
    cluster_errors.FrameTooLongError: "too long",
    cluster_errors.ProtocolVersionError: "other protocol version",
    cluster_errors.UnknownSenderError: "unknown sender",
    cluster_errors.MemberNameMismatchError: "other receiver",
    cluster_errors.StaleIncarnationError: "earlier incarnation",
    leadership_errors.AcceptorLogError: "damaged file",
    InvalidResultsError: "unusable results",
    SimulationFileError: "unreadable file",
    InvalidScenarioError: "unusable script",
}


def refusal(error: Exception) -> str:
    """The neutral name of a refusal; an error that is none is raised again."""
    for kind, name in REFUSALS.items():
        if isinstance(error, kind):
            return name
    raise error


def refusal_of(call: Callable[[], Any]) -> str | None:
    """The neutral name of the refusal that the call ends with, or None where it returns."""
    try:
        call()
    except Exception as error:
        return refusal(error)
    return None


# --- protocols --------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Protocol:
    """One binary protocol: its messages by neutral case name, and how the program encodes and decodes them.

    `framed`: a big-endian length of four bytes stands before each message.
    """

    messages: dict[str, Any]
    encode: Callable[[Any], bytes]
    decode: Decode
    framed: bool = False
    frame_limit: int = 0


def read_frame(read: Callable[[asyncio.StreamReader], Awaitable[Any]], data: bytes) -> Any:
    """What the program reads from a connection on which `data` comes before it ends."""

    async def run() -> Any:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        return await read(reader)

    return asyncio.run(run())


NUMBER_LIMIT = 2**53 - 1


def fleet_messages() -> dict[str, Any]:
    """Messages between two instances of the fleet."""
    hello = cluster_protocol.Hello(
        protocol_version=1,
        sender="n1",
        incarnation="1700000000000-ab12",
        receiver="n0",
        dial_number=3,
        membership_version=7,
    )
    return {
        "hello": hello,
        "hello, largest numbers": msgspec.structs.replace(
            hello,
            protocol_version=NUMBER_LIMIT,
            dial_number=NUMBER_LIMIT,
            membership_version=NUMBER_LIMIT,
            sender="é" * 64,
        ),
        "ping": cluster_protocol.Ping(number=0),
        "ping, larger number": cluster_protocol.Ping(number=70_000),
        "pong": cluster_protocol.Pong(number=70_000),
        "payload, empty": cluster_protocol.Payload(topic="duties", body=b""),
        "payload": cluster_protocol.Payload(
            topic="t" * cluster_protocol.MAX_TOPIC_CHARS, body=bytes(range(256))
        ),
        "payload, a duty message": cluster_protocol.Payload(
            topic=leadership_protocol.TOPIC, body=leadership_protocol.encode(status_query())
        ),
    }


def fleet_hello_admission(data: bytes) -> str | None:
    """How node n0 of a membership of n0 and n1 judges a hello, having seen n1's dial 3 of its life."""
    hello = read_frame(cluster_protocol.read_message, data)
    membership = Membership(7, {"n0": ("127.0.0.1", 7100), "n1": ("127.0.0.1", 7101)})
    last = cluster_protocol.ConnectionOrder(Incarnation.parse("1700000000000-ab12"), 3)
    return refusal_of(lambda: cluster_protocol.validate_hello(hello, "n0", membership, last))


def fleet_hellos() -> dict[str, Any]:
    """First messages of a connection, to be judged by `fleet_hello_admission`."""
    good = cluster_protocol.Hello(
        protocol_version=1,
        sender="n1",
        incarnation="1700000000000-ab12",
        receiver="n0",
        dial_number=4,
        membership_version=7,
    )
    change = partial(msgspec.structs.replace, good)
    return {
        "a later dial": good,
        "a later life, first dial": change(incarnation="1700000000001-aa", dial_number=1),
        "other protocol": change(protocol_version=2),
        "unknown name": change(sender="n9"),
        "the receiver's own name": change(sender="n0"),
        "meant for another": change(receiver="n2"),
        "the same dial again": change(dial_number=3),
        "an earlier life": change(incarnation="1699999999999-ff", dial_number=9),
        "a life without a token": change(incarnation="1700000000000"),
        "a life without a number": change(incarnation="x-ab12"),
    }


def parse_incarnation() -> Callable[[str], tuple[int, str]]:
    """The function that sorts incarnations by their start."""
    return Incarnation.parse


def incarnation_text(now: float, token: str) -> str:
    """The text of an incarnation that begins at `now`."""
    return str(Incarnation(int(now), token))


BALLOT = Ballot(number=1_700_000_000_123, node="n1", incarnation=4)
RECORD = leadership_protocol.Record(
    ballot_number=1_700_000_000_100, sequence=9, fencing_token=1_700_000_000_050, body=b"\x00state\xff"
)
EMPTY_RECORD = leadership_protocol.Record()


def status_query() -> Any:
    """The message that asks whether a lease is free."""
    return leadership_protocol.StatusQuery(role="rollout", version=2, queried_at_ms=11)


def rejection(reason: Any) -> Any:
    """A voter's refusal for one reason."""
    return leadership_protocol.Reject(
        role="rollout",
        version=2,
        ballot=BALLOT,
        round_id=3,
        reason=leadership_protocol.RejectReason(reason),
        highest_ballot=1_700_000_000_999,
    )


REFUSAL_REASONS = ("promised", "busy", "lacks", "silent", "ahead", "version", "lease")


def leadership_messages() -> dict[str, Any]:
    """Messages between the nodes that elect holders of duties."""
    seen = leadership_protocol.StatusReply(
        role="rollout",
        version=2,
        queried_at_ms=11,
        is_voting=True,
        remaining_ms=0.0,
        leader="",
        highest_ballot=0,
    )
    accept = leadership_protocol.Accept(
        role="rollout",
        version=2,
        ballot=BALLOT,
        round_id=3,
        lease_ms=2000.0,
        sequence=9,
        settled_version=1,
        record_epoch_ms=8,
        record=RECORD,
    )
    recovery_reply = leadership_protocol.RecoveryReply(
        role="rollout",
        version=2,
        queried_at_ms=11,
        is_voting=True,
        record=RECORD,
        record_epoch_ms=8,
        settled_version=2,
    )
    release = leadership_protocol.Release(role="rollout", version=2, ballot=BALLOT, was_leader=True)
    return {
        "look": status_query(),
        "seen, free": seen,
        "seen, held": msgspec.structs.replace(
            seen, remaining_ms=1250.5, leader="n2", highest_ballot=1_700_000_000_123
        ),
        "seen, does not vote": msgspec.structs.replace(seen, is_voting=False),
        "prepare": leadership_protocol.Prepare(role="rollout", version=2, ballot=BALLOT),
        "promise": leadership_protocol.Promise(
            role="rollout", version=2, ballot=BALLOT, record=RECORD, record_epoch_ms=8
        ),
        "promise, empty record": leadership_protocol.Promise(
            role="rollout", version=2, ballot=BALLOT, record=EMPTY_RECORD, record_epoch_ms=0
        ),
        "accept, with record": accept,
        "accept, without record": msgspec.structs.replace(accept, record=None),
        "accepted": leadership_protocol.Accepted(
            role="rollout", version=2, ballot=BALLOT, round_id=3, sequence=9
        ),
        **{f"refuse, {reason}": rejection(reason) for reason in REFUSAL_REASONS},
        "release, held": release,
        "release, not held": msgspec.structs.replace(release, was_leader=False),
        "learn": leadership_protocol.RecoveryQuery(role="rollout", version=2, queried_at_ms=11),
        "told": recovery_reply,
        "told, does not vote": msgspec.structs.replace(recovery_reply, is_voting=False, record=EMPTY_RECORD),
    }


def forwarder_messages() -> dict[str, Any]:
    """Messages from forwarders to planners."""
    holding = planner_protocol.HeldLease(customer=17, plan="team", units=40, remaining_ms=812.25)
    hello = planner_protocol.Hello(protocol=1, forwarder="f0", membership_version=3)
    return {
        "hello, defaults": hello,
        "hello, holdings": msgspec.structs.replace(hello, held_leases=[holding, holding]),
        "hello, partial holdings": msgspec.structs.replace(hello, held_leases=[holding], is_complete=False),
        "follow": planner_protocol.MembershipHeartbeat(membership_version=3),
        "ask": planner_protocol.LeaseRequest(
            request_id=5, customer=17, plan="team", units=40, min_units=2, membership_version=3
        ),
        "used": planner_protocol.UsageReport(lease_id=88, units=12, epoch="e-1"),
        "back": planner_protocol.LeaseReturn(lease_id=88, unused_units=28, epoch="e-1"),
    }


def planner_messages() -> dict[str, Any]:
    """Messages from planners to forwarders."""
    return {
        "welcome": planner_protocol.Welcome(
            protocol=1, planner="p0", epoch="e-1", membership_version=3, lease_duration_ms=2000.0
        ),
        "grant": planner_protocol.LeaseGrant(
            request_id=5, lease_id=88, customer=17, plan="team", units=40, epoch="e-1"
        ),
        "refuse": planner_protocol.LeaseRejection(
            request_id=5, customer=17, retry_after_ms=125.5, reason="none left"
        ),
        "refuse, no reason": planner_protocol.LeaseRejection(
            request_id=5, customer=17, retry_after_ms=0.0, reason=""
        ),
        "withdraw": planner_protocol.LeaseRevocation(lease_id=88, epoch="e-1"),
    }


def counts_messages() -> dict[str, Any]:
    """Snapshots of a node's counts on a version on trial."""
    tally = counts.RequestCounters(
        requests=100,
        succeeded=80,
        rejected_by_quota=5,
        rejected_by_capacity=4,
        rejected_by_load_shedding=3,
        aborted=2,
        failed_attempts=9,
        late=7,
        latencies={12: 50, 200: 30},
    )
    entry = counts.StratumCounters(
        frontend="lookup", plan="team", candidate=tally, control=counts.RequestCounters()
    )
    other = counts.StratumCounters(
        frontend=counts.OTHER, plan=counts.OTHER, candidate=counts.RequestCounters(requests=1), control=tally
    )
    snapshot = counts.MetricsSnapshot(
        node="n1", incarnation=4, clock_ms=1500.5, version="v2", zone="a", strata=[entry, other]
    )
    return {
        "counts": snapshot,
        "counts, no entry": msgspec.structs.replace(snapshot, strata=[]),
        "counts, one entry": msgspec.structs.replace(snapshot, strata=[entry]),
    }


def split_counts() -> list[bytes]:
    """A snapshot too large for one frame, in the parts that are sent."""
    tally = counts.RequestCounters(requests=2**52, succeeded=2**51, latencies={k: 2**50 for k in range(64)})
    entries = [counts.StratumCounters(f"frontend-{i}", "p" * 64, tally, tally) for i in range(60)]
    snapshot = counts.MetricsSnapshot(
        node="n1", incarnation=4, clock_ms=1.0, version="v2", zone="a", strata=entries
    )
    return [msgspec.msgpack.encode(part) for part in counts.split(snapshot)]


def messages_over_the_limit() -> dict[str, Any]:
    """For each framed protocol a message that is longer than a frame."""
    holding = planner_protocol.HeldLease(customer=17, plan="p" * 64, units=40, remaining_ms=812.25)
    return {
        "fleet": cluster_protocol.Payload(topic="duties", body=bytes(frames.MAX_FRAME_BYTES)),
        "forwarder to planner": planner_protocol.Hello(
            protocol=1, forwarder="f0", membership_version=3, held_leases=[holding] * 1000
        ),
        "planner to forwarder": planner_protocol.LeaseRejection(
            request_id=5, customer=17, retry_after_ms=0.0, reason="w" * planner_protocol.FRAME_LIMIT_BYTES
        ),
    }


def protocols() -> dict[str, Protocol]:
    """Each binary protocol by its neutral name."""
    return {
        "fleet": Protocol(
            fleet_messages(),
            frames.encode_frame,
            partial(read_frame, cluster_protocol.read_message),
            True,
            frames.MAX_FRAME_BYTES,
        ),
        "duties": Protocol(leadership_messages(), leadership_protocol.encode, leadership_protocol.decode),
        "forwarder to planner": Protocol(
            forwarder_messages(),
            planner_protocol.encode_frame,
            partial(read_frame, planner_protocol.read_forwarder_message),
            True,
            planner_protocol.FRAME_LIMIT_BYTES,
        ),
        "planner to forwarder": Protocol(
            planner_messages(),
            planner_protocol.encode_frame,
            partial(read_frame, planner_protocol.read_planner_message),
            True,
            planner_protocol.FRAME_LIMIT_BYTES,
        ),
        "counts": Protocol(
            counts_messages(),
            msgspec.msgpack.Encoder().encode,
            msgspec.msgpack.Decoder(counts.MetricsSnapshot).decode,
        ),
    }


# --- gossip datagrams between edge nodes ------------------------------------------------------------------

INCARNATION = "19c4f"
PLAN = types.Plan(
    name="team",
    rate=20.0,
    burst=60.0,
    concurrency_limit=4,
    priority_factor=1.0,
    hard_limit_rate=30.0,
    hard_limit_burst=80.0,
)
FREE_PLAN = types.Plan("free", 20.0, 60.0, 4, 1.0, 0.0, 0.0)


GOSSIP_OPTIONS = GatewayOptions(
    seed=0,
    node_index=0,
    node_count=10,
    tick_ms=0.0,
    frontends=[],
    plans=[PLAN, FREE_PLAN],
    slow_start=types.SlowStartPolicy(1.0, 0.0, 1.0, 1.0),
    limits=types.GatewayLimits(1, True, True, True, 0.0, 1000.0),
)


def quota_policy(customers: dict[int, CustomerQuota]) -> QuotaPolicy:
    """A node's quotas for its customers."""
    table = CustomerTable(0.0)
    table.by_key = customers
    return QuotaPolicy(GOSSIP_OPTIONS, table)


def gossip(customers: dict[int, CustomerQuota]) -> QuotaGossip:
    """A node's gossip over its customers, none of them reported yet."""
    exchange = QuotaGossip(GOSSIP_OPTIONS, quota_policy(customers))
    exchange.incarnation = INCARNATION
    for one in customers.values():
        exchange.changed[one] = None
    return exchange


def customer_of(key: int, plan_index: int, set_size: int, units: int) -> CustomerQuota:
    """A customer of node 0 that `units` were sent on for."""
    made = CustomerQuota(key, 0.0)
    quota_policy({}).assign_plan(made, 0.0, Placement(plan_index, 0, set_size))
    made.consume(units, 0)
    made.in_flight = min(units, 2)
    return made


def report_to(customer: CustomerQuota, peer: int, units: int, in_flight: int) -> None:
    """Applies a first report of a peer."""
    report = UsageReport(customer.key, units, in_flight, units, 0, Placement(0, 0, 0))
    PeerUsageAccounting().apply_report(customer, 0.0, peer, "19c00", report)


def gossip_senders() -> dict[str, dict[int, CustomerQuota]]:
    """Customers of a node that it has to tell its peers about, by case."""
    giver = customer_of(0xABC, 0, 2, 3)
    report_to(giver, 1, 50, 1)
    giver.hard_limit.tokens = 40.0
    coordinator_customer = customer_of(0x10, 1, 8, 45)
    report_to(coordinator_customer, 3, 7, 2)
    return {
        "a count": {0x1F: customer_of(0x1F, 0, 3, 5)},
        "a count, with units given": {0xABC: giver},
        "a count to the keeper": {0x11: customer_of(0x11, 1, 8, 30)},
        "corrections of the keeper": {0x10: coordinator_customer},
        "several customers": {key: customer_of(key, 0, 2, key % 7 + 1) for key in (1, 2, 0x1FFFFFFFF)},
        "more customers than one datagram holds": {
            key: customer_of(key, 0, 2, key % 7 + 1) for key in range(0xFFFF00, 0xFFFF14)
        },
        "nothing to tell": {},
    }


def gossip_datagrams(case: str) -> list[list[Any]]:
    """What a node sends in one round: pairs of a peer's number and a datagram in hexadecimal digits."""
    sent: list[list[Any]] = []
    gossip(gossip_senders()[case]).send(
        0.0, lambda peer, body: sent.append([peer, encode_datagram(body).hex()])
    )
    return sent


def gossip_received(data: bytes, peer: int | None) -> JsonObject | None:
    """What a node makes of a datagram; None: it is from a stranger or no text."""
    datagram = decode_datagram(data, peer)
    if datagram is None:
        return None
    customers: dict[int, CustomerQuota] = {}
    receiver = gossip(customers)
    receiver.receive(0.0, datagram.peer, datagram.body, lambda customer: None)
    return {"peer": datagram.peer, "customers": [customer_from_peers(one) for one in customers.values()]}


def customer_from_peers(customer: CustomerQuota) -> JsonObject:
    """What is held of a customer of which only peers have told."""
    usage_by_peer = {
        str(peer): {
            "incarnation": usage.incarnation,
            "count": usage.units_used,
            "open": usage.in_flight,
            "recent": usage.recent_units,
        }
        for peer, usage in customer.peer_usage.items()
    }
    placement = customer.placement
    return {
        "customer": customer.key,
        "plan": customer.plan.name,
        "position": "" if placement is None else ":".join(f"{field:x}" for field in placement),
        "tokens": round(customer.quota.tokens, 6),
        "ceiling tokens": round(customer.hard_limit.tokens, 6),
        "peers": customer.peers,
        "keeper": customer.coordinator,
        "heard": usage_by_peer,
    }
