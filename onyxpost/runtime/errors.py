"""Errors of the network code.

The caller turns them into the result of an attempt or poll, so they have no remedy for an operator.
"""

from __future__ import annotations


class TruncatedResponseError(OSError):
    """The connection ended before a complete response was received, or its end cannot be determined."""
