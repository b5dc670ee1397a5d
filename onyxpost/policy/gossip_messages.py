"""Reads and writes the messages in which nodes exchange customers' usage."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from onyxpost.core.customer_quota import CustomerQuota
from onyxpost.core.gossip_codec import MessagePacker, decode_message
from onyxpost.core.options import GatewayOptions
from onyxpost.core.sliding_window import SlidingWindowCounter
from onyxpost.core.usage_reports import AddressedEntry, QuotaCorrection
from onyxpost.policy.quotas import QuotaPolicy


class ReceivedCounts(NamedTuple):
    """Count of the messages received from peers."""

    messages: float = 0.0


ONE_MESSAGE = ReceivedCounts(messages=1.0)


class GossipMessenger:
    """Exchanges customers' usage with the other nodes.

    Attributes:
        incarnation: identifies this run of the node to its peers.
        changed: customers with usage that is not yet reported to peers, in the order of their first change.
    """

    # Share of the messages per second that a node can receive. A node that receives at least this share does
    # not send any.
    MAX_RECEIVED_SHARE = 0.7
    MAX_MESSAGE_BYTES = 256  # size limit of one peer message
    RECEIVED_INTERVAL_MS = 250.0  # length of a counting interval; received messages are counted per second
    RECEIVED_INTERVALS = 4  # number of intervals in a second
    # Fraction of the hard limit's burst at this node that is never transferred to peers.
    HARD_LIMIT_RESERVE_FRACTION = 0.5

    def __init__(self, options: GatewayOptions, quotas: QuotaPolicy) -> None:
        self._options = options
        self._quotas = quotas
        self.incarnation = options.incarnation
        self._received = SlidingWindowCounter(
            self.RECEIVED_INTERVAL_MS, self.RECEIVED_INTERVALS, ReceivedCounts
        )
        self._max_received = self.MAX_RECEIVED_SHARE * options.max_peer_messages_per_second
        self.changed: dict[CustomerQuota, None] = {}

    def mark_changed(self, customer: CustomerQuota) -> None:
        """Marks a customer as having usage to report to peers."""
        self.changed[customer] = None

    def receive(self, now: float, peer: int, body: str, on_report: Callable[[CustomerQuota], None]) -> None:
        """Applies a message and calls `on_report` after each report; drops a malformed message as a whole."""
        if (message := decode_message(body, len(self._options.plans))) is None:
            return
        is_counted = not message.reports
        for report in message.reports:
            if not self._quotas.customers.can_hold(report.customer):
                continue
            customer = self._quotas.customers.get(report.customer)
            self._quotas.assign_plan(customer, now, report.placement)
            self._quotas.peer_usage.apply_report(customer, now, peer, message.incarnation, report)
            self.changed[customer] = None
            is_counted = is_counted or not customer.has_coordinator
            on_report(customer)
        if is_counted:  # reports to a coordinator are not counted, as they would defer its corrections
            self._received.add(now, ONE_MESSAGE)
        for correction in message.corrections:
            if not self._quotas.customers.can_hold(correction.customer):
                continue
            customer = self._quotas.customers.get(correction.customer)
            self._quotas.peer_usage.apply_correction(customer, now, peer, correction)

    def send(self, now: float, send: Callable[[int, str], None]) -> None:
        """Sends messages about all changed customers.

        Sends none while this node receives so many messages that peers are probably near their limit, too.
        """
        packer = MessagePacker(self.incarnation, self.MAX_MESSAGE_BYTES, send)
        is_overloaded = self._received.totals(now).messages >= self._max_received
        for customer in [] if is_overloaded else list(self.changed):
            del self.changed[customer]
            for peer, entry in self._entries(customer, now):
                packer.add(peer, entry)
            if customer.units_used != customer.units_reported:
                self.changed[customer] = None
        packer.flush()

    def _entries(self, customer: CustomerQuota, now: float) -> Iterator[AddressedEntry]:
        # In a large set, reports to one peer after the other arrive too late to keep the total within the
        # quota. If the plan has no hard limit, all nodes report their usage to the quota coordinator instead,
        # which sends them corrections.
        if not customer.peers:
            customer.units_reported = customer.units_used
        elif customer.coordinator == self._options.node_index:
            yield from self._corrections(customer, now)
        else:
            yield from self._report(customer, now)

    def _corrections(self, customer: CustomerQuota, now: float) -> Iterator[AddressedEntry]:
        plan = customer.plan
        peer_usage = self._quotas.peer_usage
        customer.units_reported = customer.units_used
        customer.refill(now)
        missing_tokens = plan.burst - customer.quota.tokens
        is_under_pressure = missing_tokens >= self._quotas.LOW_TOKENS_FRACTION * plan.burst > 0.0
        # Corrections are also sent while more than half of the concurrency limit is in use.
        if is_under_pressure or 2 * peer_usage.total_in_flight(customer, now) > plan.concurrency_limit > 0:
            for peer in customer.peers:
                in_flight = peer_usage.total_in_flight(customer, now, peer)
                yield peer, QuotaCorrection(customer.key, int(missing_tokens), in_flight)

    def _report(self, customer: CustomerQuota, now: float) -> Iterator[AddressedEntry]:
        """Yields a report to the coordinator or to the next peer.

        A round of reports ends when each peer has got one; each send reports to one peer.
        """
        peer_position = customer.reported_peer_count % len(customer.peers)
        peer = customer.coordinator if customer.has_coordinator else customer.peers[peer_position]
        new_units = customer.units_used - customer.units_reported
        transferred_units = self._transfer_tokens(customer, now, peer, new_units)
        if not new_units and not transferred_units and not peer_position:
            return
        customer.reported_peer_count = 0 if customer.has_coordinator else peer_position + 1
        if customer.reported_peer_count in (0, len(customer.peers)):
            customer.units_reported = customer.units_used
        yield peer, customer.report(new_units, transferred_units)

    def _transfer_tokens(self, customer: CustomerQuota, now: float, peer: int, own_units: int) -> int:
        """Takes spare hard-limit tokens out of the bucket for a peer with more usage; returns their number.

        They are taken before the report is sent, because only one node may spend them.
        """
        usage = customer.peer_usage.get(peer)
        if not customer.hard_limit.rate or usage is None or usage.recent_units <= own_units:
            return 0
        if now - usage.reported_at > self._quotas.peer_usage.MAX_AGE_MS:
            return 0
        customer.refill(now)
        spare_tokens = max(
            0, int(customer.hard_limit.tokens - self.HARD_LIMIT_RESERVE_FRACTION * customer.hard_limit.burst)
        )
        customer.hard_limit.consume(spare_tokens)
        return spare_tokens
