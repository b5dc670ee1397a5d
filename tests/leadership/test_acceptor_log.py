"""The log of acceptors: complete, truncated and damaged files."""

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from onyxpost.leadership.acceptor import Acceptor
from onyxpost.leadership.acceptor_log import AcceptorLog
from onyxpost.leadership.acceptor_set import AcceptorSet
from onyxpost.leadership.acceptor_state import AcceptorState
from onyxpost.leadership.ballots import Ballot
from onyxpost.leadership.errors import AcceptorLogError
from onyxpost.leadership.protocol import Record
from onyxpost.simulation.model_checking.leadership_model import EPOCH_MS, ROLE, TIMING

LAST_STATE = AcceptorState(ROLE, 1, Ballot(7, "c0", 1), Record(7, 3, 7, b"kept"), 0, 1)

OpenLog = Callable[[bytes], AcceptorLog]


def earlier_state(sequence: int) -> AcceptorState:
    return AcceptorState(ROLE, 1, Ballot(6, "c0", 1), Record(6, sequence, 6, b"old"), 0, 1)


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "acceptor"


@pytest.fixture
def data(path: Path) -> bytes:
    """The content of a file with two earlier states and the last one."""
    acceptor_log = AcceptorLog(str(path))
    for state in (earlier_state(1), earlier_state(2), LAST_STATE):
        acceptor_log.append(state)
    acceptor_log.close()
    return path.read_bytes()


@pytest.fixture
def open_log(path: Path) -> Iterator[OpenLog]:
    opened: list[AcceptorLog] = []

    def open_file(content: bytes) -> AcceptorLog:
        path.write_bytes(content)
        acceptor_log = AcceptorLog(str(path))
        opened.append(acceptor_log)
        return acceptor_log

    yield open_file
    for acceptor_log in opened:
        acceptor_log.close()


def test_an_acceptor_with_a_log_waits_a_lease_and_votes_without_recovery(
    data: bytes, open_log: OpenLog
) -> None:
    saved = open_log(data).states[ROLE]
    assert saved == LAST_STATE
    acceptor = Acceptor(EPOCH_MS, "v0", ROLE, TIMING, AcceptorSet(1, ("v0", "v1", "v2")), saved)
    assert acceptor.tick(EPOCH_MS + TIMING.acceptor_lease_ms - 1.0) == []
    acceptor.tick(EPOCH_MS + TIMING.acceptor_lease_ms)
    assert acceptor.is_voting
    assert acceptor.record == LAST_STATE.record
    assert acceptor.promised == LAST_STATE.promised


def test_a_truncated_last_entry_is_removed(data: bytes, open_log: OpenLog) -> None:
    assert open_log(data[:-3]).states[ROLE].record.sequence == 2


@pytest.mark.parametrize("offset", [1, 5, 9, 20, -1])
def test_damage_anywhere_is_refused(data: bytes, open_log: OpenLog, offset: int) -> None:
    damaged = bytearray(data)
    damaged[offset] ^= 4
    with pytest.raises(AcceptorLogError):
        open_log(bytes(damaged))
