"""An event loop that closes the connections which are still open when it is closed itself.

A stream that outlives its loop is closed by the garbage collector. On CPython 3.11.6 this raises, and pytest
parses source code to report it. If the collector has interrupted a parser, this fails with a SystemError.
"""

from __future__ import annotations

import asyncio
from typing import Any


class ClosingEventLoop(asyncio.SelectorEventLoop):
    """Resets all open connections when it is closed."""

    def close(self) -> None:
        if not self.is_closed():
            loop: Any = self
            for transport in list(loop._transports.values()):  # by file descriptor
                transport.abort()
            self.run_until_complete(asyncio.sleep(0.0))  # notifies the protocols
        super().close()


class ClosingEventLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes `ClosingEventLoop` the loop of `asyncio.run`."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return ClosingEventLoop()
