"""Validation of hellos, and the order of incarnations."""

from typing import Any

import pytest

from onyxpost.cluster import protocol
from onyxpost.cluster.errors import (
    ClusterError,
    MalformedFrameError,
    MemberNameMismatchError,
    ProtocolVersionError,
    StaleIncarnationError,
    UnknownSenderError,
)
from onyxpost.cluster.incarnation import Incarnation
from onyxpost.cluster.membership import Membership
from onyxpost.cluster.protocol import ConnectionOrder

MEMBERSHIP = Membership(1, {"n0": ("a", 1), "n1": ("b", 1)})


def validate_hello(latest: ConnectionOrder | None = None, **changed: Any) -> None:
    """Validates a hello of dial 5 of incarnation 20-a, with some fields changed."""
    fields: dict[str, Any] = {
        "protocol_version": protocol.PROTOCOL_VERSION,
        "sender": "n1",
        "incarnation": "20-a",
        "receiver": "n0",
        "dial_number": 5,
        "membership_version": 1,
    }
    protocol.validate_hello(protocol.Hello(**(fields | changed)), "n0", MEMBERSHIP, latest)


def test_a_first_hello_is_accepted() -> None:
    validate_hello()


def test_a_later_dial_is_accepted() -> None:
    validate_hello(ConnectionOrder(Incarnation(20, "a"), 4))


def test_a_later_incarnation_restarts_the_count_of_dials() -> None:
    """Incarnations are compared by number, as 9 is earlier than 20 but sorts after it as text."""
    validate_hello(ConnectionOrder(Incarnation(9, "z"), 50), dial_number=1)


@pytest.mark.parametrize(
    ("error", "latest", "changed"),
    [
        (ProtocolVersionError, None, {"protocol_version": 2}),
        (UnknownSenderError, None, {"sender": "n7"}),
        (UnknownSenderError, None, {"sender": "n0"}),
        (MemberNameMismatchError, None, {"receiver": "n3"}),
        (StaleIncarnationError, ConnectionOrder(Incarnation(21, "a"), 1), {}),
        (StaleIncarnationError, ConnectionOrder(Incarnation(20, "a"), 5), {}),
        (MalformedFrameError, None, {"incarnation": "x"}),
    ],
)
def test_an_invalid_hello_is_rejected(
    error: type[ClusterError], latest: ConnectionOrder | None, changed: dict[str, Any]
) -> None:
    with pytest.raises(error):
        validate_hello(latest, **changed)


def test_incarnations_are_ordered_by_their_start() -> None:
    assert Incarnation.parse("1000-a") > Incarnation.parse("999-b")
    assert Incarnation.starting_at(1000.7) > Incarnation.starting_at(999.0)
    assert Incarnation.starting_at(1.0) != Incarnation.starting_at(1.0)
