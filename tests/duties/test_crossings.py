"""Duties where two events cross: an end, a move, a lost lease or disk, and what is on its way just then."""

import asyncio
import unittest

from onyxpost.duties.candidate import Phase
from onyxpost.lab import virtual
from onyxpost.lab.explore.town import Town


class Ends(unittest.TestCase):
    def test_one_told_to_end_before_it_hears_that_it_has_the_duty_hands_it_on_at_once(self) -> None:
        for phase in (Phase.PREPARING, Phase.TAKING):

            async def main(phase: Phase = phase) -> None:
                town = Town(1, 5)
                await town.start()
                await asyncio.sleep(5.0)
                first = town.holders("d0")[0]
                await town.kill(first)
                asking: list[str] = []
                while not asking:
                    await asyncio.sleep(0.0001)
                    seats = {name: node.duties.table.seats["d0"] for name, node in town.nodes.items()}
                    asking = [name for name, seat in seats.items() if seat.candidate.phase is phase]
                await asyncio.sleep(0.002)  # its words are on their way, no answer is here
                self.assertIs(seats[asking[0]].candidate.phase, phase)
                await town.leave(asking[0])
                begun = town.now()
                await town.until_held("d0")
                self.assertLess(town.now() - begun, 250.0)
                await town.close()
                assert not town.overlaps and town.fences_grow()

            with self.subTest(phase=phase):
                virtual.run(main())
