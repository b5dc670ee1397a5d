"""Customer keys: the numbers by which nodes and planners identify customers.

The low 32 bits of a key are the CRC-32 of the customer's name. They distribute customers over servers, nodes
and shares of routing rules, which may treat two customers alike. Quotas may not, and many names have the same
CRC-32, so the bits above it tell these apart.
"""

from __future__ import annotations

from zlib import crc32

HASH_BITS = 32
HASH_MASK = (1 << HASH_BITS) - 1
HASHED_TAIL_BITS = 16  # the last four hexadecimal digits of a name


def key_of_number(number: int) -> int:
    """Returns the key of the customer whose name is a number, written in hexadecimal without leading zeros.

    Different numbers have different keys: names of one length that differ only in their last four characters
    have different CRC-32s, and the bits above the CRC-32 contain all digits before these. The keys of numbers
    below 2**33 are below 2**49.
    """
    prefix = number >> HASHED_TAIL_BITS
    return prefix << HASH_BITS | crc32(f"{number:x}".encode())


def customer_hash(key: int) -> int:
    """Returns the CRC-32 of the customer's name, which its key contains."""
    return key & HASH_MASK
