"""Encodes and decodes the messages in which nodes report customers' usage to each other.

A message consists of the sender's incarnation and entries, separated by spaces. An entry consists of
hexadecimal numbers, separated by colons: eight for a report, three for a correction.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.core.usage_reports import PeerUsageReport, Placement, QuotaCorrection

if TYPE_CHECKING:
    from collections.abc import Callable


class GossipMessage(NamedTuple):
    """A decoded message from a peer; `incarnation` identifies the sender's run."""

    incarnation: str
    reports: list[PeerUsageReport]
    corrections: list[QuotaCorrection]


REPORT_FIELDS = 8
CORRECTION_FIELDS = 3


def decode_message(body: str, plan_count: int) -> GossipMessage | None:
    """Returns the decoded message, or None if an entry is malformed or its plan does not exist.

    Negative plan indexes down to `-plan_count` are accepted and count from the end of the list of plans.
    """
    incarnation, *entries = body.split(" ")
    message = GossipMessage(incarnation, [], [])
    for entry in entries:
        try:
            fields = [int(field, 16) for field in entry.split(":")]
        except ValueError:
            return None
        if len(fields) == REPORT_FIELDS:
            customer, units_used, in_flight, new_units, transferred_units, *placement_fields = fields
            placement = Placement(*placement_fields)
            if not -plan_count <= placement.plan_index < plan_count:
                return None
            report = PeerUsageReport(customer, units_used, in_flight, new_units, transferred_units, placement)
            message.reports.append(report)
        elif len(fields) == CORRECTION_FIELDS:
            message.corrections.append(QuotaCorrection(*fields))
        else:
            return None
    return message


def encode_entry(entry: PeerUsageReport | QuotaCorrection) -> str:
    """Returns the text of a report or correction."""
    fields = (*entry[:-1], *entry.placement) if isinstance(entry, PeerUsageReport) else entry
    return ":".join(f"{field:x}" for field in fields)


class MessagePacker:
    """Collects entries per peer into messages of limited size and sends each message that is full.

    Args:
        incarnation: the sender's incarnation, which starts each message.
        max_bytes: size limit of a message.
        send: called with a peer's node index and a message.
    """

    def __init__(self, incarnation: str, max_bytes: int, send: Callable[[int, str], None]) -> None:
        self._incarnation = incarnation
        self._max_bytes = max_bytes
        self._send = send
        self._bodies: dict[int, str] = {}

    def add(self, peer: int, entry: PeerUsageReport | QuotaCorrection) -> None:
        """Adds an entry to the peer's message; sends the message first if the entry does not fit."""
        text = encode_entry(entry)
        if len(self._bodies.get(peer, "")) + 1 + len(text) > self._max_bytes:
            self._send(peer, self._bodies.pop(peer))
        self._bodies[peer] = f"{self._bodies.get(peer, self._incarnation)} {text}"

    def flush(self) -> None:
        """Sends all messages that have not been sent yet."""
        for peer, body in self._bodies.items():
            self._send(peer, body)
