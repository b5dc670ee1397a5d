"""Dispatches events by their type."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from onyxpost.core.events import Event
    from onyxpost.core.sink import DecisionSink

EventT = TypeVar("EventT")
EventHandler = Callable[[float, EventT, "DecisionSink"], None]  # arguments: time in ms, event, sink


class EventDispatcher:
    """Calls the handlers of an event's type in the order of their registration."""

    def __init__(self) -> None:
        self._handlers: dict[type[Any], list[EventHandler[Any]]] = {}

    def register(self, event_type: type[EventT], *handlers: EventHandler[EventT]) -> None:
        """Appends handlers for events of one type."""
        self._handlers.setdefault(event_type, []).extend(handlers)

    def handled_types(self) -> set[type[Any]]:
        """Returns the types of events that have handlers."""
        return set(self._handlers)

    def dispatch(self, now: float, event: Event, sink: DecisionSink) -> None:
        """Calls the handlers of one event.

        Raises:
            KeyError: no handler is registered for its type.
        """
        for handler in self._handlers[type(event)]:
            handler(now, event, sink)
