"""Decoding, validation and replacement of a membership."""

from typing import Any

import pytest

from onyxpost.cluster.errors import InvalidMembershipError, MembershipConflictError, StaleMembershipError
from onyxpost.cluster.membership import (
    Membership,
    decode_cluster_config,
    is_later_version,
    members_to_disconnect,
)
from onyxpost.errors import InvalidInputError
from onyxpost.node import config
from tests.edge.harness import node_fields

MEMBERS = {"n0": "10.0.0.1:7", "n1": "10.0.0.2:7"}
SECTION: dict[str, Any] = {"version": 3, "listen": "10.0.0.1:7", "members": MEMBERS}


@pytest.mark.parametrize(
    ("changed", "message"),
    [
        ({"version": 0}, "$.version"),
        ({"members": {}}, "$.members"),
        ({"listen": "x"}, "$.fleet.listen"),
        ({"members": {"n1": "10.0.0.2:7"}}, "n0 is not one of the members"),
        ({"members": MEMBERS | {"n2": "10.0.0.2:7"}}, "same address as n1"),
        ({"members": MEMBERS | {"n2": "10.0.0.3:0"}}, "$.fleet.members.n2"),
        ({"members": MEMBERS | {"n" * 65: "10.0.0.3:7"}}, "65 characters"),
        ({"members": MEMBERS | {f"m{i}": f"10.0.1.1:{i + 1}" for i in range(255)}}, "256"),
    ],
)
def test_an_invalid_section_is_rejected_with_the_path_of_the_key(
    changed: dict[str, Any], message: str
) -> None:
    with pytest.raises(InvalidMembershipError) as caught:
        decode_cluster_config(SECTION | changed, "n0")
    assert message in str(caught.value)


def test_a_node_file_may_have_no_cluster_section() -> None:
    assert config.decode_config(node_fields()).cluster is None


def test_a_node_file_may_have_a_cluster_section() -> None:
    section = config.decode_config(node_fields(fleet=SECTION)).cluster
    assert section is not None
    assert section.listen == ("10.0.0.1", 7)
    assert section.membership.version == 3


@pytest.mark.parametrize("key", ["listen", "peer_listen"])
def test_the_cluster_needs_an_address_of_its_own(key: str) -> None:
    with pytest.raises(InvalidInputError, match=r"fleet\.listen"):
        config.decode_config(node_fields(fleet=SECTION, **{key: SECTION["listen"]}))


def test_only_a_later_version_supersedes() -> None:
    current = Membership(3, {"n0": ("a", 1)})
    other_members = {"n0": ("a", 1), "n1": ("b", 1)}
    assert is_later_version(Membership(4, other_members), current)
    assert not is_later_version(Membership(3, dict(current.members)), current)
    with pytest.raises(MembershipConflictError):
        is_later_version(Membership(3, other_members), current)
    with pytest.raises(StaleMembershipError):
        is_later_version(Membership(2, other_members), current)


def test_removed_members_and_those_dialed_at_another_address_are_disconnected() -> None:
    old = Membership(1, {f"n{i}": ("a", i) for i in range(5)})
    new = Membership(2, {f"n{i}": ("a", i) for i in (1, 2, 4)} | {"n0": ("b", 9), "n3": ("b", 9)})
    only_n1 = Membership(3, {"n1": ("a", 1)})
    assert members_to_disconnect(old, new, "n2") == [
        "n3"
    ]  # n0 dials n2, so n2 does not use the address of n0
    assert members_to_disconnect(old, only_n1, "n1") == ["n0", "n2", "n3", "n4"]
    assert members_to_disconnect(old, only_n1, "n2") == list(old.members)
