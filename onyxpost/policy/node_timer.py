"""The periodic timer of a node, which drives all decisions that depend on time."""

from onyxpost.core.events import TimerFired
from onyxpost.core.sink import DecisionSink


class NodeTimer:
    """Keeps the timer running by restarting it each time it fires."""

    # Period of this timer. Unlike this, `GatewayOptions.tick_ms` is the resolution of the host's timers.
    TICK_MS = 50.0
    TOKEN = 0  # identifies the timer; a node has only this one

    def start(self, sink: DecisionSink) -> None:
        """Starts the timer for one period."""
        sink.start_timer(self.TICK_MS, self.TOKEN)

    def on_timer(self, _now: float, _event: TimerFired, sink: DecisionSink) -> None:
        """Starts the timer for the next period."""
        self.start(sink)
