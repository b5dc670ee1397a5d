"""The ranking of nodes by rendezvous hashing."""

from collections import Counter

from onyxpost.leadership.rendezvous import rank_nodes

NODES = [f"n{index}" for index in range(5)]
ROLES = [f"d{index}" for index in range(200)]


def test_roles_are_spread_over_the_nodes() -> None:
    preferred = Counter(rank_nodes(role, NODES)[0] for role in ROLES)
    assert set(preferred) == set(NODES)
    assert min(preferred.values()) > 20


def test_barring_a_node_changes_the_preferred_node_of_its_own_roles_only() -> None:
    before = {role: rank_nodes(role, NODES)[0] for role in ROLES}
    after = {role: rank_nodes(role, NODES, ["n3"])[0] for role in ROLES}
    assert all(after[role] == before[role] for role in ROLES if before[role] != "n3")
