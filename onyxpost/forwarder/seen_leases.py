"""Recently seen leases of a forwarder, to discard late and duplicate grants. Times are in ms."""

from __future__ import annotations

from typing import NamedTuple

from onyxpost.forwarder.cached_lease import NOT_ACCEPTED

RETENTION_MS = 60_000.0  # the id of a lease is kept for this time


class LeaseKey(NamedTuple):
    """Identifies a lease. Lease ids are unique within an incarnation (epoch) of a planner."""

    epoch: str
    lease_id: int


class _SeenLease(NamedTuple):
    """Record of a lease, which may have ended."""

    drop_at_ms: float
    local_id: int


class SeenLeases:
    """Leases that were accepted, discarded or revoked recently."""

    def __init__(self) -> None:
        self._seen: dict[LeaseKey, _SeenLease] = {}

    def __contains__(self, key: LeaseKey) -> bool:
        return key in self._seen

    def __len__(self) -> int:
        return len(self._seen)

    def local_id(self, key: LeaseKey) -> int:
        """Returns the forwarder's local id of the lease; NOT_ACCEPTED if the forwarder never accepted it."""
        seen = self._seen.get(key)
        return NOT_ACCEPTED if seen is None else seen.local_id

    def add(self, now_ms: float, key: LeaseKey, local_id: int, extra_ms: float = 0.0) -> None:
        """Keeps a record of a lease for `RETENTION_MS` and `extra_ms` more."""
        self._seen[key] = _SeenLease(now_ms + extra_ms + RETENTION_MS, local_id)

    def drop_old(self, now_ms: float) -> None:
        """Drops the records whose time is over."""
        self._seen = {key: seen for key, seen in self._seen.items() if seen.drop_at_ms > now_ms}
