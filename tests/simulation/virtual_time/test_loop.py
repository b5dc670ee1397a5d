"""The virtual clock advances to the next timer at once, and a program that makes no progress is reported.

Guards against runs that hang, when a program waits for no event or never lets the time advance.
"""

from __future__ import annotations

import asyncio

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
