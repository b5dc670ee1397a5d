"""A pool of worker processes that do not outlive the command that started them."""

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
    """Yields a process pool; if the body raises, terminates the processes without waiting for their tasks."""
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
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent process handles interrupts
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
