"""Errors of the edge node.

Errors without a remedy are not shown to operators, but become the answer to a client.
"""

from __future__ import annotations

from onyxpost.errors import InvalidInputError


class InvalidEndpointUpdateError(InvalidInputError):
    """The answer of discovery is not a valid list of endpoints and is rejected as a whole."""

    remedy = (
        "check the answer of the discovery agent to GET /v1/servers; the node keeps its current endpoints"
    )


class DiscoveryOverloadedError(InvalidInputError):
    """Discovery answered with a status other than 200, usually because it receives too many polls.

    An overloaded discovery answers with 503; other statuses have other causes, but are handled alike. Nodes
    have to wait before the next poll, as discovery stays overloaded if all nodes poll again at once.
    """

    remedy = (
        "status 503: wait 20 s while the node polls again; if it persists, increase the capacity of "
        "discovery; other statuses: check that `discovery` is the address of a discovery agent or service"
    )


class InsufficientMemoryError(InvalidInputError):
    """The memory that a node may use does not suffice for the node itself and a few hundred clients."""

    remedy = (
        "raise limits.memory_mb in the node's file, and the memory that the process gets, to the named value"
    )


class RequestRejectedError(Exception):
    """A client's request is invalid and is not forwarded.

    Attributes:
        status: the HTTP status of the answer.
        is_framing_unknown: whether the end of the request is unknown, so that its connection must be closed.
    """

    def __init__(self, status: int, reason: str, *, is_framing_unknown: bool = False) -> None:
        super().__init__(reason)
        self.status = status
        self.is_framing_unknown = is_framing_unknown
