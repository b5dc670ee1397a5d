"""The members of a cluster: a versioned list in the nodes' files, replaced only by a later version.

No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from onyxpost.cluster.errors import InvalidMembershipError, MembershipConflictError, StaleMembershipError
from onyxpost.config.address import Address, parse_address
from onyxpost.config.cluster_settings import ClusterSettings
from onyxpost.config.decoding import decode_as
from onyxpost.errors import InvalidInputError, with_key_path

MAX_NAME_CHARS = 64


@dataclass(frozen=True, slots=True)
class Membership:
    """The addresses of all members by name, including this node.

    Two nodes may have different addresses for one member, as there may be a relay between nodes.
    """

    version: int
    members: dict[str, Address]


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """The address at which this node accepts connections of other members, and the membership."""

    listen: Address
    membership: Membership


def decode_cluster_config(data: object, own_name: str) -> ClusterConfig:
    """Decodes and validates a `fleet` section for the node `own_name`.

    `data` is JSON text or decoded JSON.

    Raises:
        InvalidMembershipError: a key is missing, unknown or has an invalid value.
    """
    try:
        settings = decode_as(data, ClusterSettings, "fleet")
    except InvalidInputError as err:
        raise InvalidMembershipError(str(err)) from err
    return build_cluster_config(settings, own_name)


def build_cluster_config(settings: ClusterSettings, own_name: str) -> ClusterConfig:
    """Validates the settings for one node. Raises InvalidMembershipError with the path of the invalid key."""
    members: dict[str, Address] = {}
    owners: dict[Address, str] = {}
    for member, text in settings.members.items():
        path = f"members.{member[:MAX_NAME_CHARS]}"
        if not 0 < len(member) <= MAX_NAME_CHARS:
            raise _membership_error(f"name of {len(member)} characters, expected 1 to {MAX_NAME_CHARS}", path)
        address = _parse_address(text, path)
        _, port = address
        if not port:
            raise _membership_error(f"address without a port: {text!r}", path)
        if address in owners:
            raise _membership_error(f"same address as {owners[address]}: {text!r}", path)
        members[member] = address
        owners[address] = member
    if own_name not in members:
        raise _membership_error(f"{own_name} is not one of the members", "members")
    return ClusterConfig(_parse_address(settings.listen, "listen"), Membership(settings.version, members))


def is_later_version(new: Membership, current: Membership) -> bool:
    """Returns whether `new` has a later version than `current` and so replaces it.

    Raises:
        StaleMembershipError: `new` has an earlier version.
        MembershipConflictError: `new` has the same version and other members.
    """
    if new.version < current.version:
        message = f"version {new.version} is earlier than version {current.version}, which is in force"
        raise StaleMembershipError(message, "fleet.version")
    if new.version == current.version and new.members != current.members:
        message = f"version {new.version} is in force with other members or addresses"
        raise MembershipConflictError(message, "fleet.members")
    return new.version > current.version


def members_to_disconnect(old: Membership, new: Membership, own_name: str) -> list[str]:
    """Returns the members whose connections must be closed when `new` replaces `old`.

    These are the removed members and those that this node dials at another address than before. The address
    of a member that dials this node does not matter. If this node itself is removed, all are returned.
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
        raise _membership_error(str(err), path) from err


def _membership_error(message: str, path: str) -> InvalidMembershipError:
    return InvalidMembershipError(with_key_path(message, f"fleet.{path}"))
