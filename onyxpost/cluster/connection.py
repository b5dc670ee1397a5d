"""An established connection to another member of the cluster."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from onyxpost.cluster.frames import encode_frame, try_write
from onyxpost.cluster.incarnation import Incarnation
from onyxpost.cluster.protocol import Hello, Message

READ_BUFFER_BYTES = 65536  # size of one read; asyncio pauses reading above twice this many unhandled bytes

RunConnection = Callable[[Hello, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""Runs a connection with an accepted hello until it ends, and raises the error that ended it."""


class PeerConnection:
    """A connection whose peer has identified itself by its hello."""

    def __init__(self, hello: Hello, writer: asyncio.StreamWriter) -> None:
        self.member = hello.sender
        self.incarnation = Incarnation.parse(hello.incarnation)
        self.writer = writer
        self.end_reason = ""  # the first reason that was given; empty while the connection is open
        self.is_write_closed = False

    def send(self, message: Message) -> bool:
        """Sends a message without waiting.

        Returns False, and sends nothing, if the connection has ended or its buffer is full.
        """
        return self.send_frame(encode_frame(message))

    def send_frame(self, frame: bytes) -> bool:
        """Sends an encoded message; returns the same as `send`."""
        return not self.is_write_closed and try_write(self.writer, frame)

    def record_end(self, reason: str) -> None:
        """Records why the connection ended, unless a reason was recorded before."""
        self.end_reason = self.end_reason or reason

    def close_write(self, reason: str) -> None:
        """Ends this node's side; received messages are discarded until the peer ends the connection."""
        self.record_end(reason)
        self.is_write_closed = True
        with contextlib.suppress(OSError):
            self.writer.write_eof()

    def abort(self, reason: str) -> None:
        """Closes the connection at once; unsent data is lost."""
        self.record_end(reason)
        with contextlib.suppress(OSError):
            self.writer.transport.abort()
