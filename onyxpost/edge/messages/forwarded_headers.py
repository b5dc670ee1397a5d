"""Encodes requests to app servers and classifies their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import h11

from onyxpost.core.types import AttemptResult
from onyxpost.core.units import US_PER_MS
from onyxpost.edge.messages.request_headers import HOP_BY_HOP_HEADERS

if TYPE_CHECKING:
    from onyxpost.edge.messages.events import ClientRequest

# Not forwarded to app servers: hop-by-hop headers, those that this node sets itself (Content-Length,
# X-Expires-In), Expect, which this node answers, and those with the customer's key, plan and quota. Cookie
# contains the key and is dropped as a whole, including any cookies of the app.
HEADERS_NOT_FORWARDED = HOP_BY_HOP_HEADERS | {
    b"content-length",
    b"expect",
    b"cookie",
    b"plan",
    b"quota-info",
    b"x-expires-in",
}
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
NEVER_EXECUTED_HEADER = (b"x-never-ran", b"1")


class ForwardedRequest(NamedTuple):
    """A request in the form that is sent to an app server."""

    head: h11.Request
    body: bytes


def forwarded_request(request: ClientRequest, remaining_ms: float) -> ForwardedRequest:
    """Encodes a client's request for an app server.

    The header X-Expires-In is set to the time for which this node waits, in microseconds.
    """
    headers = [header for header in request.headers if header[0] not in HEADERS_NOT_FORWARDED]
    headers.append((b"X-Expires-In", b"%du" % max(1, round(remaining_ms * US_PER_MS))))
    if request.body or request.method != b"GET":
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    return ForwardedRequest(head, request.body)


def attempt_result(response: h11.Response) -> AttemptResult:
    """Returns the result of an attempt from its complete response.

    Only the header X-Never-Ran with status 503 or 504 proves that the server has not executed the request.
    """
    if response.status_code == STATUS_OK:
        return AttemptResult.OK
    is_unavailable = response.status_code in (STATUS_UNAVAILABLE, STATUS_TIMEOUT)
    if is_unavailable and NEVER_EXECUTED_HEADER in list(response.headers):
        return AttemptResult.FULL
    return AttemptResult.ERROR
