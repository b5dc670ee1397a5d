"""Reads from proxied bytes which fenced calls nodes send. No I/O."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

from onyxpost.simulation.multiprocess.history import FencedCallSent
from onyxpost.simulation.multiprocess.tcp_proxy import TransferStage

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.run_context import RunContext
    from onyxpost.simulation.multiprocess.tcp_proxy import Transfer

CALL_PATTERN = re.compile(rb"POST /acts/(\S+) .*?\r\nfence: (\d+)\r\n", re.IGNORECASE | re.DOTALL)
RESOURCE = "s0"


class FencedCallObserver:
    """Records the fenced calls that fault proxies received.

    Attributes:
        chunks_sent: by node, the number of chunks of calls that its fault proxy has received.
    """

    def __init__(self, context: RunContext) -> None:
        self.context = context
        self.chunks_sent: Counter[str] = Counter()

    def observe(self, transfer: Transfer) -> None:
        """Receives all bytes of TCP from the fault proxy.

        A call is timed by its arrival in the proxy's socket.
        """
        if transfer.destination != RESOURCE or transfer.stage is not TransferStage.RECEIVED:
            return
        self.chunks_sent[transfer.source] += 1
        call = CALL_PATTERN.search(transfer.data)
        if call is not None:
            event = FencedCallSent(
                self.context.ms_before_now(transfer.unread_ms),
                node=transfer.source,
                role=call[1].decode(),
                fencing_token=int(call[2]),
            )
            self.context.record(event)
