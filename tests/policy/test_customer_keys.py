"""Customers with the same CRC-32 have different keys, and quotas of their own."""

from __future__ import annotations

from zlib import crc32

import pytest

from onyxpost.core.customer_key import customer_hash, key_of_number
from onyxpost.core.events import RequestArrived
from onyxpost.core.types import Plan
from tests.policy.gateway_host import Host, kinds

# Numbers below 2**33 whose hexadecimal forms have the same CRC-32.
TWINS = (0x1B465492A, 0x8C2C5F21)
LARGEST_NUMBER = 2**33 - 1


def test_customers_with_one_checksum_do_not_share_a_quota() -> None:
    # Guards against a customer that is served by the plan and the tokens of another one.
    host = Host(plan=Plan("p", 0.001, 12.0, 0, 1.0, 0.0, 0.0), may_send_peer_messages=False, node_count=1)

    def arrive(request_id: str, number: int) -> list[str]:
        deadline = host.now + 5000.0
        return kinds(
            host.handle(RequestArrived(request_id, deadline, "f", key_of_number(number), "p", 12, 1, 0))
        )

    assert crc32(f"{TWINS[0]:x}".encode()) == crc32(f"{TWINS[1]:x}".encode())
    assert arrive("a", TWINS[0]) == ["attempt"]
    assert arrive("b", TWINS[1]) == ["attempt"]
    assert arrive("c", TWINS[0]) == arrive("d", TWINS[1]) == ["reject"]


@pytest.mark.parametrize("prefix", [0, 1, 0x8C2C, 0xFFFF, 0x10000, 0x1B465, LARGEST_NUMBER >> 16])
def test_all_numbers_with_the_same_leading_digits_have_different_keys(prefix: int) -> None:
    numbers = range(prefix << 16, (prefix + 1) << 16)
    assert len({key_of_number(number) for number in numbers}) == len(numbers)


def test_a_key_contains_the_leading_digits_and_the_checksum() -> None:
    for number in (0, 0xFFFF, 0x10000, *TWINS, LARGEST_NUMBER):
        assert key_of_number(number) >> 32 == number >> 16
        assert customer_hash(key_of_number(number)) == crc32(f"{number:x}".encode())
    assert key_of_number(LARGEST_NUMBER) < 2**53  # the limit of the planners' protocol
