"""Errors of the network code.

The caller turns them into the result of an attempt or poll, so they have no remedy for an operator.
"""

from __future__ import annotations


class TruncatedResponseError(OSError):
    """The connection ended without the complete head of a response, or with too many 1xx responses.

    Also raised for bytes that arrive before the request was sent completely, as they cannot be its response.
    """
