"""Passes events to the state machine in rounds, and executes the effects that it returns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from onyxpost.core.events import TimerFired
from onyxpost.core.units import MS_PER_SECOND
from onyxpost.edge.messages import EdgeEvent, StartTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.edge.state_machine import EdgeStateMachine


class EventProcessor:
    """Collects events and processes them in rounds.

    The first event after a round schedules the next round for the next turn of the event loop.

    Attributes:
        state_machine: handles the events of a round.
        clock: the clock of the node, in ms.
        report_fault: logs an unexpected exception.
        effect_handlers: the function that executes each type of effect. If one raises an exception, this is
            reported, and the remaining effects are still executed.
        queued_events: the events of the next round.
    """

    def __init__(
        self,
        state_machine: EdgeStateMachine,
        clock: Callable[[], float],
        report_fault: Callable[[str, BaseException | None], None],
    ) -> None:
        self.state_machine = state_machine
        self.clock = clock
        self.report_fault = report_fault
        self.effect_handlers: dict[type, Callable[[Any], None]] = {StartTimer: self.start_timer}
        self.queued_events: list[EdgeEvent] = []
        self._is_round_scheduled = False

    def post(self, event: EdgeEvent) -> None:
        """Queues an event for the next round."""
        self.queued_events.append(event)
        self._schedule_round()

    def run_round(self) -> None:
        """Processes all queued events and executes the resulting effects."""
        events = self.queued_events
        self.queued_events = []
        self._is_round_scheduled = False
        for effect in self.state_machine.step(self.clock(), events):
            try:
                self.effect_handlers[type(effect)](effect)
            except Exception as error:
                self.report_fault(f"effect {type(effect).__name__}", error)
        if self.state_machine.has_deferred_events:
            self._schedule_round()

    def start_timer(self, effect: StartTimer) -> None:
        """Schedules `TimerFired` after the delay of the effect."""
        loop = asyncio.get_running_loop()
        loop.call_later(effect.delay_ms / MS_PER_SECOND, self.post, TimerFired(effect.token))

    def _schedule_round(self) -> None:
        if not self._is_round_scheduled:
            self._is_round_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_round)
