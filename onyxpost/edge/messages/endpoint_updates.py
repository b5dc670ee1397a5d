"""Decodes the lists of endpoints that discovery sends."""

from __future__ import annotations

from typing import Any, Literal

from onyxpost.config.address import Address, parse_address
from onyxpost.config.decoding import Settings, decode_as
from onyxpost.core.types import EndpointState, EndpointStatus
from onyxpost.edge.errors import InvalidEndpointUpdateError
from onyxpost.edge.messages.events import EndpointUpdate
from onyxpost.errors import InvalidAddressError, InvalidInputError

LIFECYCLE_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.GONE,
}


class WireEndpoint(Settings, rename="camel"):
    """An endpoint in the encoding of discovery."""

    instance_id: str
    lifecycle: Literal["up", "draining", "removed"]
    host_port: str | None = None
    zone: str | None = None
    cell: int | None = None
    weight: float | None = None
    started_at_ms: float | None = None


class WireEndpointUpdate(Settings):
    """A list of endpoints in the encoding of discovery; `reset` marks a complete list."""

    generation: int
    instances: list[WireEndpoint]
    reset: bool = False


def decode_endpoint_update(data: Any) -> EndpointUpdate:  # noqa: ANN401 - any decoded JSON value
    """Decodes a list of endpoints from JSON text or from a decoded JSON value.

    Raises:
        InvalidEndpointUpdateError: the value is not a valid list of endpoints.
    """
    try:
        return build_endpoint_update(decode_as(data, WireEndpointUpdate, "list of endpoints"))
    except InvalidInputError as error:
        raise InvalidEndpointUpdateError(error.message, "list of endpoints") from error


def build_endpoint_update(update: WireEndpointUpdate, path: str = "$") -> EndpointUpdate:
    """Converts a list of endpoints to an update.

    Args:
        update: the list.
        path: the path of the list in its file, for error messages.

    Raises:
        InvalidAddressError: an endpoint's address is invalid.
    """
    addresses: dict[str, Address] = {}
    for index, endpoint in enumerate(update.instances):
        if endpoint.host_port:
            try:
                addresses[endpoint.instance_id] = parse_address(endpoint.host_port)
            except InvalidAddressError as error:
                key = f"{path}.instances[{index}].hostPort"
                raise InvalidAddressError(f"{error.message} - at `{key}`") from error
    statuses = [_endpoint_status(endpoint) for endpoint in update.instances]
    return EndpointUpdate(update.generation, update.reset, statuses, addresses)


def _endpoint_status(endpoint: WireEndpoint) -> EndpointStatus:
    return EndpointStatus(
        endpoint.instance_id,
        endpoint.zone or "",
        endpoint.cell or 0,
        LIFECYCLE_STATES[endpoint.lifecycle],
        1.0 if endpoint.weight is None else endpoint.weight,
        endpoint.started_at_ms or 0.0,
    )
