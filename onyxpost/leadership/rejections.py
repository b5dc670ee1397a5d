"""The log diagnostics of rejected ballots. No I/O."""

from __future__ import annotations

from onyxpost.leadership.effects import Diagnostic, DiagnosticKind
from onyxpost.leadership.protocol import Reject, RejectReason

# Rejections that candidates do not log: they result from races between candidates or restarts of acceptors.
ROUTINE_REJECTIONS = (RejectReason.HIGHER_PROMISE, RejectReason.LEASE_ACTIVE, RejectReason.NOT_VOTING)


def rejection_diagnostic(sender: str, reject: Reject) -> Diagnostic:
    """Returns the diagnostic of a ballot that the acceptor `sender` rejected."""
    reason = f"rejected by {sender}: {reject.reason.value}"
    return Diagnostic(reject.role, DiagnosticKind.BALLOT_REJECTED, reason, reject.ballot.number)
