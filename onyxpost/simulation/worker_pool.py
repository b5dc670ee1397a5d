"""Worker processes that end with the command that started them."""

from __future__ import annotations

import contextlib
import multiprocessing
import signal
from concurrent.futures import ProcessPoolExecutor
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextlib.contextmanager
def worker_pool(jobs: int) -> Iterator[ProcessPoolExecutor]:
    """Provides a pool of processes; if its body raises, the processes are ended and not waited for."""
    context = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(jobs, mp_context=context, initializer=_configure_signals)
    try:
        yield pool
    except BaseException:
        for process in multiprocessing.active_children():
            process.terminate()
        pool.shutdown(wait=False, cancel_futures=True)
        raise
    pool.shutdown()


def _configure_signals() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent handles an interrupt
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
