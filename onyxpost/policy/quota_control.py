"""Builds the components that enforce customers' quotas and report their usage."""

from onyxpost.core.node_state import NodeState
from onyxpost.policy.gossip_messages import GossipMessenger
from onyxpost.policy.hard_limit_queue import HardLimitQueue
from onyxpost.policy.leases import LeaseHolder
from onyxpost.policy.quotas import QuotaPolicy
from onyxpost.policy.request_rejection import RequestRejecter
from onyxpost.policy.usage import UsageRecorder


class QuotaControl:
    """The components that enforce customers' quotas and report their usage.

    Attributes:
        quota_policy: decides whether a customer has capacity for a request.
        queue: requests that wait for hard-limit tokens.
        leases: the leases that planners have granted.
        gossip: reads and writes the messages between nodes.
        usage: counts the units that requests use.
        rejecter: rejects requests over quota or for lack of server capacity.
    """

    def __init__(self, state: NodeState) -> None:
        limits = state.options.limits
        self.quota_policy = QuotaPolicy(state.options, state.customers)
        self.queue = HardLimitQueue()
        self.leases = LeaseHolder(state.customers, has_planners=bool(limits.safe_share))
        self.gossip = GossipMessenger(state.options, self.quota_policy)
        self.usage = UsageRecorder(self.leases, self.gossip)
        self.rejecter = RequestRejecter(limits.max_retry_after_ms, self.leases)
