"""Reserved ports are not given to other runs, and are free again after release or the end of the process."""

from __future__ import annotations

import subprocess
import sys
from random import Random

import pytest

from onyxpost.simulation.free_ports import NoFreePortsError, find_restartable_ports
from onyxpost.simulation.multiprocess import port_reservation
from onyxpost.simulation.multiprocess.port_reservation import PortReservation

# The tests reserve ports of one seed; side by side, they would see each other's reservations.
pytestmark = pytest.mark.xdist_group("port reservation")

SEED = 7
COUNT = 5
RESERVE_AND_WAIT = f"""
from random import Random
from onyxpost.simulation.multiprocess.port_reservation import PortReservation
reservation = PortReservation({COUNT}, Random({SEED}))
print(*reservation.ports, flush=True)
input()
"""


def test_ports_of_another_process_are_not_given_until_it_ends() -> None:
    command = [sys.executable, "-c", RESERVE_AND_WAIT]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) as other:
        assert other.stdout is not None
        other_ports = [int(port) for port in other.stdout.readline().split()]
        own = PortReservation(COUNT, Random(SEED))
        assert len(own.ports) == COUNT
        assert set(own.ports).isdisjoint(other_ports)
        own.release()
        other.kill()
    again = PortReservation(COUNT, Random(SEED))
    assert again.ports == other_ports
    again.release()


def test_released_ports_are_given_again() -> None:
    first = PortReservation(COUNT, Random(SEED))
    first.release()
    second = PortReservation(COUNT, Random(SEED))
    assert second.ports == first.ports
    second.release()


def test_too_few_unreserved_ports_are_an_error_and_leave_none_reserved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    (only_port,) = find_restartable_ports(1, Random(SEED))
    monkeypatch.setattr(port_reservation, "find_restartable_ports", lambda _count, _rng: [only_port])
    with pytest.raises(NoFreePortsError):
        PortReservation(2, Random(SEED))
    single = PortReservation(1, Random(SEED))
    assert single.ports == [only_port]
    single.release()
