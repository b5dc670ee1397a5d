"""The set of acceptors, by version, and which version may follow which. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from onyxpost.leadership.errors import MembershipChangeError


@dataclass(frozen=True, slots=True)
class AcceptorSet:
    """One version of the set; `previous_names` are the acceptors of the version before (none: the first)."""

    version: int
    names: tuple[str, ...]
    previous_names: tuple[str, ...] = ()

    @property
    def majority(self) -> int:
        """The number of acceptors that form a quorum."""
        return _majority(self.names)


def _majority(names: tuple[str, ...]) -> int:
    return len(names) // 2 + 1


def majorities_intersect(old: tuple[str, ...], new: tuple[str, ...]) -> bool:
    """Whether every majority of `old` shares an acceptor with every majority of `new`."""
    return _majority(old) + _majority(new) > len(set(old) | set(new))


def validate_acceptor_set(acceptors: AcceptorSet, section: str) -> None:
    """Checks an acceptor set without knowing the one in force; `section` is its path in the file.

    Raises:
        MembershipChangeError: the version before is missing, or its majorities might not intersect these.
    """
    if acceptors.version > 1 and not acceptors.previous_names:
        raise MembershipChangeError("version above 1 without the voters before it", f"{section}.before")
    if acceptors.previous_names and not majorities_intersect(acceptors.previous_names, acceptors.names):
        raise MembershipChangeError("majorities before and after might not meet", f"{section}.voters")


def validate_transition(old: AcceptorSet, new: AcceptorSet, section: str, *, is_settled: bool) -> None:
    """Checks whether `new` may replace `old` at this node.

    `is_settled`: whether a majority of `old` is known to have accepted every record of which this node is an
    acceptor; `section` is the section's path in the file. A file with the set in force is accepted as well.

    Raises:
        MembershipChangeError: `new` must not follow `old`, or not yet.
    """
    validate_acceptor_set(new, section)
    if new.version == old.version and set(new.names) == set(old.names):
        return
    if new.version != old.version + 1:
        raise MembershipChangeError(
            f"version {new.version} does not follow {old.version}", f"{section}.version"
        )
    if set(new.previous_names) != set(old.names):
        raise MembershipChangeError("the voters before it are not those in force", f"{section}.before")
    if not is_settled:
        message = f"version {old.version} is not yet in force for all records"
        raise MembershipChangeError(message, f"{section}.version")
