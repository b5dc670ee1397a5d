"""An established connection to another member of the cluster."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from onyxpost.cluster.frames import encode_frame, try_write
from onyxpost.cluster.incarnation import Incarnation
from onyxpost.cluster.protocol import Hello, Message

READ_BUFFER_BYTES = 65536  # of one read; asyncio stops reading while more than twice that waits to be handled

RunConnection = Callable[[Hello, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""Runs a connection whose hello was accepted, until it ends."""


class PeerConnection:
    """One connection, from the peer's hello on."""

    def __init__(self, hello: Hello, writer: asyncio.StreamWriter) -> None:
        self.member = hello.sender
        self.incarnation = Incarnation.parse(hello.incarnation)
        self.writer = writer
        self.end_reason = ""  # the first one given
        self.is_finished = False

    def send(self, message: Message) -> bool:
        """Returns False, with nothing sent, if the connection has ended or its buffer is full."""
        return self.send_frame(encode_frame(message))

    def send_frame(self, frame: bytes) -> bool:
        """Sends an encoded message; returns as `send`."""
        return not self.is_finished and try_write(self.writer, frame)

    def on_ended(self, reason: str) -> None:
        """The connection ended; an earlier reason stays."""
        self.end_reason = self.end_reason or reason

    def finish(self, reason: str) -> None:
        """Sends nothing more. What still arrives is discarded until the peer ends the connection."""
        self.on_ended(reason)
        self.is_finished = True
        with contextlib.suppress(OSError):
            self.writer.write_eof()

    def abort(self, reason: str) -> None:
        """Closes the connection at once; unsent data is lost."""
        self.on_ended(reason)
        with contextlib.suppress(OSError):
            self.writer.transport.abort()
