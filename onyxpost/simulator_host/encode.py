"""Encodes the gateway's decisions as actions of the simulator."""

from __future__ import annotations

from typing import Any

from onyxpost.simulator_host.units import to_micros

Action = dict[str, dict[str, Any]]  # one item: the action's name in the protocol, and its fields


class ActionWriter:
    """Implements `onyxpost.core.sink.DecisionSink` for one simulated node: appends actions to a reply."""

    def __init__(self, node: int, output: list[Action]) -> None:
        self._node = node
        self._output = output

    def _write(self, name: str, **fields: str | int) -> None:
        self._output.append({name: {"node_id": self._node, **fields}})

    def start_attempt(self, request_id: str, server: str, timeout_ms: float, latest_start_at: float) -> None:  # noqa: ARG002 - the simulator starts attempts at once
        """Forwards a request to an app server."""
        self._write("SubmitTo", ref=request_id, server=server, give_up_after_us=to_micros(timeout_ms))

    def reject(self, request_id: str, retry_after_ms: float) -> None:
        """Answers that the request was rejected and never executed."""
        self._write("Reject", ref=request_id, backoff_us=to_micros(retry_after_ms))

    def abort(self, request_id: str) -> None:
        """Answers that the request failed and was possibly executed."""
        self._write("EndFailed", ref=request_id)

    def cancel_attempt(self, request_id: str, attempt_index: int) -> None:
        """Cancels an attempt whose result is no longer needed."""
        self._write("UndoSend", ref=request_id, round_no=attempt_index)

    def send_peer_message(self, peer: int, body: str) -> None:
        """Sends a message to another edge node."""
        self._write("Post", peer=peer, body=body)

    def start_timer(self, delay_ms: float, token: int) -> None:
        """Starts a timer that delivers `TimerFired(token)` after `delay_ms`."""
        self._write("After", offset_us=to_micros(delay_ms), nonce=token)

    def log(self, line: str) -> None:
        """Logs a line, such as a change of the load-shedding mode."""
        self._write("Emit", what=line)

    def watch_endpoints(self) -> None:
        """Subscribes to endpoint updates."""
        self._write("KeepInformed", active=True)

    def record_units_spent(self, customer: int, plan: str, units: int, lease: int) -> None:
        """Does nothing: the simulator has no planners."""

    def return_lease(self, lease: int, units: int) -> None:
        """Does nothing: the simulator has no leases."""

    def report_fault(self, text: str) -> None:
        """Reports an unexpected exception in the decision code."""
        self._write("Bug", what=text)
