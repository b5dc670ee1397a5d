"""The members of a cluster: a versioned list from a node's file, replaced only by a later version. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from onyxpost.cluster.errors import InvalidMembershipError, MembershipConflictError, StaleMembershipError
from onyxpost.config.address import Address, parse_address
from onyxpost.config.cluster import ClusterSettings
from onyxpost.config.decoding import decode_as
from onyxpost.errors import InvalidInputError, at_key

MAX_NAME_CHARS = 64


@dataclass(frozen=True, slots=True)
class Membership:
    """All members by name, this node included.

    The addresses of one member may differ from node to node: a relay may stand between two nodes.
    """

    version: int
    members: dict[str, Address]


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """Where this node accepts connections of other members, and who they are."""

    listen: Address
    membership: Membership


def decode_cluster_config(data: object, own_name: str) -> ClusterConfig:
    """Reads a `fleet` section, as JSON text or decoded, for one node. Raises InvalidMembershipError."""
    try:
        settings = decode_as(data, ClusterSettings, "fleet")
    except InvalidInputError as err:
        raise InvalidMembershipError(str(err)) from err
    return build_cluster_config(settings, own_name)


def build_cluster_config(settings: ClusterSettings, own_name: str) -> ClusterConfig:
    """Validates the settings for one node. Raises InvalidMembershipError with the path of the wrong key."""
    members: dict[str, Address] = {}
    owners: dict[Address, str] = {}
    for member, text in settings.members.items():
        path = f"members.{member[:MAX_NAME_CHARS]}"
        if not 0 < len(member) <= MAX_NAME_CHARS:
            raise _invalid(f"a name of {len(member)} characters, {MAX_NAME_CHARS} at most", path)
        address = _parse_address(text, path)
        _, port = address
        if not port:
            raise _invalid(f"a member without a port: {text!r}", path)
        if address in owners:
            raise _invalid(f"the address of {owners[address]} again: {text!r}", path)
        members[member] = address
        owners[address] = member
    if own_name not in members:
        raise _invalid(f"{own_name} is none of the members", "members")
    return ClusterConfig(_parse_address(settings.listen, "listen"), Membership(settings.version, members))


def supersedes(new: Membership, current: Membership) -> bool:
    """Returns whether `new` replaces `current`; an equal one does not.

    Raises:
        StaleMembershipError: `new` has an earlier version.
        MembershipConflictError: `new` has the same version and other members.
    """
    if new.version < current.version:
        message = f"version {new.version} is earlier than {current.version}"
        raise StaleMembershipError(message, "fleet.version")
    if new.version == current.version and new.members != current.members:
        message = f"version {new.version} is in force with other members"
        raise MembershipConflictError(message, "fleet.members")
    return new.version > current.version


def members_to_disconnect(old: Membership, new: Membership, own_name: str) -> list[str]:
    """Returns the members whose connections end when `new` replaces `old`.

    These are the removed members and those that this node dials at another address than before. The address
    of a member that dials this node does not matter here. If this node is removed, all connections end.
    """
    is_removed = own_name not in new.members
    return [
        name
        for name, address in old.members.items()
        if is_removed or name not in new.members or (own_name < name and new.members[name] != address)
    ]


def _parse_address(text: str, path: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as err:
        raise _invalid(str(err), path) from err


def _invalid(message: str, path: str) -> InvalidMembershipError:
    return InvalidMembershipError(at_key(message, f"fleet.{path}"))
