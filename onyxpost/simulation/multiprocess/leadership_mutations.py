"""Mutations of leader election: injected bugs that the invariants must find (mutation testing)."""

from __future__ import annotations

from dataclasses import dataclass
from functools import wraps
from math import inf
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from onyxpost.leadership.acceptor import Acceptor
from onyxpost.leadership.ballots import NO_BALLOT
from onyxpost.leadership.candidate import Candidate
from onyxpost.leadership.leader import Leader
from onyxpost.leadership.protocol import EMPTY_RECORD
from onyxpost.node.cluster_extension import ClusterExtension
from onyxpost.node.edge_node import EdgeNode
from onyxpost.node.extension import find_extension
from onyxpost.simulation.multiprocess.fenced_resource import FencedResource

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.leadership.effects import Effect
    from onyxpost.node.edge_node import EdgeNode


@dataclass(frozen=True, slots=True)
class LeadershipMutation:
    """A bug that is injected on purpose.

    Attributes:
        name: the name on the command line and in scripts.
        old_name: the name in scripts of earlier builds.
        changed_function: the function whose behavior the mutation changes.
        inject: changes the behavior in the process of a node before it runs; None if nodes are unchanged.
    """

    name: str
    old_name: str
    changed_function: Callable[..., Any]
    inject: Callable[[EdgeNode], None] | None


def _vote_without_recovery(node: EdgeNode) -> None:
    """Lets acceptors that restarted without state vote at once."""
    cluster = find_extension(node.extensions, ClusterExtension)
    assert cluster is not None
    assert cluster.leadership is not None
    for acceptor in cluster.leadership.registry.acceptors.values():
        acceptor.is_voting = True
        acceptor.recovery = None
        acceptor.promised = NO_BALLOT


def _ignore_lease_expiry(node: EdgeNode) -> None:  # noqa: ARG001 - changes a class
    """Makes leaders ignore the end of their leases."""
    initialize = Leader.__init__

    @wraps(initialize)
    def initialize_without_expiry(self: Leader, *arguments: Any, **options: Any) -> None:  # noqa: ANN401 - passed on
        initialize(self, *arguments, **options)
        self.lease_ends_at_ms = inf

    _replace_method(Leader, initialize, initialize_without_expiry)


def _drop_committed_record(node: EdgeNode) -> None:  # noqa: ARG001 - changes a class
    """Makes new leaders start with an empty record instead of the committed one."""
    request_acceptance = Candidate.request_acceptance

    @wraps(request_acceptance)
    def request_with_empty_record(self: Candidate, now_ms: float) -> list[Effect]:
        self.promises = {
            name: replace(promise, record=EMPTY_RECORD) for name, promise in self.promises.items()
        }
        return request_acceptance(self, now_ms)

    _replace_method(Candidate, request_acceptance, request_with_empty_record)


def _replace_method(owner: type, method: Callable[..., Any], replacement: Callable[..., Any]) -> None:
    setattr(owner, method.__name__, replacement)


IGNORE_FENCING_TOKENS = LeadershipMutation(
    "ignore-fencing-tokens", "careless", FencedResource.handle_call, inject=None
)
VOTE_WITHOUT_RECOVERY = LeadershipMutation(
    "vote-without-recovery", "forgets", Acceptor.handle, _vote_without_recovery
)
IGNORE_LEASE_EXPIRY = LeadershipMutation(
    "ignore-lease-expiry", "overstays", Leader.__init__, _ignore_lease_expiry
)
DROP_COMMITTED_RECORD = LeadershipMutation(
    "drop-committed-record", "begins-anew", Candidate.request_acceptance, _drop_committed_record
)

LEADERSHIP_MUTATIONS = {
    mutation.name: mutation
    for mutation in (
        IGNORE_FENCING_TOKENS,
        VOTE_WITHOUT_RECOVERY,
        IGNORE_LEASE_EXPIRY,
        DROP_COMMITTED_RECORD,
    )
}
RESOURCE_MUTATIONS = frozenset({IGNORE_FENCING_TOKENS.name})  # change the fenced resource, not the nodes
_CURRENT_NAMES = {mutation.old_name: mutation.name for mutation in LEADERSHIP_MUTATIONS.values()}


def current_name(name: str) -> str:
    """Returns the current name for an old name of a mutation; any other name is returned unchanged."""
    return _CURRENT_NAMES.get(name, name)
