"""State machine of a planner: handles messages of forwarders, lease recovery and configuration changes.

No I/O and no clock: times are arguments, in milliseconds, and messages to send are returned.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from onyxpost.cluster.errors import MalformedFrameError
from onyxpost.errors import StaleVersionError
from onyxpost.planner import protocol
from onyxpost.planner.customer_assignment import planner_for_customer
from onyxpost.planner.errors import RestartRequiredError
from onyxpost.planner.lease_ledger import LeaseLedger, Rejection, ReportedLease
from onyxpost.planner.protocol import AddressedMessage
from onyxpost.planner.quorum import HEARTBEAT_VALIDITY_MS, PlannerQuorum

if TYPE_CHECKING:
    from onyxpost.planner.config import PlannerConfig

MISCONFIGURED_RETRY_MS = (
    500.0  # retry time while the files of planner and forwarder differ, as while a new one is installed
)
NO_QUORUM_RETRY_MS = 200.0  # retry time while this planner has no quorum of forwarders


class EventLog(Protocol):
    """Function that writes one event, with its fields, to the planner's log."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Writes `event` and its fields as one log line."""


class LeaseCoordinator:
    """Decisions of one planner process: whether it may grant, and the answer to each message."""

    def __init__(self, config: PlannerConfig, epoch: str, now_ms: float, log: EventLog) -> None:
        self.config = config
        self.epoch = epoch
        self.log = log
        self.ledger = LeaseLedger(now_ms, config.plans, config.lease_terms, 1.0 - config.safe_share)
        self.quorum = PlannerQuorum(config.forwarders, config.membership_version)
        self.is_granting = False
        self.reported_leases: dict[str, list[ReportedLease]] = {}  # by forwarder, until granting starts

    def tick(self, now_ms: float) -> None:
        """Expires leases and checks the quorum; to be called every few tens of milliseconds."""
        self.ledger.expire(now_ms)
        self._handle_quorum_loss(now_ms)
        if self.quorum.detect_gain(now_ms):
            # Planners of another membership version may have granted leases until just now.
            drift_margin = 1.0 + 2.0 * self.config.lease_terms.clock_drift
            self.ledger.reset_and_wait(now_ms, HEARTBEAT_VALIDITY_MS * drift_margin)
        has_all_reports = len(self.reported_leases) == len(self.config.forwarders)
        if (
            now_ms < self.ledger.granting_starts_at_ms
            and has_all_reports
            and self.quorum.has_all_forwarders(now_ms)
        ):
            self.ledger.recover(
                now_ms, (lease for leases in self.reported_leases.values() for lease in leases)
            )
            self.log("leases recovered", forwarders=len(self.reported_leases), leases=len(self.ledger.leases))
        is_granting = self.quorum.is_established and now_ms >= self.ledger.granting_starts_at_ms
        if is_granting != self.is_granting:
            self.is_granting = is_granting
            event = "granting started" if is_granting else "granting stopped"
            self.log(event, followers=len(self.quorum.last_heartbeats_at_ms))

    def _handle_quorum_loss(self, now_ms: float) -> None:
        if self.quorum.detect_loss(now_ms):
            self.reported_leases = {}

    def _record_heartbeat(self, now_ms: float, forwarder: str, membership_version: int) -> bool:
        # Checks for a lost quorum before this heartbeat counts, because it may have been sent long ago.
        self._handle_quorum_loss(now_ms)
        return self.quorum.record_heartbeat(now_ms, forwarder, membership_version)

    def handle_hello(self, now_ms: float, hello: protocol.Hello) -> protocol.Welcome:
        """Records a forwarder's heartbeat and returns the answer.

        While this planner does not grant yet, the leases that the forwarder reports are recorded for
        recovery.
        """
        is_follower = self._record_heartbeat(now_ms, hello.forwarder, hello.membership_version)
        is_waiting = now_ms < self.ledger.granting_starts_at_ms or not self.quorum.is_established
        if is_follower and hello.is_complete and is_waiting:
            drift_margin = 1.0 + 2.0 * self.config.lease_terms.clock_drift
            self.reported_leases[hello.forwarder] = [
                ReportedLease(
                    hello.forwarder,
                    lease.customer,
                    lease.plan,
                    lease.units,
                    now_ms + lease.remaining_ms * drift_margin,
                )
                for lease in hello.held_leases
            ]
        return protocol.Welcome(
            protocol.PROTOCOL_VERSION,
            self.config.name,
            self.epoch,
            self.config.membership_version,
            self.config.lease_terms.duration_ms,
        )

    def handle_disconnect(self, forwarder: str) -> None:
        """Stops counting the heartbeat of a disconnected forwarder; its leases stay until they expire."""
        self.quorum.remove_follower(forwarder)

    def handle_message(
        self, now_ms: float, forwarder: str, message: protocol.ForwarderMessage
    ) -> list[AddressedMessage]:
        """Handles a message of a connected forwarder and returns the messages to send.

        Raises:
            MalformedFrameError: the message is a second hello.
        """
        match message:
            case protocol.MembershipHeartbeat():
                self._record_heartbeat(now_ms, forwarder, message.membership_version)
            case protocol.LeaseRequest():
                return self._handle_lease_request(now_ms, forwarder, message)
            case protocol.UsageReport():
                if message.epoch == self.epoch:
                    self.ledger.record_use(now_ms, forwarder, message.lease_id, message.units)
            case protocol.LeaseReturn():
                if message.epoch == self.epoch:
                    self.ledger.return_lease(now_ms, forwarder, message.lease_id, message.unused_units)
            case protocol.Hello():
                raise MalformedFrameError("expected one hello per connection, got a second one")
        return []

    def _handle_lease_request(
        self, now_ms: float, forwarder: str, request: protocol.LeaseRequest
    ) -> list[AddressedMessage]:
        def reject(retry_after_ms: float, reason: str) -> AddressedMessage:
            limited_ms = min(max(0.0, retry_after_ms), protocol.MAX_RETRY_AFTER_MS)
            rejection = protocol.LeaseRejection(request.request_id, request.customer, limited_ms, reason)
            return AddressedMessage(forwarder, rejection)

        if request.membership_version != self.config.membership_version:
            return [reject(MISCONFIGURED_RETRY_MS, "another version")]
        if planner_for_customer(self.config.planners, request.customer) != self.config.name:
            return [reject(MISCONFIGURED_RETRY_MS, "not this planner's customer")]
        # The wait for leases of other membership versions begins in the tick that establishes the quorum, so
        # a majority alone does not suffice. The reason is also sent until that tick, and if exactly half of
        # the forwarders follow this membership version.
        if not (self.quorum.is_established and self.quorum.has_majority(now_ms)):
            return [reject(NO_QUORUM_RETRY_MS, "less than half follow")]
        result = self.ledger.request_lease(
            now_ms, forwarder, request.customer, request.plan, request.units, request.min_units
        )
        if isinstance(result, Rejection):
            # The reason is also sent for an unknown plan, for 0 units, and during the wait after the start.
            answer = reject(result.retry_after_ms, "nothing is free")
            if result.revoked is None:
                return [answer]
            revocation = protocol.LeaseRevocation(result.revoked.lease_id, self.epoch)
            return [AddressedMessage(result.revoked.forwarder, revocation), answer]
        grant = protocol.LeaseGrant(
            request.request_id, result.lease_id, request.customer, request.plan, result.units, self.epoch
        )
        return [AddressedMessage(forwarder, grant)]

    def update_config(self, now_ms: float, config: PlannerConfig) -> list[AddressedMessage]:
        """Applies a reloaded file; returns revocations of leases that its plans no longer allow.

        Raises:
            StaleVersionError: the membership version is older than the current one.
            RestartRequiredError: a setting changed that only a restart can change.
        """
        if config.membership_version < self.config.membership_version:
            raise StaleVersionError(
                f"expected membership version {self.config.membership_version} or later,"
                f" got {config.membership_version}"
            )
        # Outstanding leases were granted under these settings, and only a restart waits until they have
        # expired.
        fixed_settings = (config.lease_terms, config.safe_share, config.name)
        if fixed_settings != (self.config.lease_terms, self.config.safe_share, self.config.name):
            raise RestartRequiredError(
                "lease_ms, drift, planners.share and name cannot change while the planner runs; in force are"
                f" {self.config.lease_terms.duration_ms:g}, {self.config.lease_terms.clock_drift:g},"
                f" {self.config.safe_share:g} and {self.config.name}"
            )
        self.config = config
        if self.quorum.update_membership(config.forwarders, config.membership_version):
            self.is_granting = False
            self.reported_leases = {}
        return [
            AddressedMessage(lease.forwarder, protocol.LeaseRevocation(lease.lease_id, self.epoch))
            for lease in self.ledger.update_plans(now_ms, config.plans)
        ]

    def statistics(self) -> dict[str, int]:
        """Returns counters since the start and current sizes, as fields of a log line."""
        counters = self.ledger.counters
        return {
            "followers": len(self.quorum.last_heartbeats_at_ms),
            "granted": counters.granted,
            "spent": counters.spent,
            "expired": counters.expired,
            "returned": counters.returned,
            "rejected": counters.rejected,
            "outstanding": self.ledger.outstanding_units(),
            "leases": len(self.ledger.leases),
            "customers": len(self.ledger.accounts),
        }
