"""How the decision code and its host call each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

    from onyxpost.core.events import Event


class DecisionSink(Protocol):
    """Carries out decisions, in the order in which they are made. Durations are milliseconds."""

    def start_attempt(self, request_id: str, server: str, timeout_ms: float, begin_before: float) -> None:
        """Forwards a request to a server, for `timeout_ms`; nothing is sent from `begin_before` (ms) on."""

    def reject(self, request_id: str, retry_after_ms: float) -> None:
        """Answers that the request was not executed and may be sent again after `retry_after_ms`."""

    def abort(self, request_id: str) -> None:
        """Answers that the request failed and may have been executed."""

    def cancel_attempt(self, request_id: str, attempt_index: int) -> None:
        """Ends an attempt whose result is of no use any more."""

    def send_peer_message(self, peer: int, body: str) -> None:
        """Sends one message with counts of customers' usage to another node."""

    def start_timer(self, delay_ms: float, token: int) -> None:
        """Delivers `TimerFired(token)` after `delay_ms`."""

    def log(self, line: str) -> None:
        """Logs a change of mode."""

    def watch_endpoints(self) -> None:
        """Asks discovery for changes of endpoints."""

    def report_units_spent(self, customer: int, plan: str, units: int, lease: int) -> None:
        """Reports units that a request took from a lease, or from this node's own share (lease 0).

        Units that a request rejected over its quota lacked are reported with lease 0, too.
        """

    def return_lease(self, lease: int, units: int) -> None:
        """Gives a lease back with the units that are left of it."""


class DecisionMaker(Protocol):
    """Makes all decisions of one node."""

    def handle(self, now: float, events: Iterable[Event], sink: DecisionSink) -> None:
        """Handles events in their order of arrival; `now` is the host's time in ms."""
