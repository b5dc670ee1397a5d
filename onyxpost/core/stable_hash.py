"""A hash that is equal in every process and on every node, for rendezvous hashing."""

from __future__ import annotations

from zlib import crc32

# The multiplier and the two mixing rounds are those of Thomas Mueller's integer hash function for 32 bits.
_MIX_MULTIPLIER = 0x45D9F3B
_MIX_ROUNDS = 2


def stable_hash(text: str) -> int:
    """Returns a 32-bit hash of the text.

    CRC-32 is linear. Without the mixing rounds, the hashes of two names would differ in the same bits for
    every text that is appended to both.
    """
    value = crc32(text.encode())
    for _ in range(_MIX_ROUNDS):
        value = (value ^ (value >> 16)) * _MIX_MULTIPLIER & 0xFFFFFFFF
    return value ^ (value >> 16)
