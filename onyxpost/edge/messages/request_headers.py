"""Decodes the headers of client requests and encodes the answers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from onyxpost.core.types import Frontend, Idempotency
from onyxpost.core.units import MS_PER_SECOND, US_PER_MS
from onyxpost.edge.errors import RequestRejectedError
from onyxpost.edge.messages.effects import FinalAnswer, SendAnswer
from onyxpost.edge.messages.events import ClientRequest, Headers

if TYPE_CHECKING:
    import h11

    from onyxpost.config.deployment import Deployment

MAX_BODY_BYTES = 64 * 1024
MAX_INTEGER_DIGITS = 9  # numbers in headers are less than 10^9

# Headers for one connection only, which a proxy must not forward (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Not returned to clients: hop-by-hop headers, Content-Length, which this node sets itself, and the headers
# that app servers send only to edge nodes.
HEADERS_NOT_RETURNED = HOP_BY_HOP_HEADERS | {b"content-length", b"x-never-ran", b"endpoint-load-metrics"}
NON_REPEATABLE_HEADERS = (
    b"x-trace-id",
    b"plan",
    b"cookie",
    b"x-expires-in",
    b"quota-info",
    b"idempotency-key",
)
CUSTOMER_KEY = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")  # 16 hexadecimal digits of a number less than 2^33
# A duration in milliseconds (m) or microseconds (u).
DURATION_PATTERN = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,9})?)([mu])")

HeaderValues = dict[bytes, bytes]


class EncodedAnswer(NamedTuple):
    """The status, headers and body of an HTTP response to a client."""

    status: int
    headers: Headers
    body: bytes


class _RequestFields(NamedTuple):
    """The decoded headers of a request, before they are checked against the deployment."""

    trace_id: str
    plan: str
    customer_key: bytes
    units: int
    set_size: int
    first_node_index: int
    timeout_ms: float


def decode_request(
    connection_id: int, received_at: float, request: h11.Request, deployment: Deployment
) -> ClientRequest:
    """Decodes the head of a request; the body of the result is empty.

    Raises:
        RequestRejectedError: the request is malformed or does not match the deployment.
    """
    headers: Headers = list(request.headers)
    values = dict(headers)
    _check_duplicate_headers(headers, values)
    content_length = _decode_content_length(values)
    frontend = _find_frontend(request.target, deployment)
    _check_method(request.method, frontend, has_body=bool(content_length) or b"transfer-encoding" in values)
    fields = _decode_fields(values, frontend)
    _check_fields(fields, deployment)
    if frontend.idempotency is Idempotency.IDEMPOTENCY_KEY and not values.get(b"idempotency-key"):
        raise RequestRejectedError(400, "missing idempotency-key")
    return ClientRequest(
        connection_id=connection_id,
        received_at=received_at,
        trace_id=fields.trace_id,
        method=request.method,
        target=request.target,
        headers=headers,
        body=b"",
        frontend=frontend.name,
        customer=f"{int(fields.customer_key, 16):x}",
        plan=fields.plan,
        units=fields.units,
        set_size=fields.set_size,
        first_node_index=fields.first_node_index,
        timeout_ms=min(fields.timeout_ms, frontend.client_timeout_ms),
    )


def encode_answer(answer: SendAnswer) -> EncodedAnswer:
    """Encodes the final answer to a request as an HTTP response."""
    if answer.outcome is FinalAnswer.FORWARDED and answer.response is not None:
        headers = [header for header in answer.response.headers if header[0] not in HEADERS_NOT_RETURNED]
        return EncodedAnswer(200, headers, answer.response.body)
    if answer.outcome is FinalAnswer.REJECTED:
        retry_after_seconds = answer.retry_after_ms / MS_PER_SECOND
        retry_after = [(b"Retry-After", b"%.3f" % retry_after_seconds)] if retry_after_seconds > 0.0 else []
        return EncodedAnswer(429, retry_after, b"")
    return EncodedAnswer(502, [], b"")


def _check_duplicate_headers(headers: Headers, values: HeaderValues) -> None:
    if len(values) == len(headers):
        return
    names = [name for name, _ in headers]
    if any(names.count(name) > 1 for name in NON_REPEATABLE_HEADERS):
        raise RequestRejectedError(400, "a header twice")


def _decode_content_length(values: HeaderValues) -> int:
    # Servers may disagree on which of two lengths applies, which can hide a second request in a body
    # (request smuggling).
    if b"transfer-encoding" in values and b"content-length" in values:
        raise RequestRejectedError(400, "two lengths", is_framing_unknown=True)
    content_length = int(values.get(b"content-length", 0))
    if content_length > MAX_BODY_BYTES:
        raise RequestRejectedError(413, "body over 64 KiB")
    return content_length


def _find_frontend(target: bytes, deployment: Deployment) -> Frontend:
    """Returns the frontend that the first segment of the path names."""
    path = target.split(b"?", 1)[0]
    first_segment = path.split(b"/", 2)[1:2]
    for frontend in deployment.frontends:
        if first_segment == [frontend.name.encode()]:
            return frontend
    raise RequestRejectedError(404, "unknown frontend")


def _check_method(method: bytes, frontend: Frontend, has_body: bool) -> None:
    expected = b"GET" if frontend.idempotency is Idempotency.IDEMPOTENT else b"POST"
    if method != expected:
        raise RequestRejectedError(405, "not this frontend's method")
    if method == b"GET" and has_body:
        raise RequestRejectedError(400, "a body where there is none")


def _decode_fields(values: HeaderValues, frontend: Frontend) -> _RequestFields:
    try:
        trace_id = values[b"x-trace-id"].decode("ascii")
        plan = values[b"plan"].decode("ascii")
        customer_key = _decode_cookie(values[b"cookie"], b"key")
        quota = dict(_split_pair(part) for part in values[b"quota-info"].split(b","))
        units = _decode_integer(quota[b"units"])
        set_size = _decode_integer(quota[b"spread"])
        first_node_index = _decode_integer(quota[b"first"])
        timeout_ms = frontend.client_timeout_ms
        if b"x-expires-in" in values:
            timeout_ms = _decode_duration_ms(values[b"x-expires-in"])
    except KeyError as error:
        raise RequestRejectedError(400, f"missing {str(error)[:40]}") from error
    except (ValueError, UnicodeDecodeError) as error:
        raise RequestRejectedError(400, f"malformed header: {str(error)[:60]}") from error
    return _RequestFields(trace_id, plan, customer_key, units, set_size, first_node_index, timeout_ms)


def _check_fields(fields: _RequestFields, deployment: Deployment) -> None:
    if not fields.trace_id or not CUSTOMER_KEY.fullmatch(fields.customer_key) or not fields.timeout_ms > 0.0:
        raise RequestRejectedError(400, "malformed header")
    max_units = deployment.max_request_units or fields.units
    are_units_in_range = 0 < fields.units <= max_units
    is_set_size_in_range = 0 < fields.set_size <= deployment.node_count
    if not (are_units_in_range and is_set_size_in_range and fields.first_node_index < deployment.node_count):
        raise RequestRejectedError(400, "quota-info out of range")
    if not any(plan.name == fields.plan for plan in deployment.plans):
        raise RequestRejectedError(400, "unknown plan")


def _decode_cookie(header: bytes, name: bytes) -> bytes:
    return dict(_split_pair(part) for part in header.split(b";") if b"=" in part)[name]


def _split_pair(part: bytes) -> tuple[bytes, bytes]:
    name, _, value = part.partition(b"=")
    return name.strip(), value.strip()


def _decode_integer(text: bytes) -> int:
    """Decodes decimal digits; `int` alone would also accept a sign, blanks and underscores."""
    if not text.isdigit() or len(text) > MAX_INTEGER_DIGITS:
        raise ValueError(f"no number: {text[:20]!r}")
    return int(text)


def _decode_duration_ms(text: bytes) -> float:
    duration = DURATION_PATTERN.fullmatch(text)
    if duration is None:
        raise ValueError("x-expires-in")
    return float(duration[1]) / (1.0 if duration[2] == b"m" else US_PER_MS)
