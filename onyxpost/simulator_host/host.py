"""Hosts one gateway per simulated node and passes each batch of events to the gateways."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING

from onyxpost.errors import InvalidInputError
from onyxpost.simulator_host import decode
from onyxpost.simulator_host.encode import Action, ActionWriter
from onyxpost.simulator_host.errors import WireError
from onyxpost.simulator_host.units import to_millis

if TYPE_CHECKING:
    from onyxpost.config.decoding import JsonObject
    from onyxpost.core.events import Event
    from onyxpost.policy.gateway import Gateway

NamedEvent = tuple[str, "JsonObject"]  # the event's name in the protocol, and its fields


class Host:
    """Runs the gateways of all simulated nodes.

    Attributes:
        gateways: the gateways of the nodes that have started, by node id.
    """

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}

    def handle_message(self, message: JsonObject) -> dict[str, list[Action]]:
        """Handles one message and returns the reply.

        Args:
            message: a time and a batch of events, which may be of several nodes.

        Raises:
            WireError: the message is malformed, or the settings of a starting node are invalid.
        """
        try:
            now = to_millis(message["at_time_us"])
            events_by_node: dict[int, list[NamedEvent]] = {}
            for event in message["news"]:
                ((name, fields),) = event.items()
                events_by_node.setdefault(fields["node_id"], []).append((name, fields))
        except (KeyError, TypeError, ValueError, AttributeError) as err:
            raise WireError(
                f"expected `at_time_us` and `news`, events with `node_id`: {type(err).__name__}: {err}"
            ) from err
        output: list[Action] = []
        for node, events in events_by_node.items():
            self._handle_node_events(node, now, events, ActionWriter(node, output))
        return {"output": output}

    def _handle_node_events(
        self, node: int, now: float, events: list[NamedEvent], actions: ActionWriter
    ) -> None:
        try:
            self._handle_events(node, now, events, actions)
        except WireError:
            raise
        except InvalidInputError as err:
            raise WireError(err.message, err.location) from err
        except Exception as err:  # reported to the simulator, which continues
            frame = traceback.extract_tb(err.__traceback__)[-1]
            actions.report_fault(f"{type(err).__name__}: {err} ({frame.name}, line {frame.lineno})")

    def _handle_events(self, node: int, now: float, events: list[NamedEvent], actions: ActionWriter) -> None:
        """Splits the events at each start and stop, so that each incarnation gets only its own events."""
        batch: list[Event] = []
        gateway = self.gateways.get(node)
        for name, fields in events:
            if name not in (decode.START_EVENT, decode.STOP_EVENT):
                event = decode.decode_event(name, fields)
                if event is not None:
                    batch.append(event)
                continue
            if gateway is not None and batch:
                gateway.handle(now, batch, actions)
            batch = []
            gateway = decode.build_gateway(now, fields) if name == decode.START_EVENT else None
            if gateway is None:
                self.gateways.pop(node, None)
            else:
                self.gateways[node] = gateway
        if gateway is not None:
            gateway.handle(now, batch, actions)
