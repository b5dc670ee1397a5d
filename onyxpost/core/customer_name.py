"""Keys of customers whose names are any text, as in simulations; a node's customers have numbers as names."""

from __future__ import annotations

from zlib import crc32


def key_of_name(name: str) -> int:
    """Returns the key of the customer with this name: its CRC-32, which two names may have in common."""
    return crc32(name.encode())
