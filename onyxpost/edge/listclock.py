"""One clock for lists: how long a question is waited for, when the next is asked, when missed news counts.

Pure: times come in (ms), times go out. The rules are the protocol's: a watch that has fallen silent is
broken and begun anew; what it missed counts as told 6 s after the silence began, for a call that may wait
2 s after its wait, if that is later, arrived or not. What discovery itself turned away is a failed call:
where lists are asked for, nothing counts as told for as long as the settings give after one.
"""

from __future__ import annotations

from enum import Enum
from random import Random

SILENT = 6000.0  # ms after which what a silence hid counts as told
PAST_WAIT = 2000.0  # ms past the wait of a call that may wait, if that is later
MOVED = 4000.0  # ms after SIGHUP from which on what the new agent holds counts
ANSWER = 2000.0  # ms that the question begun anew may take: discovery gives up on one itself after that
WAIT = SILENT - ANSWER - 1000.0  # ms that a watch may wait: an agent that lives answers within 1 s of it
AGAIN = 100.0  # ms before the next question: within the 200 ms that keep a watch
# ms over which questions after one turned away are strewn: asked again in step by all they would be turned
# away for ever. It doubles with each further one turned away, within what the settings give a failed call.
SPREAD, SPREAD_MOST = 4000.0, 16000.0


class Failure(Enum):
    """How a question came to nothing."""

    SILENT = "silent"  # no answer in its time; silent again when asked anew, discovery is down
    AWAY = "away"  # no connection, or it ended: nobody is there who could hold news
    SPOILT = "spoilt"  # an answer that is none: who gave it may hold news
    TURNED_AWAY = "turned away"  # discovery has more questions than it can answer


class ListClock:
    """One watch's. `failed_call`: ms that the settings give after a failed call; 0 where lists are pushed."""

    def __init__(self, chance: Random, failed_call: float = 0.0) -> None:
        self.chance, self.failed_call = chance, failed_call
        self.spread = SPREAD
        self.asked_at = 0.0
        self.silent = False  # the last question was not answered in its time
        self.counts_at: float | None = None  # when what is hidden since the last answer counts as told
        self.stale_at: float | None = None  # from then on news may count as told that has not come

    def asked(self, now: float, wait: float, moved: bool = False) -> float:
        """A question that may wait for `wait` ms is put; `moved`: to the agent that a SIGHUP has just named.
        How long to wait for its answer, so that one begun anew can be answered before news counts as told."""
        counts = MOVED if moved else max(SILENT, wait + PAST_WAIT)
        self.asked_at = now
        if self.counts_at is None:
            self.counts_at = now + counts
        return counts - ANSWER

    def answered(self) -> None:
        self.spread, self.silent, self.counts_at, self.stale_at = SPREAD, False, None, None

    def failed(self, now: float, failure: Failure) -> float:
        """ms until the next question."""
        before, self.silent = self.silent, failure is Failure.SILENT
        if failure in (Failure.SILENT, Failure.AWAY):
            if before or failure is Failure.AWAY:
                # Who is down learns nothing, so nothing counts as told meanwhile; one silence is not that.
                self.counts_at = self.stale_at = None
            return AGAIN
        if failure is Failure.TURNED_AWAY and self.failed_call:
            self.stale_at = self.asked_at + self.failed_call
        elif self.stale_at is None:
            self.stale_at = self.counts_at
        if failure is Failure.SPOILT:
            return AGAIN
        spread, self.spread = self.spread, min(SPREAD_MOST, 2.0 * self.spread)
        left = (self.stale_at or now) - ANSWER - now  # the next answer is to be here by then
        return self.chance.uniform(AGAIN, min(spread, left) if left > AGAIN else SPREAD)

    def stale_in(self, now: float) -> float | None:
        """ms until news may count as told that has not come; None: that is not to be feared."""
        return None if self.stale_at is None else max(0.0, self.stale_at - now)
