"""The edge node's errors.

Those without a remedy are not shown to operators: they become a client's answer or an attempt's result.
"""

from __future__ import annotations

from onyxpost.errors import InvalidInputError


class InvalidEndpointUpdateError(InvalidInputError):
    """Discovery answered, but not with a list of servers: the whole answer is rejected."""

    remedy = (
        "check what discovery's agent answers to GET /v1/servers; the node keeps the endpoints that it has"
    )


class DiscoveryOverloadedError(InvalidInputError):
    """Discovery answered with a status other than 200, as it does with more polls than it can answer.

    It stays overloaded if all nodes poll again at once.
    """

    remedy = "wait 20 s, the node polls again by itself; if it lasts, give discovery more capacity"


class RequestRejectedError(Exception):
    """A client's request is invalid, and nothing of it is forwarded.

    Attributes:
        status: the HTTP status of the answer.
        framing_unknown: where the request ends is unknown, so its connection has to be closed.
    """

    def __init__(self, status: int, reason: str, *, framing_unknown: bool = False) -> None:
        super().__init__(reason)
        self.status = status
        self.framing_unknown = framing_unknown
