"""The versioned set of acceptors, and the check whether one version may replace another. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from onyxpost.leadership.errors import MembershipChangeError


@dataclass(frozen=True, slots=True)
class AcceptorSet:
    """One version of the acceptor set.

    `previous_names` has the acceptors of the previous version; it is empty for the first version.
    """

    version: int
    names: tuple[str, ...]
    previous_names: tuple[str, ...] = ()

    @property
    def majority(self) -> int:
        """The number of acceptors that make a majority."""
        return _majority(self.names)


def _majority(names: tuple[str, ...]) -> int:
    return len(names) // 2 + 1


def majorities_intersect(old: tuple[str, ...], new: tuple[str, ...]) -> bool:
    """Whether every majority of `old` shares an acceptor with every majority of `new`."""
    return _majority(old) + _majority(new) > len(set(old) | set(new))


def validate_acceptor_set(acceptors: AcceptorSet, section: str) -> None:
    """Checks an acceptor set by itself, without the set in force.

    `section` is the path of the section `duties` in the file, for errors.

    Raises:
        MembershipChangeError: the previous acceptors are missing, or a majority of them might not intersect a
            majority of the new ones.
    """
    if acceptors.version > 1 and not acceptors.previous_names:
        raise MembershipChangeError(
            f"version {acceptors.version} requires the voters of the previous version", f"{section}.before"
        )
    if acceptors.previous_names and not majorities_intersect(acceptors.previous_names, acceptors.names):
        raise MembershipChangeError(
            "a majority of these voters might not intersect a majority of those in `before`",
            f"{section}.voters",
        )


def validate_transition(
    old: AcceptorSet, new: AcceptorSet, section: str, *, are_records_committed: bool
) -> None:
    """Checks whether `new` may replace `old` at this node; a set equal to `old` may.

    `are_records_committed` is whether a majority of `old` is known to have accepted every record of which
    this node is an acceptor; otherwise a majority of `new` might lack a committed record. `section` is the
    path of the section `duties` in the file, for errors.

    Raises:
        MembershipChangeError: `new` must not replace `old`, or not yet.
    """
    validate_acceptor_set(new, section)
    if new.version == old.version and set(new.names) == set(old.names):
        return
    if new.version != old.version + 1:
        raise MembershipChangeError(
            f"version {new.version} does not follow version {old.version}, which is in force",
            f"{section}.version",
        )
    if set(new.previous_names) != set(old.names):
        raise MembershipChangeError(
            f"expected the voters in force, {', '.join(old.names)}; got {', '.join(new.previous_names)}",
            f"{section}.before",
        )
    if not are_records_committed:
        message = f"no majority of version {old.version} is known to have accepted all records yet"
        raise MembershipChangeError(message, f"{section}.version")
