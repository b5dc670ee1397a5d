"""Log lines and counters of the leadership service."""

from __future__ import annotations

import logging
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from onyxpost.leadership.effects import Diagnostic, DiagnosticKind, LeadershipAcquired, LeadershipLost
from onyxpost.leadership.protocol import Prepare
from onyxpost.runtime.log_event import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from onyxpost.leadership.protocol import Message, Record
    from onyxpost.runtime.transport import Transport

RATE_LIMIT_INTERVAL_MS = 1000.0  # shortest interval between two rate-limited lines of one kind
MAX_RATE_LIMITED_KINDS = 256  # the kinds are cleared above this number, to limit the memory
RECORD_PREFIX_BYTES = 100  # how much of a record's body a log line contains

LEADERSHIP_ACQUIRED = "leadership acquired"
LEADERSHIP_LOST = "leadership lost"
RECORD_COMMITTED = "leadership record committed"
CALL_REJECTED = "leadership call rejected"
CALL_FAILED = "leadership call failed"
ACCEPTOR_VOTING = DiagnosticKind.ACCEPTOR_VOTING.value
MESSAGE_MALFORMED = "leadership message malformed"
ACCEPTORS_CHANGED = "leadership acceptors changed"
ACCEPTOR_LOG_FAILED = "leadership acceptor log failed"
STATISTICS = "leadership statistics"


@dataclass(slots=True)
class LeadershipCounters:
    """Counts since the start of the process; the statistics line has them under these names.

    `ballots` counts Prepare messages to other nodes: one for each acceptor, also if sending it failed.
    """

    acquired: int = 0
    lost: int = 0
    records_committed: int = 0
    calls_rejected: int = 0
    calls: int = 0
    ballots: int = 0
    sent: int = 0
    send_failed: int = 0
    received: int = 0


class LeadershipLog:
    """Writes log lines with `write`; limits the rate of lines that messages of other nodes can cause."""

    def __init__(self, transport: Transport, write: Callable[[LogEvent], None]) -> None:
        self.transport = transport
        self.write = write
        self.counters = LeadershipCounters()
        self._written_at_ms: dict[str, float] = {}

    def log_leadership_acquired(self, change: LeadershipAcquired) -> None:
        """Logs that this node acquired the lease of a role."""
        self.counters.acquired += 1
        extra_fields = {**_record_fields(change.record), "era": change.record_epoch_ms}
        self._log_role_event(LEADERSHIP_ACQUIRED, change.role, change.fencing_token, extra_fields)

    def log_leadership_lost(self, change: LeadershipLost, held_ms: float, ended_ago_ms: float) -> None:
        """Logs that this node no longer leads a role, which it led for `held_ms`.

        The lease ended `ended_ago_ms` ago; 0 if this node resigned before its end.
        """
        self.counters.lost += 1
        extra_fields = {
            "reason": change.reason,
            "held_ms": round(held_ms),
            "ended_ms_ago": round(ended_ago_ms, 1),
        }
        self._log_role_event(LEADERSHIP_LOST, change.role, change.fencing_token, extra_fields)

    def log_record_committed(self, role: str, fencing_token: int, record: Record) -> None:
        """Logs that a majority of acceptors has accepted the record that this node wrote."""
        self.counters.records_committed += 1
        self._log_role_event(RECORD_COMMITTED, role, fencing_token, _record_fields(record))

    def log_fencing_token_rejected(self, role: str, fencing_token: int, reason: str) -> None:
        """Logs that a fenced resource rejected a call, as it has received a higher fencing token."""
        self.counters.calls_rejected += 1
        self._log_role_event(CALL_REJECTED, role, fencing_token, {"reason": reason})

    def count_sent(self, message: Message, *, is_sent: bool) -> None:
        """Counts a message to another node as sent or, unless `is_sent`, as failed."""
        self.counters.sent += is_sent
        self.counters.send_failed += not is_sent
        self.counters.ballots += isinstance(message, Prepare)

    def count_received(self) -> None:
        """Counts a message from another node, also a malformed one."""
        self.counters.received += 1

    def count_call(self) -> None:
        """Counts a fenced call that was executed."""
        self.counters.calls += 1

    def log_diagnostic(self, diagnostic: Diagnostic, sender: str) -> None:
        """Logs a diagnostic; `sender` sent the message that caused it, empty if no message did.

        Every kind is a warning, also the normal end of an acceptor's restart wait. Dropped messages of one
        sender share one rate limit, whatever the reasons.
        """
        is_drop = diagnostic.kind is DiagnosticKind.MESSAGE_DROPPED
        kind = f"dropped/{sender}" if is_drop else f"{diagnostic.role}/{diagnostic.reason}"
        fields = {
            "role": diagnostic.role,
            "reason": diagnostic.reason,
            "ballot_number": diagnostic.ballot_number,
        }
        self.log_rate_limited(kind, diagnostic.kind.value, fields)

    def log_rate_limited(self, kind: str, event: str, fields: Mapping[str, object]) -> None:
        """Writes a warning, unless the last one of its kind is newer than `RATE_LIMIT_INTERVAL_MS`."""
        now_ms = self.transport.clock()
        if now_ms - self._written_at_ms.get(kind, -RATE_LIMIT_INTERVAL_MS) < RATE_LIMIT_INTERVAL_MS:
            return
        if len(self._written_at_ms) > MAX_RATE_LIMITED_KINDS:
            self._written_at_ms.clear()
        self._written_at_ms[kind] = now_ms
        self.write(LogEvent(event, dict(fields), logging.WARNING))

    def log_statistics(self, roles_led: Mapping[str, object], version: int, voting: int) -> None:
        """Writes the roles that this node leads, how many of its acceptors vote, and the counters."""
        fields = {"leads": roles_led, "version": version, "voting": voting, **asdict(self.counters)}
        self.write(LogEvent(STATISTICS, fields))

    def _log_role_event(
        self, event: str, role: str, fencing_token: int, extra_fields: Mapping[str, object]
    ) -> None:
        fields = {
            "role": role,
            "fencing_token": fencing_token,
            "monotonic_ms": round(self.transport.monotonic(), 1),
            **extra_fields,
        }
        self.write(LogEvent(event, fields))


def _record_fields(record: Record) -> dict[str, object]:
    body = record.body[:RECORD_PREFIX_BYTES].decode("utf-8", "replace")
    return {"sequence": record.sequence, "record": body}
