"""Free ports can be bound; restartable ports lie outside the range that clients are assigned."""

from __future__ import annotations

import socket
from random import Random

import pytest

from onyxpost.simulation.free_ports import (
    LOOPBACK,
    RESTARTABLE_PORTS,
    NoFreePortsError,
    find_free_ports,
    find_restartable_ports,
)


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM], ids=["tcp", "udp"])
def test_free_ports_differ_and_can_be_bound(kind: socket.SocketKind) -> None:
    ports = find_free_ports(5, kind)
    assert len(set(ports)) == 5
    with socket.socket(socket.AF_INET, kind) as bound:
        bound.bind((LOOPBACK, ports[0]))


def test_restartable_ports_differ_and_are_below_the_ephemeral_ports() -> None:
    ports = find_restartable_ports(20, Random(1))
    assert len(set(ports)) == 20
    first, last = RESTARTABLE_PORTS
    assert all(first <= port < last for port in ports)


def test_port_that_is_in_use_is_not_found(monkeypatch: pytest.MonkeyPatch) -> None:
    (port,) = find_restartable_ports(1, Random(2))
    monkeypatch.setattr("onyxpost.simulation.free_ports.RESTARTABLE_PORTS", (port, port + 1))
    with socket.socket(type=socket.SOCK_DGRAM) as bound:
        bound.bind((LOOPBACK, port))
        with pytest.raises(NoFreePortsError, match=f"fewer than 1 free ports from {port}"):
            find_restartable_ports(1, Random(3))
