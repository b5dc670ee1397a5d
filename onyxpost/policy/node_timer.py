"""The timer that drives all periodic decisions of a node."""

from onyxpost.core.events import TimerFired
from onyxpost.core.sink import DecisionSink


class NodeTimer:
    """Starts the timer anew each time it fires."""

    TICK_MS = 50.0  # between two events of the timer
    TOKEN = 0  # the node has only this timer

    def start(self, sink: DecisionSink) -> None:
        """Starts the timer."""
        sink.start_timer(self.TICK_MS, self.TOKEN)

    def on_timer(self, _now: float, _event: TimerFired, sink: DecisionSink) -> None:
        """Starts the timer for the next tick."""
        self.start(sink)
