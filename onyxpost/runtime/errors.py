"""Errors of the plumbing. They become the result of an attempt or poll and are not shown to operators."""

from __future__ import annotations


class TruncatedResponseError(OSError):
    """The connection ended before a complete response was received, or the response has no known end."""
