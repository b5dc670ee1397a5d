"""Limits the number of lines in the head of a client's request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from onyxpost.edge.client_connection import ClientConnection

MAX_HEAD_LINES = 100


def has_too_many_head_lines(connection: ClientConnection, data: bytes) -> bool:
    """Returns whether a head that is being received exceeds `MAX_HEAD_LINES`; counts its lines so far.

    It is checked before the head is decoded, because each line costs far more to decode than to count.
    """
    http = connection.http
    if http.their_state is not h11.IDLE:
        return False
    connection.head_line_count += data.count(b"\n")
    if connection.head_line_count <= MAX_HEAD_LINES:
        return False
    # The lines counted may include a body behind the head.
    head, _, _ = (http.trailing_data[0] + data).partition(b"\r\n\r\n")
    return head.count(b"\n") > MAX_HEAD_LINES
