"""The virtual clock advances to the next timer at once, and a program that makes no progress is reported.

Guards against runs that hang, when a program waits for no event or never lets the time advance.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from random import Random

import pytest

from onyxpost.simulation import virtual_time


def test_sleep_advances_the_virtual_clock() -> None:
    async def main() -> float:
        await asyncio.sleep(3600.0)
        return asyncio.get_running_loop().time()

    assert virtual_time.run(main()) == pytest.approx(3600.0, abs=5e-8)


def test_program_that_waits_for_no_event_is_reported() -> None:
    async def main() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(virtual_time.SimulationStalledError):
        virtual_time.run(main())


def test_program_that_never_lets_the_time_advance_is_reported() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()

        def call_again() -> None:
            loop.call_soon(call_again)

        call_again()
        await loop.create_future()

    with pytest.raises(virtual_time.SimulationStalledError, match="the virtual time does not advance past"):
        virtual_time.run(main())


def test_no_stream_of_a_finished_run_uses_its_closed_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against streams that the garbage collector closes after the run, on CPython 3.11.6 with an error.
    gc.collect()
    unraisable: list[sys.UnraisableHookArgs] = []
    writers: list[asyncio.StreamWriter] = []

    async def main() -> None:
        network = virtual_time.Network(Random("net"))

        async def serve(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await asyncio.sleep(60.0)

        await network.host("far").listen(serve, ("far", 1), 1000, 1)
        dialed = await network.host("near").dial(("far", 1), 1000)
        writers.append(dialed.writer)
        dialed.writer.write(b"unanswered")
        await asyncio.sleep(1.0)

    virtual_time.run(main())
    assert [writer.is_closing() for writer in writers] == [True, True]
    monkeypatch.setattr(sys, "unraisablehook", unraisable.append)
    writers.clear()
    gc.collect()
    assert [error for error in unraisable if error.object is asyncio.StreamWriter.__del__] == []
