"""Schedules gossip: sends usage reports regularly, and releases queued requests when reports arrive."""

from onyxpost.core.customer_quota import CustomerQuota
from onyxpost.core.events import PeerMessageReceived, TimerFired
from onyxpost.core.sink import DecisionSink
from onyxpost.policy.admission import Admission
from onyxpost.policy.quota_control import QuotaControl


class GossipScheduler:
    """Applies peer messages as they arrive and sends messages at fixed intervals."""

    GOSSIP_INTERVAL_MS = 50.0  # time between two sends

    def __init__(self, first_send_at: float, quota_control: QuotaControl, admission: Admission) -> None:
        self._next_send_at = first_send_at
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
        """Sends messages about changed customers, once per interval.

        Before each send, the quotas may drop unused customers, for which they have their own interval.
        """
        if now < self._next_send_at:
            return
        self._next_send_at = now + self.GOSSIP_INTERVAL_MS
        self._quotas.forget_unused(now, self._queue)
        self._gossip.send(now, sink.send_peer_message)
