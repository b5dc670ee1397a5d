"""The check whether an acceptor may promise or accept a ballot. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.leadership.ballots import may_supersede
from onyxpost.leadership.protocol import Accept, Prepare, Record, RejectReason

if TYPE_CHECKING:
    from onyxpost.leadership.acceptor_state import AcceptorState
    from onyxpost.leadership.granted_role_lease import GrantedRoleLease
    from onyxpost.leadership.role_lease_timing import RoleLeaseTiming


def find_reject_reason(
    now_ms: float,
    proposal: Prepare | Accept,
    state: AcceptorState,
    lease: GrantedRoleLease,
    timing: RoleLeaseTiming,
) -> RejectReason | None:
    """Returns why an acceptor with this state and lease must reject the proposal, or None.

    The caller has checked that the acceptor votes and that the proposal is for its acceptor set. `now_ms` is
    the reading of the acceptor's clock.
    """
    ballot = proposal.ballot
    if ballot.number > now_ms + timing.skew_ms:
        return RejectReason.CLOCK_AHEAD
    if not may_supersede(ballot, state.promised) or ballot.number <= lease.highest_released:
        return RejectReason.HIGHER_PROMISE
    if isinstance(proposal, Accept):
        return _find_accept_reject_reason(proposal, state.record, timing)
    return RejectReason.LEASE_ACTIVE if lease.is_held_by_other(now_ms, ballot) else None


def _find_accept_reject_reason(accept: Accept, known: Record, timing: RoleLeaseTiming) -> RejectReason | None:
    if accept.lease_ms > timing.lease_ms:
        return RejectReason.LEASE_TOO_LONG
    is_same_ballot = known.ballot_number == accept.ballot.number
    has_record = is_same_ballot and known.sequence >= accept.sequence
    return RejectReason.RECORD_MISSING if accept.record is None and not has_record else None
