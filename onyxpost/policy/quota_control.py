"""Builds the collaborators that decide what customers may spend, and that report what they have spent."""

from onyxpost.core.node_state import NodeState
from onyxpost.policy.hard_limit_queue import HardLimitQueue
from onyxpost.policy.leases import LeaseHolder
from onyxpost.policy.quota_gossip import QuotaGossip
from onyxpost.policy.quotas import QuotaPolicy
from onyxpost.policy.rejection import Rejections
from onyxpost.policy.usage import UsageRecorder


class QuotaControl:
    """The collaborators that deal with customers' quotas.

    Attributes:
        quotas: what customers may spend.
        queue: requests that wait for tokens of a hard limit.
        leases: units that planners have granted.
        gossip: what nodes report to each other.
        usage: counts the units that requests use.
        rejections: rejects requests, over their quota or for lack of capacity.
    """

    def __init__(self, state: NodeState) -> None:
        limits = state.options.limits
        self.quotas = QuotaPolicy(state.options, state.customers)
        self.queue = HardLimitQueue()
        self.leases = LeaseHolder(state.customers, has_planners=bool(limits.local_share))
        self.gossip = QuotaGossip(state.options, self.quotas)
        self.usage = UsageRecorder(self.leases, self.gossip)
        self.rejections = Rejections(limits.max_retry_after_ms, self.leases)
