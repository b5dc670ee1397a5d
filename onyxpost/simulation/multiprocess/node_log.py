"""Reads the nodes' logs, and decodes lines that invariants read to events of the history. I/O."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import msgspec
from msgspec import field

from onyxpost.leadership.leadership_log import (
    ACCEPTOR_VOTING,
    LEADERSHIP_ACQUIRED,
    LEADERSHIP_LOST,
    RECORD_COMMITTED,
    STATISTICS,
)
from onyxpost.simulation.multiprocess.history import HistoryEvent, HistoryRecord

if TYPE_CHECKING:
    from pathlib import Path


class NodeEvent(HistoryEvent, frozen=True, kw_only=True):
    """An event that a node logged."""

    node: str


class LeadershipAcquired(NodeEvent, frozen=True, kw_only=True, tag=LEADERSHIP_ACQUIRED):
    """The node leads a role, and has read the role's record.

    Records committed before `recovery_epoch_ms` (Unix time) may be missing, because a majority of the
    acceptors had lost them.
    """

    role: str
    fencing_token: int
    sequence: int = 0
    record: str = ""
    recovery_epoch_ms: float = field(name="era", default=0.0)
    unix_ms: float | None = field(name="at", default=None)


class LeadershipLost(NodeEvent, frozen=True, kw_only=True, tag=LEADERSHIP_LOST):
    """The node no longer leads a role.

    `ended_ms_ago` is the time since the lease ended by the node's clock; 0 if the lease had not ended.
    """

    role: str
    ended_ms_ago: float = 0.0


class RecordCommitted(NodeEvent, frozen=True, kw_only=True, tag=RECORD_COMMITTED):
    """A record that the node wrote as leader is stored by a majority of the acceptors."""

    role: str
    fencing_token: int
    sequence: int
    record: str = ""
    unix_ms: float | None = field(name="at", default=None)

    @property
    def committed_at_ms(self) -> float:
        """The time to compare with a recovery epoch: the line's Unix time, or `at_ms` if there is none."""
        return self.at_ms if self.unix_ms is None else self.unix_ms


class AcceptorVoting(NodeEvent, frozen=True, kw_only=True, tag=ACCEPTOR_VOTING):
    """The node's acceptor votes for a role again after a restart without state."""

    role: str


class LeadershipStatistics(NodeEvent, frozen=True, kw_only=True, tag=STATISTICS):
    """Counters of one incarnation of a node since its start."""

    sent: int
    incarnation: int | str = field(name="life", default="")


class UnhandledError(NodeEvent, frozen=True, kw_only=True, tag="fault"):
    """The node logged an exception that it had not handled."""

    where: Any = None
    cause: Any = ""


class RequestOverdue(NodeEvent, frozen=True, kw_only=True, tag="overdue"):
    """The node did not answer a request by its deadline."""

    where: Any = None
    request: Any = ""


LoggedEvent = (
    LeadershipAcquired
    | LeadershipLost
    | RecordCommitted
    | AcceptorVoting
    | LeadershipStatistics
    | UnhandledError
    | RequestOverdue
)
DECODED_EVENTS = frozenset(
    {LEADERSHIP_ACQUIRED, LEADERSHIP_LOST, RECORD_COMMITTED, ACCEPTOR_VOTING, STATISTICS, "fault", "overdue"}
)


def decode_event(line: dict[str, Any]) -> HistoryEvent | None:
    """Returns the event of a log line with time and node; None if no invariant reads such lines."""
    if line["event"] not in DECODED_EVENTS:
        return None
    event: HistoryEvent = msgspec.convert(line, LoggedEvent, strict=False)
    return event


def read_node_logs(folder: Path, started_at_ms: float, unix_offset_ms: float) -> list[HistoryRecord]:
    """Reads the logs of all incarnations of all nodes.

    The time of a line is taken from `monotonic_ms` if present, because `at` (Unix time) is less precise.

    Args:
        folder: the folder with the files `NODE.N.log`.
        started_at_ms: the start of the run on the machine's monotonic clock.
        unix_offset_ms: the difference between Unix time and monotonic time.
    """
    found: list[HistoryRecord] = []
    for path in sorted(folder.glob("n*.log")):
        node = path.name.split(".")[0]
        for text in path.read_bytes().splitlines():
            line = _read_line(text, node, started_at_ms, unix_offset_ms)
            if line is not None:
                found.append(HistoryRecord(line, decode_event(line)))
    return found


def _read_line(text: bytes, node: str, started_at_ms: float, unix_offset_ms: float) -> dict[str, Any] | None:
    with contextlib.suppress(msgspec.DecodeError, KeyError, TypeError):  # cut off when the node was killed
        line: dict[str, Any] = msgspec.json.decode(text)
        event = line["event"]
        if "monotonic_ms" in line:
            at_ms = line["monotonic_ms"] - started_at_ms
        else:
            at_ms = line["at"] - started_at_ms - unix_offset_ms
        return {**line, "t": round(at_ms, 2), "event": event, "node": node}
    return None
