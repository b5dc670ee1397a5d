"""The entries of messages in which nodes report customers' usage to each other."""

from __future__ import annotations

from typing import NamedTuple

NO_NODE = -1  # stands for "none" in place of a node index


class Placement(NamedTuple):
    """A customer's plan, by its index, and its nodes: `set_size` nodes from `first_node_index` on."""

    plan_index: int
    first_node_index: int
    set_size: int

    def members(self, node_count: int) -> list[int]:
        """Returns the nodes of the set; a set size above `node_count`, a peer's error, is reduced to it."""
        size = min(self.set_size, node_count)
        return [(self.first_node_index + index) % node_count for index in range(size)]

    def peers_of(self, node_index: int, node_count: int) -> list[int]:
        """Returns the nodes of the set other than `node_index`."""
        return [node for node in self.members(node_count) if node != node_index]

    def member_for_hash(self, value: int, node_count: int) -> int:
        """Returns the node of the set that a hash selects, such as a customer's coordinator."""
        return (self.first_node_index + value % self.set_size) % node_count


class PeerUsageReport(NamedTuple):
    """One node's usage of one customer's quota.

    Attributes:
        customer: the customer's key.
        units_used: units used by the sender's incarnation since its start.
        in_flight: the sender's attempts in flight.
        new_units: the part of `units_used` that is new since the sender's last round of reports.
        transferred_units: hard-limit tokens that the sender transfers to the receiver.
        placement: the customer's plan and nodes.
    """

    customer: int
    units_used: int
    in_flight: int
    new_units: int
    transferred_units: int
    placement: Placement


class QuotaCorrection(NamedTuple):
    """The quota coordinator's count of one customer's usage at all nodes.

    Attributes:
        customer: the customer's key.
        missing_tokens: tokens that are missing from a full bucket.
        in_flight: attempts in flight at all nodes except the receiver.
    """

    customer: int
    missing_tokens: int
    in_flight: int


AddressedEntry = tuple[int, PeerUsageReport | QuotaCorrection]  # the peer's node index and the entry for it
