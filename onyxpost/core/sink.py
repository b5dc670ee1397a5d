"""The interfaces between the decision code and its host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

    from onyxpost.core.events import Event


class DecisionSink(Protocol):
    """Implemented by hosts: carries out decisions in the order in which they are made."""

    def start_attempt(self, request_id: str, server: str, timeout_ms: float, latest_start_at: float) -> None:
        """Forwards a request to a server, with a timeout.

        Args:
            request_id: the request.
            server: the server's id.
            timeout_ms: how long the attempt may take.
            latest_start_at: the time from which on the attempt must not start, in ms; `inf` for no limit.
        """

    def reject(self, request_id: str, retry_after_ms: float) -> None:
        """Answers that the request was not executed and may be sent again after `retry_after_ms`."""

    def abort(self, request_id: str) -> None:
        """Answers that the request has failed and is possibly executed."""

    def cancel_attempt(self, request_id: str, attempt_index: int) -> None:
        """Cancels an attempt whose result is not needed any more."""

    def send_peer_message(self, peer: int, body: str) -> None:
        """Sends a message with customers' usage to another node."""

    def start_timer(self, delay_ms: float, token: int) -> None:
        """Starts a timer: the host passes `TimerFired(token)` after `delay_ms`."""

    def log(self, line: str) -> None:
        """Logs a change of mode: load shedding, the ejection of a server or the end of its ejection."""

    def watch_endpoints(self) -> None:
        """Makes sure that the host watches discovery; it reports a failed poll as `EndpointPollFailed`."""

    def record_units_spent(self, customer: int, plan: str, units: int, lease: int) -> None:
        """Reports to the planners the units that a request took from a lease.

        Lease 0 stands for this node's own share. The units of a request that is rejected over a limit are
        reported with lease 0, too, as demand. `customer` is the customer's key.
        """

    def return_lease(self, lease: int, units: int) -> None:
        """Returns a lease and its remaining units to its planner."""


class DecisionMaker(Protocol):
    """Implemented by the decision code: makes all decisions of one node."""

    def handle(self, now: float, events: Iterable[Event], sink: DecisionSink) -> None:
        """Handles events in order of arrival; `now` is the host's time, in ms."""
