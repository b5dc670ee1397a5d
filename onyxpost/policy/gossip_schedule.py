"""Schedules gossip: sends rounds of usage reports, and releases queued requests when reports arrive."""

from onyxpost.core.customer_quota import CustomerQuota
from onyxpost.core.events import PeerMessageReceived, TimerFired
from onyxpost.core.sink import DecisionSink
from onyxpost.policy.admission import Admission
from onyxpost.policy.quota_control import QuotaControl


class GossipScheduler:
    """Applies peer messages as they arrive and sends a round of messages at fixed intervals."""

    GOSSIP_INTERVAL_MS = 50.0  # time between two rounds

    def __init__(self, first_round_at: float, quota_control: QuotaControl, admission: Admission) -> None:
        self._next_round_at = first_round_at
        self._quotas = quota_control.quota_policy
        self._gossip = quota_control.gossip
        self._queue = quota_control.queue
        self._admission = admission

    def on_peer_message(self, now: float, event: PeerMessageReceived, sink: DecisionSink) -> None:
        """Applies a peer message; after each report, decides on the customer's queued requests again."""

        def on_report(customer: CustomerQuota) -> None:
            self._admission.release(now, customer, sink)

        self._gossip.receive(now, event.peer, event.body, on_report)

    def on_timer(self, now: float, _event: TimerFired, sink: DecisionSink) -> None:
        """Forgets unused customers and sends a round of messages, once per interval."""
        if now < self._next_round_at:
            return
        self._next_round_at = now + self.GOSSIP_INTERVAL_MS
        self._quotas.forget_unused(now, self._queue)
        self._gossip.send(now, sink.send_peer_message)
