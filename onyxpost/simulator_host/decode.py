"""Decodes the simulator's events: translates names and units, and fills in defaults."""

from __future__ import annotations

from typing import TYPE_CHECKING

from onyxpost.config import deployment
from onyxpost.core.customer_name import key_of_name
from onyxpost.core.events import (
    AttemptFinished,
    EndpointPollFailed,
    EndpointsUpdated,
    Event,
    PeerMessageReceived,
    RequestArrived,
    RequestCancelled,
    ResponseStarted,
    TimerFired,
)
from onyxpost.core.types import AttemptResult, EndpointState, EndpointStatus
from onyxpost.simulator_host.errors import WireError
from onyxpost.simulator_host.units import to_millis

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.config.decoding import JsonObject
    from onyxpost.policy.gateway import Gateway

START_EVENT = "Attach"
STOP_EVENT = "Teardown"
UNUSED_EVENTS = ("Total", "CheckResult")  # replies to queries that the gateway never sends

# Values of `scope` in an update of endpoints; all other values mark an update with all endpoints.
CHANGED_ENDPOINTS_SCOPE = 0  # the update contains only endpoints that changed
POLL_FAILED_SCOPE = 3  # a poll of discovery failed

ATTEMPT_RESULTS = {
    "delivered": AttemptResult.OK,
    "app_error": AttemptResult.ERROR,
    "shed": AttemptResult.FULL,
    "expired": AttemptResult.EXPIRED,
    "dial_failed": AttemptResult.NO_CONNECTION,
    "dropped": AttemptResult.LOST,
    "revoked": AttemptResult.CANCELLED,
    "unused": AttemptResult.UNUSED,
}
ENDPOINT_STATES = {1: EndpointState.READY, 2: EndpointState.DRAINING, 0: EndpointState.GONE}


def build_gateway(now: float, fields: JsonObject) -> Gateway:
    """Builds the gateway of a starting node from the fields of its start event.

    Raises:
        WireError: a field is missing.
        InvalidInputError: a value of the settings is invalid.
    """
    try:
        return deployment.decode_deployment(fields["params"]).build_gateway(now, fields["init_seed"])
    except KeyError as err:
        raise WireError(f"missing field {err}", START_EVENT) from err


def decode_event(name: str, fields: JsonObject) -> Event | None:
    """Decodes an event; returns None if the gateway does not use events of this name.

    Raises:
        WireError: the event is unknown or malformed.
    """
    if name in UNUSED_EVENTS:
        return None
    if name not in EVENT_DECODERS:
        raise WireError(f"unknown event {name}")
    try:
        return EVENT_DECODERS[name](fields)
    except (KeyError, TypeError, ValueError) as err:
        raise WireError(f"missing or invalid field ({type(err).__name__}: {err})", name) from err


def _decode_endpoint(row: JsonObject) -> EndpointStatus:
    return EndpointStatus(
        server=row["server"],
        zone=row.get("zone", ""),
        cell=row.get("cohort", 0),
        state=ENDPOINT_STATES[row.get("condition", 0)],
        weight=row.get("scale", 1.0),
        started_at=to_millis(row.get("up_since_us", 0)),
    )


def _decode_endpoints(fields: JsonObject) -> Event:
    scope = fields.get("scope", CHANGED_ENDPOINTS_SCOPE)
    if scope == POLL_FAILED_SCOPE:
        return EndpointPollFailed()
    endpoints = [_decode_endpoint(row) for row in fields.get("rows", [])]
    return EndpointsUpdated(scope != CHANGED_ENDPOINTS_SCOPE, endpoints)


def _decode_attempt_finished(fields: JsonObject) -> Event:
    return AttemptFinished(
        request_id=fields["ref"],
        attempt_index=fields.get("round_no", 0),
        result=ATTEMPT_RESULTS[fields["rc"]],
        latency_ms=to_millis(fields.get("wait_time_us", 0)),
        is_request_finished=fields.get("settled", False),
        actual_units=fields.get("actual", 0),
    )


def _decode_request(fields: JsonObject) -> Event:
    return RequestArrived(
        request_id=fields["ref"],
        deadline=to_millis(fields["give_up_at_us"]),
        frontend=fields["cls"],
        customer=key_of_name(fields.get("user_key", "")),
        plan=fields.get("tariff", ""),
        units=fields.get("cost_units", 1),
        set_size=fields.get("spread", 1),
        first_node_index=fields.get("first_door", 0),
    )


EVENT_DECODERS: dict[str, Callable[[JsonObject], Event]] = {
    "Accept": _decode_request,
    "Completed": _decode_attempt_finished,
    "CancelledByClient": lambda fields: RequestCancelled(fields["ref"]),
    "Headers": lambda fields: ResponseStarted(fields["ref"]),
    "Sync": _decode_endpoints,
    "TimeoutFired": lambda fields: TimerFired(fields["nonce"]),
    "Message": lambda fields: PeerMessageReceived(fields["src_peer"], fields.get("body", "")),
}
