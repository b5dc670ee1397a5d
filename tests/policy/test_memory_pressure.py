"""Which clients give way once memory runs short."""

from __future__ import annotations

from onyxpost.policy.memory_pressure import HolderState, MemoryHolder, MemoryPressurePolicy

LIMIT = 1000


def select(*holders: MemoryHolder, used: int) -> list[int]:
    """Returns the ids of the clients that give way, in order."""
    return [holder.client_id for holder in MemoryPressurePolicy().select(holders, used, LIMIT)]


def test_nobody_gives_way_within_the_limit() -> None:
    assert select(MemoryHolder(1, HolderState.UNREAD_ANSWER, 900, 0.0), used=LIMIT) == []


def test_clients_give_way_by_state_then_by_memory_then_by_time() -> None:
    holders = [
        MemoryHolder(1, HolderState.IDLE, 10, 0.0),
        MemoryHolder(2, HolderState.ARRIVING_REQUEST, 10, 0.0),
        MemoryHolder(3, HolderState.CLOSING, 10, 0.0),
        MemoryHolder(4, HolderState.SLOW_REQUEST, 10, 5.0),
        MemoryHolder(5, HolderState.SLOW_REQUEST, 10, 4.0),
        MemoryHolder(6, HolderState.SLOW_REQUEST, 20, 9.0),
        MemoryHolder(7, HolderState.UNREAD_ANSWER, 1, 9.0),
    ]
    assert select(*holders, used=5000) == [7, 6, 5, 4, 3, 2, 1]


def test_a_client_that_waits_for_its_answer_never_gives_way() -> None:
    assert select(MemoryHolder(1, HolderState.WAITING, 5000, 0.0), used=5000) == []


def test_slow_clients_give_way_to_below_the_limit_and_usual_ones_only_to_the_limit() -> None:
    slow = [MemoryHolder(number, HolderState.SLOW_REQUEST, 100, 0.0) for number in range(9)]
    usual = [MemoryHolder(number, HolderState.IDLE, 100, 0.0) for number in range(9)]
    assert len(select(*slow, used=LIMIT + 1)) == 3  # 1001 down to 701, below 750
    assert len(select(*usual, used=LIMIT + 1)) == 1
