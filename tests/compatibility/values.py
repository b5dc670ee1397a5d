"""The binary protocols, with their messages by the case names of the recorded data.

The messages are built in `*_messages.py`. A rename in the program changes these modules, never the recorded
data.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from onyxpost.cluster import frames
from onyxpost.cluster import protocol as cluster_protocol
from onyxpost.leadership import protocol as leadership_protocol
from onyxpost.planner import protocol as planner_protocol
from onyxpost.rollout.metrics import protocol as counts
from tests.compatibility.cluster_messages import fleet_messages
from tests.compatibility.frame_reading import read_frame
from tests.compatibility.leadership_messages import leadership_messages
from tests.compatibility.metrics_messages import counts_messages
from tests.compatibility.planner_messages import forwarder_messages, planner_messages

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True)
class Protocol:
    """One binary protocol, with the functions by which the program encodes and decodes its messages.

    Attributes:
        messages: messages by case name.
        encode: encodes a message, with its frame if the protocol is framed.
        decode: the reverse of `encode`; raises an error for invalid bytes.
        framed: whether a big-endian length of four bytes stands before each message.
        frame_limit: largest valid length in bytes; 0 if the protocol is not framed.
    """

    messages: dict[str, Any]
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]
    framed: bool = False
    frame_limit: int = 0


def messages_over_the_limit() -> dict[str, Any]:
    """Returns a message that is longer than a frame for each framed protocol."""
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
    """Returns the binary protocols by their names in the recorded data."""
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
