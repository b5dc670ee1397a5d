"""What an acceptor must not forget of one role: the content of a log entry. Pure."""

from __future__ import annotations

import msgspec

from onyxpost.leadership.ballots import Ballot
from onyxpost.leadership.protocol import Record


class AcceptorState(msgspec.Struct, frozen=True):
    """The promise and the acceptance of one acceptor for one role.

    `field(name=...)` gives the names on disk, which are older than those here and are kept.
    """

    role: str = msgspec.field(name="duty")
    acceptor_set_version: int = msgspec.field(name="version")
    promised: Ballot
    record: Record
    record_epoch_ms: int = msgspec.field(name="era")
    settled_version: int = msgspec.field(name="settled")

    @property
    def is_settled(self) -> bool:
        """Whether a majority of this acceptor set is known to have accepted the record, if there is one."""
        return not self.record.ballot_number or self.settled_version >= self.acceptor_set_version
