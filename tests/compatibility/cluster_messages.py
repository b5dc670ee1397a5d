"""Messages between the nodes of a cluster, by the case names of the recorded data."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from onyxpost.cluster import protocol as cluster_protocol
from onyxpost.cluster.incarnation import Incarnation
from onyxpost.cluster.membership import Membership
from onyxpost.leadership import protocol as leadership_protocol
from tests.compatibility.frame_reading import read_frame
from tests.compatibility.leadership_messages import status_query
from tests.compatibility.refusal_kinds import refusal_of

if TYPE_CHECKING:
    from collections.abc import Callable

NUMBER_LIMIT = 2**53 - 1


def fleet_messages() -> dict[str, Any]:
    """Returns messages that two nodes exchange, by case; the recorded data calls the cluster `fleet`."""
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
    """Returns how node n0 refuses a hello, or None if n0 accepts it.

    The members are n0 and n1. n0 has already accepted connection 3 of the current incarnation of n1.
    """
    hello = read_frame(cluster_protocol.read_message, data)
    membership = Membership(7, {"n0": ("127.0.0.1", 7100), "n1": ("127.0.0.1", 7101)})
    last = cluster_protocol.ConnectionOrder(Incarnation.parse("1700000000000-ab12"), 3)
    return refusal_of(lambda: cluster_protocol.validate_hello(hello, "n0", membership, last))


def fleet_hellos() -> dict[str, Any]:
    """Returns first messages of a connection, by case; `fleet_hello_admission` validates them."""
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
    """Returns the function that parses the text of an incarnation; its results sort by start time."""
    return Incarnation.parse


def incarnation_text(now: float, token: str) -> str:
    """Returns the text of an incarnation that starts at `now`, whose fraction is dropped."""
    return str(Incarnation(int(now), token))
