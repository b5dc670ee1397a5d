"""Which leases a forwarder has seen, so that a late or duplicate grant is not accepted. Times are in ms."""

from __future__ import annotations

from typing import NamedTuple

from onyxpost.forwarder.cached_lease import NOT_ACCEPTED

MEMORY_MS = 60_000.0  # how long the id of a lease is remembered


class LeaseKey(NamedTuple):
    """Identifies a lease: its id is unique within an incarnation of its planner."""

    epoch: str
    lease_id: int


class _SeenLease(NamedTuple):
    """What is remembered of a lease, also after its end."""

    forget_at_ms: float
    local_id: int


class SeenLeases:
    """Leases that were accepted, discarded or revoked a short time ago."""

    def __init__(self) -> None:
        self._seen: dict[LeaseKey, _SeenLease] = {}

    def __contains__(self, key: LeaseKey) -> bool:
        return key in self._seen

    def __len__(self) -> int:
        return len(self._seen)

    def local_id(self, key: LeaseKey) -> int:
        """The forwarder's own id of the lease; NOT_ACCEPTED if it never accepted it."""
        seen = self._seen.get(key)
        return NOT_ACCEPTED if seen is None else seen.local_id

    def remember(self, now_ms: float, key: LeaseKey, local_id: int, extra_ms: float = 0.0) -> None:
        """Remembers a lease for the memory time and `extra_ms` more."""
        self._seen[key] = _SeenLease(now_ms + extra_ms + MEMORY_MS, local_id)

    def forget_old(self, now_ms: float) -> None:
        """Forgets the leases whose time is over."""
        self._seen = {key: seen for key, seen in self._seen.items() if seen.forget_at_ms > now_ms}
