"""Builds the components that enforce customers' quotas and report their usage."""

from onyxpost.core.node_state import NodeState
from onyxpost.policy.hard_limit_queue import HardLimitQueue
from onyxpost.policy.leases import LeaseHolder
from onyxpost.policy.quota_gossip import QuotaGossip
from onyxpost.policy.quotas import QuotaPolicy
from onyxpost.policy.rejection import Rejections
from onyxpost.policy.usage import UsageRecorder


class QuotaControl:
    """The components that enforce customers' quotas and report their usage.

    Attributes:
        quotas: decides whether a customer has capacity for a request.
        queue: requests that wait for hard-limit tokens.
        leases: the leases that planners have granted.
        gossip: reads and writes the messages between nodes.
        usage: counts the units that requests use.
        rejections: rejects requests over quota or for lack of server capacity.
    """

    def __init__(self, state: NodeState) -> None:
        limits = state.options.limits
        self.quotas = QuotaPolicy(state.options, state.customers)
        self.queue = HardLimitQueue()
        self.leases = LeaseHolder(state.customers, has_planners=bool(limits.local_share))
        self.gossip = QuotaGossip(state.options, self.quotas)
        self.usage = UsageRecorder(self.leases, self.gossip)
        self.rejections = Rejections(limits.max_retry_after_ms, self.leases)
