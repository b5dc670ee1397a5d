"""The messages in flight between the nodes of the leadership model."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.simulation.model_checking.actions import DeliverCall, DeliverDuplicate, DeliverMessage

if TYPE_CHECKING:
    from collections.abc import Iterator

    from onyxpost.simulation.model_checking.actions import Action

MAX_MESSAGES_IN_FLIGHT = 60
RESOURCE = "taker"  # the fenced resource's name as a recipient, which recorded runs contain


class MessageInFlight(NamedTuple):
    """A message that was sent. The body of a call to the resource is its fencing token in decimal digits."""

    sender: str
    recipient: str
    body: bytes

    def involves(self, name: str) -> bool:
        """Whether `name` is the sender or the recipient of the message."""
        return name in (self.sender, self.recipient)


def add_message(in_flight: list[MessageInFlight], message: MessageInFlight, lost_index: int) -> None:
    """Adds a message in sorted order, unless an equal one is in flight.

    If `MAX_MESSAGES_IN_FLIGHT` is exceeded, the message at `lost_index`, modulo the limit, is removed.
    """
    if message in in_flight:
        return
    insort(in_flight, message)
    if len(in_flight) > MAX_MESSAGES_IN_FLIGHT:
        del in_flight[lost_index % MAX_MESSAGES_IN_FLIGHT]


def single_deliveries(in_flight: list[MessageInFlight]) -> Iterator[Action]:
    """Yields the actions that deliver a single message, in the order of the messages."""
    for index, message in enumerate(in_flight):
        if message.recipient == RESOURCE:
            yield DeliverCall(index)
        else:
            yield DeliverMessage(index)
            yield DeliverDuplicate(index)
