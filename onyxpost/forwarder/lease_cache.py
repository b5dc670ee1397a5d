"""Lease cache of a forwarder: accepts grants, reports the use of leases and returns them.

No I/O and no clock: times are arguments, in milliseconds by the forwarder's clock.
The duration of a lease begins when its *request* is sent, which is before the planner grants it, so it
expires at the forwarder before it expires at the planner. A grant is discarded if it is a duplicate, late or
already revoked, if it comes from another incarnation of its planner, or if it answers no pending request.
"""

from __future__ import annotations

import math
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.cluster.heartbeat_timing import HEARTBEAT_INTERVAL_MS
from onyxpost.core.events import LeaseGranted, LeaseRevoked
from onyxpost.forwarder.cached_lease import NOT_ACCEPTED, CachedLease
from onyxpost.forwarder.lease_requester import LeaseRequester
from onyxpost.forwarder.planner_sessions import PlannerSessions
from onyxpost.forwarder.seen_leases import LeaseKey, SeenLeases
from onyxpost.planner import protocol
from onyxpost.planner.protocol import AddressedMessage

if TYPE_CHECKING:
    from collections.abc import Sequence

EXPIRY_MARGIN_MS = 100.0  # use stops this early, so that requests in flight arrive before the lease ends
# Revoked leases are kept in `SeenLeases` for this many lease durations longer; their grants may still arrive.
REVOCATION_RETENTION_DURATIONS = 4.0


class CacheOutput(NamedTuple):
    """Messages to send to planners, and lease events to pass to the policy."""

    messages: list[AddressedMessage]
    lease_events: list[LeaseGranted | LeaseRevoked]


@dataclass(slots=True)
class CacheCounters:
    """Totals since the start, in units, except for `rejected` and `discarded`, which count messages."""

    granted: int = 0
    spent: int = 0
    returned: int = 0
    rejected: int = 0  # lease requests that a planner rejected
    discarded: int = 0  # grants that were not accepted


class LeaseCache:
    """All leases of one forwarder. `take_output` returns the collected messages and lease events."""

    def __init__(self, forwarder: str, planners: Sequence[str], membership_version: int) -> None:
        self.forwarder = forwarder
        self.sessions = PlannerSessions()
        self.requester = LeaseRequester(self.sessions, planners, membership_version)
        self.leases: dict[int, CachedLease] = {}  # by local id
        self.seen_leases = SeenLeases()
        self.last_local_id = NOT_ACCEPTED
        self.last_heartbeat_at_ms = -math.inf
        self.is_stopping = False
        self.counters = CacheCounters()
        self._messages: list[AddressedMessage] = []
        self._lease_events: list[LeaseGranted | LeaseRevoked] = []

    @property
    def membership_version(self) -> int:
        """The membership version that this forwarder follows."""
        return self.requester.membership_version

    # Events of the policy

    def record_units_spent(self, now_ms: float, customer: int, plan: str, units: int, local_id: int) -> None:
        """Counts units that a client request consumed of a lease.

        With local id 0 the request took them from the safe share, or lacked them.
        """
        self.requester.record_use(now_ms, customer, plan, units)
        lease = self.leases.get(local_id)
        if lease is not None:
            lease.spend(units)
            self.counters.spent += units
        self._request_if_needed(now_ms, customer)

    def return_lease(self, local_id: int, unused_units: int) -> None:
        """Returns a lease that the policy no longer uses to its planner."""
        lease = self.leases.pop(local_id, None)
        if lease is not None:
            self.counters.returned += unused_units
            message = protocol.LeaseReturn(lease.lease_id, max(0, unused_units), lease.epoch)
            self._send_to_granter(lease, message)

    # Events of planners

    def handle_connected(self, now_ms: float, planner: str, welcome: protocol.Welcome) -> None:
        """Handles the welcome of a planner on a new connection."""
        self.sessions.open(now_ms, planner, welcome)
        self.requester.handle_connected(planner)

    def handle_disconnected(self, planner: str) -> None:
        """Handles the end of a planner's connection; its leases may be used until they expire."""
        self.sessions.close(planner)

    def handle_message(self, now_ms: float, planner: str, message: protocol.PlannerMessage) -> None:
        """Handles a message of a connected planner; a welcome is ignored here."""
        self.sessions.on_message_received(now_ms, planner)
        match message:
            case protocol.LeaseGrant():
                self._handle_grant(now_ms, planner, message)
            case protocol.LeaseRejection():
                if self.requester.handle_rejection(now_ms, message):
                    self.counters.rejected += 1
            case protocol.LeaseRevocation():
                self._handle_revocation(now_ms, planner, message)

    def _handle_grant(self, now_ms: float, planner: str, grant: protocol.LeaseGrant) -> None:
        request = self.requester.take_pending_request(grant.request_id)
        expires_at_ms = request.sent_at_ms + self.sessions.lease_duration_ms(planner) - EXPIRY_MARGIN_MS
        is_answer = request.planner == planner and request.customer == grant.customer
        is_current = self.sessions.is_current(planner, grant.epoch)
        is_usable = expires_at_ms > now_ms and grant.units > 0 and not self.is_stopping
        key = LeaseKey(grant.epoch, grant.lease_id)
        if not (is_answer and is_current and is_usable) or key in self.seen_leases:
            self.counters.discarded += 1
            if is_current and key not in self.seen_leases:
                # It is late or its request was dropped, as after a membership change: it is returned unused.
                self.seen_leases.add(now_ms, key, NOT_ACCEPTED)
                self._send(planner, protocol.LeaseReturn(grant.lease_id, grant.units, grant.epoch))
            return
        self.last_local_id += 1
        self.seen_leases.add(now_ms, key, self.last_local_id)
        self.leases[self.last_local_id] = CachedLease.from_grant(planner, grant, expires_at_ms)
        self.counters.granted += grant.units
        self.requester.handle_granted(grant.customer)
        self._lease_events.append(
            LeaseGranted(grant.customer, self.last_local_id, grant.units, expires_at_ms)
        )

    def _handle_revocation(self, now_ms: float, planner: str, revocation: protocol.LeaseRevocation) -> None:
        key = LeaseKey(revocation.epoch, revocation.lease_id)
        local_id = self.seen_leases.local_id(key)
        # Also remembered if the grant has not arrived yet: it may arrive later, on another connection.
        extra_ms = REVOCATION_RETENTION_DURATIONS * self.sessions.lease_duration_ms(planner)
        self.seen_leases.add(now_ms, key, local_id, extra_ms)
        if local_id in self.leases:
            self._lease_events.append(LeaseRevoked(self.leases[local_id].customer, local_id))
        elif local_id == NOT_ACCEPTED and self.sessions.is_current(planner, revocation.epoch):
            self._send(planner, protocol.LeaseReturn(revocation.lease_id, 0, revocation.epoch))

    # Time

    def tick(self, now_ms: float) -> None:
        """Reports use, ends leases, sends heartbeats and requests leases; to be called about every 50 ms."""
        for local_id, lease in self.leases.items():
            self._report_use(lease)
            if lease.expires_at_ms <= now_ms:
                self._lease_events.append(LeaseRevoked(lease.customer, local_id))
        if now_ms - self.last_heartbeat_at_ms >= HEARTBEAT_INTERVAL_MS:
            self.last_heartbeat_at_ms = now_ms
            for planner in self.sessions.epochs:
                self._send(planner, protocol.MembershipHeartbeat(self.membership_version))
        self.requester.drop_old_requests(now_ms)
        self.seen_leases.drop_old(now_ms)
        for customer in self.requester.active_customers(now_ms):
            self._request_if_needed(now_ms, customer)

    def _report_use(self, lease: CachedLease) -> None:
        spent = lease.take_unreported_units()
        if spent:
            self._send_to_granter(lease, protocol.UsageReport(lease.lease_id, spent, lease.epoch))

    def _request_if_needed(self, now_ms: float, customer: int) -> None:
        if self.is_stopping:
            return
        planner = self.requester.find_planner(now_ms, customer)
        if planner is None:
            return
        units_left = sum(
            lease.units_left
            for lease in self.leases.values()
            if lease.customer == customer and lease.expires_at_ms > now_ms
        )
        request = self.requester.request_if_needed(now_ms, customer, planner, units_left)
        if request is not None:
            self._messages.append(request)

    def unresponsive_planners(self, now_ms: float) -> set[str]:
        """Returns the connected planners that did not answer a lease request within `ANSWER_TIMEOUT_MS`.

        Only planners that sent nothing at all in that time are returned.
        """
        return self.requester.unresponsive_planners(now_ms)

    # Membership and shutdown

    def build_hello(self, now_ms: float) -> protocol.Hello:
        """Returns the first message on a new connection, with the leases that this forwarder holds."""
        leases = [
            lease for lease in self.leases.values() if lease.units_left > 0 and lease.expires_at_ms > now_ms
        ]
        reported = [
            protocol.HeldLease(
                lease.customer, lease.plan, lease.units_left, lease.expires_at_ms + EXPIRY_MARGIN_MS - now_ms
            )
            for lease in leases[: protocol.MAX_REPORTED_LEASES]
        ]
        is_complete = len(leases) <= protocol.MAX_REPORTED_LEASES
        return protocol.Hello(
            protocol.PROTOCOL_VERSION, self.forwarder, self.membership_version, reported, is_complete
        )

    def update_membership(self, planners: Sequence[str], membership_version: int) -> None:
        """Follows only a later membership version; removed planners' leases may be used until they expire."""
        if membership_version > self.membership_version:
            self.requester.update_membership(planners, membership_version)
            self.last_heartbeat_at_ms = -math.inf

    def stop(self) -> None:
        """Starts to return all leases, and stops requesting leases; later grants are returned unused."""
        self.is_stopping = True
        for local_id, lease in self.leases.items():
            self._lease_events.append(LeaseRevoked(lease.customer, local_id))

    def has_returned_all(self) -> bool:
        """Returns whether all leases are returned and no lease request is unanswered."""
        return not self.leases and not self.requester.is_awaiting_answer()

    # Output

    def _send_to_granter(self, lease: CachedLease, message: protocol.Message) -> None:
        """Sends a message to the planner if the incarnation that granted the lease is connected."""
        if self.sessions.is_current(lease.planner, lease.epoch):
            self._send(lease.planner, message)

    def _send(self, planner: str, message: protocol.Message) -> None:
        self._messages.append(AddressedMessage(planner, message))

    def take_output(self) -> CacheOutput:
        """Returns and clears the collected messages and lease events."""
        output = CacheOutput(self._messages, self._lease_events)
        self._messages = []
        self._lease_events = []
        return output

    def statistics(self) -> dict[str, int]:
        """Returns counters since the start and current sizes, as fields of a log line."""
        return asdict(self.counters) | {
            "leases": len(self.leases),
            "connected_planners": len(self.sessions.epochs),
        }
