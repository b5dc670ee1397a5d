"""Messages of the leader election, by the case names of the recorded data."""

from __future__ import annotations

from typing import Any

import msgspec

from onyxpost.leadership import protocol as leadership_protocol
from onyxpost.leadership.ballots import Ballot

BALLOT = Ballot(number=1_700_000_000_123, node="n1", incarnation=4)
RECORD = leadership_protocol.Record(
    ballot_number=1_700_000_000_100, sequence=9, fencing_token=1_700_000_000_050, body=b"\x00state\xff"
)
EMPTY_RECORD = leadership_protocol.Record()
STATUS_REPLY = leadership_protocol.StatusReply(
    role="rollout",
    version=2,
    queried_at_ms=11,
    is_voting=True,
    remaining_ms=0.0,
    leader="",
    highest_ballot=0,
)
ACCEPT = leadership_protocol.Accept(
    role="rollout",
    version=2,
    ballot=BALLOT,
    round_id=3,
    lease_ms=2000.0,
    sequence=9,
    committed_set_version=1,
    record_epoch_ms=8,
    record=RECORD,
)
RECOVERY_REPLY = leadership_protocol.RecoveryReply(
    role="rollout",
    version=2,
    queried_at_ms=11,
    is_voting=True,
    record=RECORD,
    record_epoch_ms=8,
    committed_set_version=2,
)


def status_query() -> Any:
    """Returns the message that asks an acceptor whether a lease is free."""
    return leadership_protocol.StatusQuery(role="rollout", version=2, queried_at_ms=11)


def rejection(reason: Any) -> Any:
    """Returns an acceptor's refusal for a reason of REFUSAL_REASONS."""
    return leadership_protocol.Reject(
        role="rollout",
        version=2,
        ballot=BALLOT,
        round_id=3,
        reason=leadership_protocol.RejectReason(reason),
        highest_ballot=1_700_000_000_999,
    )


REFUSAL_REASONS = ("promised", "busy", "lacks", "silent", "ahead", "version", "lease")


def leadership_messages() -> dict[str, Any]:
    """Returns messages between candidates and acceptors, by case."""
    release = leadership_protocol.Release(role="rollout", version=2, ballot=BALLOT, is_resignation=True)
    return {
        "look": status_query(),
        "seen, free": STATUS_REPLY,
        "seen, held": msgspec.structs.replace(
            STATUS_REPLY, remaining_ms=1250.5, leader="n2", highest_ballot=1_700_000_000_123
        ),
        "seen, does not vote": msgspec.structs.replace(STATUS_REPLY, is_voting=False),
        "prepare": leadership_protocol.Prepare(role="rollout", version=2, ballot=BALLOT),
        "promise": leadership_protocol.Promise(
            role="rollout", version=2, ballot=BALLOT, record=RECORD, record_epoch_ms=8
        ),
        "promise, empty record": leadership_protocol.Promise(
            role="rollout", version=2, ballot=BALLOT, record=EMPTY_RECORD, record_epoch_ms=0
        ),
        "accept, with record": ACCEPT,
        "accept, without record": msgspec.structs.replace(ACCEPT, record=None),
        "accepted": leadership_protocol.Accepted(
            role="rollout", version=2, ballot=BALLOT, round_id=3, sequence=9
        ),
        **{f"refuse, {reason}": rejection(reason) for reason in REFUSAL_REASONS},
        "release, held": release,
        "release, not held": msgspec.structs.replace(release, is_resignation=False),
        "learn": leadership_protocol.RecoveryQuery(role="rollout", version=2, queried_at_ms=11),
        "told": RECOVERY_REPLY,
        "told, does not vote": msgspec.structs.replace(RECOVERY_REPLY, is_voting=False, record=EMPTY_RECORD),
    }
