"""Errors of the network code.

The caller turns them into the result of an attempt or poll, so they have no remedy for an operator.
"""

from __future__ import annotations


class TruncatedResponseError(OSError):
    """No complete response to the request was received, or the end of the response cannot be determined.

    Also raised for bytes that arrive before the request was sent completely, as they cannot be its response.
    """
