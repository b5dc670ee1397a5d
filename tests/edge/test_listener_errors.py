"""A listener goes on accepting, within a fraction of a second, after `accept()` has failed."""

from __future__ import annotations

import asyncio
import errno
import socket
from time import monotonic
from typing import TYPE_CHECKING, Any
from unittest import mock

import pytest

from onyxpost.runtime.socket_transport import SocketTransport
from tests.edge.event_loop import in_event_loop

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PAUSE_SECONDS = 0.5  # asyncio's own listener pauses for 1 s
ACCEPTS_PER_TURN = 4
FAILURES = 2 * ACCEPTS_PER_TURN
ACCEPT_ERRNOS = [
    errno.ECONNABORTED,
    errno.EINTR,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
]


def failing_accept(error_number: int) -> Callable[[socket.socket], tuple[socket.socket, Any]]:
    """Returns a replacement of `socket.accept` that fails a few times before it works."""
    remaining = FAILURES
    accept = socket.socket.accept

    def fail_or_accept(sock: socket.socket) -> tuple[socket.socket, Any]:
        nonlocal remaining
        if remaining:
            remaining -= 1
            raise OSError(error_number, "failed on purpose")
        return accept(sock)

    return fail_or_accept


@in_event_loop
@pytest.mark.parametrize("error_number", ACCEPT_ERRNOS, ids=lambda number: errno.errorcode[number])
async def test_a_client_is_served_soon_after_accept_has_failed(error_number: int) -> None:
    # Guards against requests that wait for a second behind one failed accept().
    async def greet(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"hello")
        writer.close()

    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    listener = await SocketTransport().listen(greet, ("127.0.0.1", 0), 4096, ACCEPTS_PER_TURN)
    with mock.patch.object(socket.socket, "accept", failing_accept(error_number)):
        started = monotonic()
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        assert await asyncio.wait_for(reader.read(), 5.0) == b"hello"
        assert monotonic() - started < MAX_PAUSE_SECONDS
    writer.close()
    listener.close()


@in_event_loop
async def test_a_listener_that_stopped_accepting_does_not_resume_after_a_pause() -> None:
    served: list[asyncio.StreamWriter] = []
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    transport = SocketTransport()
    listener = await transport.listen(
        lambda _, writer: served.append(writer),  # type: ignore[arg-type, return-value]
        ("127.0.0.1", 0),
        4096,
        ACCEPTS_PER_TURN,
    )
    with mock.patch.object(socket.socket, "accept", failing_accept(errno.EMFILE)):
        _, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        await asyncio.sleep(0.001)
        listener.stop_accepting()
        await asyncio.sleep(0.1)
    assert served == []
    writer.close()
    listener.close()
