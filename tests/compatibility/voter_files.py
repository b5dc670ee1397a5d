"""Log files of acceptors, which the recorded data calls voters: how they are written and read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.leadership.acceptor_log import AcceptorLog
from onyxpost.leadership.acceptor_state import AcceptorState
from onyxpost.leadership.ballots import Ballot
from onyxpost.leadership.errors import AcceptorLogError
from onyxpost.leadership.protocol import Record
from tests.compatibility.command_refusals import error_location

if TYPE_CHECKING:
    from pathlib import Path

    from tests.compatibility.json_types import JsonObject

FIRST = AcceptorState("rollout", 1, Ballot(1_700_000_000_123, "n1", 4), Record(), 0, 0)
SECOND = AcceptorState(
    "rollout", 2, Ballot(1_700_000_000_456, "n2", 5), Record(1_700_000_000_456, 9, 8, b"\x00state\xff"), 7, 2
)
OTHER_LEASE = AcceptorState("swap", 2, Ballot(0, "-", 0), Record(0, 0, 0, b""), 0, 0)
VOTER_FILES: dict[str, list[AcceptorState]] = {
    "empty": [],
    "one entry": [FIRST],
    "later entry of the same lease": [FIRST, SECOND],
    "two leases": [FIRST, OTHER_LEASE, SECOND],
}


def write_voter_file(case: str, path: Path) -> bytes:
    """Returns the log file that an acceptor writes for a case of `VOTER_FILES`."""
    acceptor_log = AcceptorLog(str(path))
    for state in VOTER_FILES[case]:
        acceptor_log.append(state)
    acceptor_log.close()
    return path.read_bytes()


def read_voter_file(path: Path) -> JsonObject:
    """Returns the state that a starting acceptor reads from its file, or location and remedy of a refusal."""
    try:
        acceptor_log = AcceptorLog(str(path))
    except AcceptorLogError as error:
        return {"refused": {"place": error_location(str(error)), "remedy": error.remedy}}
    acceptor_log.close()
    leases = {name: voter_state(state) for name, state in acceptor_log.states.items()}
    return {"leases": leases, "bytes kept": path.stat().st_size}


def voter_state(state: AcceptorState) -> JsonObject:
    """Returns the state of one lease that an acceptor must keep over a restart."""
    ballot = state.promised
    record = state.record
    return {
        "lease": state.role,
        "membership version": state.acceptor_set_version,
        "promised": {"number": ballot.number, "node": ballot.node, "incarnation": ballot.incarnation},
        "record": {
            "ballot": record.ballot_number,
            "sequence": record.sequence,
            "fencing token": record.fencing_token,
            "body": record.body.hex(),
        },
        "era": state.record_epoch_ms,
        "settled version": state.committed_set_version,
    }
