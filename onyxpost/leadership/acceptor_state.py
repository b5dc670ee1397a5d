"""The state of an acceptor that must survive a restart: the content of a log entry. No I/O."""

from __future__ import annotations

import msgspec

from onyxpost.leadership.ballots import Ballot
from onyxpost.leadership.protocol import Record


class AcceptorState(msgspec.Struct, frozen=True):
    """The highest ballot that one acceptor promised for one role, and the record that it accepted last.

    `field(name=...)` gives the key on disk, where it differs from the attribute. The keys must not change, as
    existing files have them.
    """

    role: str = msgspec.field(name="duty")
    acceptor_set_version: int = msgspec.field(name="version")
    promised: Ballot
    record: Record
    record_epoch_ms: int = msgspec.field(name="era")
    committed_set_version: int = msgspec.field(name="settled")

    @property
    def is_record_committed(self) -> bool:
        """Whether a majority of the acceptor set is known to have the record; True if there is none."""
        return not self.record.ballot_number or self.committed_set_version >= self.acceptor_set_version
