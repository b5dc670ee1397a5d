"""Messages between processes are encoded to the recorded bytes, and the recorded invalid bytes are refused.

Processes of two builds exchange messages during an upgrade. A renamed field or tag would make one build
refuse or misread messages of the other.
"""

from __future__ import annotations

from functools import partial
from hashlib import sha256
from typing import Any

import pytest

from tests.compatibility import (
    cluster_messages,
    gossip_datagrams,
    metrics_messages,
    recorded,
    refusal_kinds,
    values,
)

PROTOCOLS: dict[str, Any] = recorded.load("protocols.json")
HELLOS: dict[str, Any] = recorded.load("hellos.json")
GOSSIP: dict[str, Any] = recorded.load("gossip.json")
CURRENT = values.protocols()
MESSAGES = [(name, case) for name, one in PROTOCOLS.items() for case in one["messages"]]


def test_every_message_is_recorded() -> None:
    """A message without recorded bytes, or bytes without a message, would not be tested."""
    built = {(name, case) for name, protocol in CURRENT.items() for case in protocol.messages}
    assert built == set(MESSAGES)
    assert set(HELLOS) == set(cluster_messages.fleet_hellos())
    assert set(GOSSIP["sent"]) == set(gossip_datagrams.gossip_senders())


@pytest.mark.parametrize(("protocol", "case"), MESSAGES)
def test_message_is_encoded_to_the_recorded_bytes(protocol: str, case: str) -> None:
    """An earlier build can decode the messages of this build."""
    encoded = CURRENT[protocol].encode(CURRENT[protocol].messages[case])
    assert encoded.hex() == PROTOCOLS[protocol]["messages"][case]


@pytest.mark.parametrize(("protocol", "case"), MESSAGES)
def test_recorded_bytes_are_decoded_to_the_message(protocol: str, case: str) -> None:
    """Messages of an earlier build are decoded to the same values."""
    decoded = CURRENT[protocol].decode(bytes.fromhex(PROTOCOLS[protocol]["messages"][case]))
    assert type(decoded) is type(CURRENT[protocol].messages[case])
    assert decoded == CURRENT[protocol].messages[case]


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_recorded_bytes_are_refused(protocol: str) -> None:
    """Each byte string that an earlier build refused is refused with the same kind of error."""
    decode = CURRENT[protocol].decode
    refused = PROTOCOLS[protocol]["refused"]
    refusals = {
        case: refusal_kinds.refusal_of(partial(decode, bytes.fromhex(record["bytes"])))
        for case, record in refused.items()
    }
    assert refusals == {case: record["refusal"] for case, record in refused.items()}


@pytest.mark.parametrize("protocol", sorted(values.messages_over_the_limit()))
def test_message_over_the_limit_is_not_sent(protocol: str) -> None:
    """A message longer than a frame is refused before it is sent."""
    message = values.messages_over_the_limit()[protocol]
    assert refusal_kinds.refusal_of(lambda: CURRENT[protocol].encode(message)) == "too long"


@pytest.mark.parametrize("case", HELLOS)
def test_hello_is_encoded_and_judged_as_recorded(case: str) -> None:
    """The first message of a connection is accepted or refused as in the recorded build."""
    data = CURRENT["fleet"].encode(cluster_messages.fleet_hellos()[case])
    assert data.hex() == HELLOS[case]["bytes"]
    assert cluster_messages.fleet_hello_admission(data) == HELLOS[case]["refusal"]


def test_large_counts_are_split_into_the_recorded_parts() -> None:
    """A snapshot too large for one frame is split into the same parts."""
    parts = [
        {"length": len(part), "sha256": sha256(part).hexdigest()} for part in metrics_messages.split_counts()
    ]
    assert parts == recorded.load("split-counts.json")


@pytest.mark.parametrize("case", GOSSIP["sent"])
def test_gossip_sends_the_recorded_datagrams(case: str) -> None:
    """A node reports the same customers to its peers with the same bytes."""
    assert gossip_datagrams.gossip_datagrams(case) == GOSSIP["sent"][case]


@pytest.mark.parametrize("case", GOSSIP["received"])
def test_gossip_is_received_as_recorded(case: str) -> None:
    """A recorded datagram has the same effect on a node; a datagram that was dropped is still dropped."""
    record = GOSSIP["received"][case]
    assert (
        gossip_datagrams.gossip_received(bytes.fromhex(record["bytes"]), record["peer"]) == record["received"]
    )


def test_incarnations_are_written_and_sorted_as_before() -> None:
    """The order of incarnations decides which start of a node is the later one, also between builds."""
    texts = [
        cluster_messages.incarnation_text(now, token)
        for now, token in ((1700.9, "b"), (1700.0, "a"), (99.0, "z"))
    ]
    assert texts == ["1700-b", "1700-a", "99-z"]
    assert sorted(texts, key=cluster_messages.parse_incarnation()) == ["99-z", "1700-a", "1700-b"]
