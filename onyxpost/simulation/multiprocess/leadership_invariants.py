"""Invariants of leader election. No I/O.

The invariants compare events of the nodes' logs (`node_log.py`), fenced calls that arrived in fault proxies,
and fenced calls that the resource received. The times can be compared because all processes of a machine
share one monotonic clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from onyxpost.simulation.multiprocess.checker import Finding, Invariant, events_of_type
from onyxpost.simulation.multiprocess.history import FencedCallReceived, FencedCallSent
from onyxpost.simulation.multiprocess.leadership_terms import LeadershipTerm, leadership_terms
from onyxpost.simulation.multiprocess.node_log import LeadershipAcquired, RecordCommitted
from onyxpost.simulation.multiprocess.process_availability import ProcessAvailability
from onyxpost.simulation.multiprocess.scheduling_lag import LONG_LAG_MS, SchedulingLag

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from onyxpost.simulation.multiprocess.history import HistoryEvent
    from onyxpost.simulation.multiprocess.process_availability import Interval

# Names of the invariants in result files.
SINGLE_LEADER = "one holder"
FENCING_TOKENS = "fences"
COMMITTED_RECORDS = "records"


class ActiveSpan(NamedTuple):
    """A part of a leadership term in which the leader's process ran; sorts by start time."""

    begin_ms: float
    end_ms: float
    node: str
    fencing_token: int


def single_leader(events: Sequence[HistoryEvent]) -> Iterator[Finding]:
    """No two nodes lead a role at the same time; a node that is paused or just resumed does not count."""
    availability = ProcessAvailability(events)
    for role, terms in leadership_terms(events).items():
        spans = sorted(
            span for term in terms for span in active_spans(term, availability.unavailable.get(term.node, []))
        )
        latest: ActiveSpan | None = None
        for span in spans:
            if latest is not None and span.begin_ms < latest.end_ms and span.node != latest.node:
                description = (
                    f"leads {role} with fencing token {span.fencing_token},"
                    f" while {latest.node} leads it with {latest.fencing_token}"
                )
                yield Finding(SINGLE_LEADER, span.begin_ms, span.node, description)
            if latest is None or span.end_ms > latest.end_ms:
                latest = span


def active_spans(term: LeadershipTerm, unavailable: Sequence[Interval]) -> list[ActiveSpan]:
    """Returns the parts of a term outside the intervals in which its node was unavailable."""
    spans: list[ActiveSpan] = []
    begin_ms = term.begin_ms
    for interval in sorted(unavailable):
        if begin_ms < interval.begin_ms < term.end_ms:
            spans.append(ActiveSpan(begin_ms, interval.begin_ms, term.node, term.fencing_token))
        if interval.begin_ms <= term.end_ms and interval.end_ms > begin_ms:
            begin_ms = max(begin_ms, interval.end_ms)
    if begin_ms < term.end_ms:
        spans.append(ActiveSpan(begin_ms, term.end_ms, term.node, term.fencing_token))
    return spans


def no_call_after_lease(events: Sequence[HistoryEvent]) -> Iterator[Finding]:
    """No node sends a fenced call after the logged end of its lease, not even a node just resumed."""
    lag = SchedulingLag(events)
    ends_ms = {
        (role, term.node, term.fencing_token): term.end_ms
        for role, terms in leadership_terms(events).items()
        for term in terms
    }
    for call in events_of_type(events, FencedCallSent):
        end_ms = ends_ms.get((call.role, call.node, call.fencing_token))
        if end_ms is None or call.at_ms <= end_ms + LONG_LAG_MS + lag.tolerance_ms:
            continue
        if not lag.has_long_lag(call.node, end_ms, call.at_ms):
            description = (
                f"sent a call for {call.role} with fencing token {call.fencing_token},"
                f" {call.at_ms - end_ms:.0f} ms after the end of its lease"
            )
            yield Finding(SINGLE_LEADER, call.at_ms, call.node, description)


def tokens_of_terms_increase(events: Sequence[HistoryEvent]) -> Iterator[Finding]:
    """Each term of a role has a higher fencing token than all terms before it."""
    highest: dict[str, LeadershipAcquired] = {}
    for acquired in events_of_type(events, LeadershipAcquired):
        previous = highest.get(acquired.role)
        if previous is not None and acquired.fencing_token <= previous.fencing_token:
            description = (
                f"was elected for {acquired.role} with fencing token {acquired.fencing_token},"
                f" not above {previous.fencing_token} of {previous.node}"
            )
            yield Finding(FENCING_TOKENS, acquired.at_ms, acquired.node, description)
        if previous is None or _token_and_node(acquired) > _token_and_node(previous):
            highest[acquired.role] = acquired


def _token_and_node(acquired: LeadershipAcquired) -> tuple[int, str]:
    return acquired.fencing_token, acquired.node


def accepted_tokens_never_decrease(events: Sequence[HistoryEvent]) -> Iterator[Finding]:
    """For each role, the tokens that the resource accepts never decrease, and each is of one leader only."""
    latest: dict[str, FencedCallReceived] = {}
    for call in events_of_type(events, FencedCallReceived):
        if not call.accepted:
            continue
        previous = latest.setdefault(call.role, call)
        accepted = f"a call for {call.role} with fencing token {call.fencing_token}"
        if call.fencing_token < previous.fencing_token:
            description = f"{accepted} was accepted after token {previous.fencing_token} of {previous.leader}"
            yield Finding(FENCING_TOKENS, call.at_ms, call.leader, description)
            continue
        if call.fencing_token == previous.fencing_token and call.leader != previous.leader:
            description = f"{accepted} was accepted, but the token is that of {previous.leader}"
            yield Finding(FENCING_TOKENS, call.at_ms, call.leader, description)
        latest[call.role] = call


def committed_records_survive(events: Sequence[HistoryEvent]) -> Iterator[Finding]:
    """Each new leader has read the newest record that earlier leaders committed, or a later one.

    Records that were committed before the recovery epoch that the leader read may be missing.
    """
    committed: dict[str, list[RecordCommitted]] = {}
    for record in events_of_type(events, RecordCommitted):
        committed.setdefault(record.role, []).append(record)
    for role, terms in leadership_terms(events).items():
        for term in terms:
            read = term.acquired
            newest = _newest_committed_before(read, committed.get(role, []))
            if newest is None or not _is_missing(newest, read):
                continue
            description = (
                f"was elected for {role} with record {read.sequence},"
                f" although record {newest.sequence} was committed before"
            )
            yield Finding(COMMITTED_RECORDS, term.begin_ms, term.node, description)


def _newest_committed_before(
    read: LeadershipAcquired, committed: Sequence[RecordCommitted]
) -> RecordCommitted | None:
    candidates = [
        record
        for record in committed
        if record.fencing_token < read.fencing_token and record.committed_at_ms >= read.recovery_epoch_ms
    ]
    if not candidates:
        return None
    return max(candidates, key=lambda record: (record.sequence, record.record))


def _is_missing(newest: RecordCommitted, read: LeadershipAcquired) -> bool:
    if newest.sequence == 0:
        return False
    return read.sequence < newest.sequence or (
        read.sequence == newest.sequence and read.record != newest.record
    )


LEADERSHIP_INVARIANTS: tuple[Invariant, ...] = (
    single_leader,
    no_call_after_lease,
    tokens_of_terms_increase,
    accepted_tokens_never_decrease,
    committed_records_survive,
)
