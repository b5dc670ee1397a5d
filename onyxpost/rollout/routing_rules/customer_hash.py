"""Hashes that assign customers to shares and to weighted values, with the same result on all nodes."""

from __future__ import annotations

from zlib import crc32

HASH_RANGE = 2**32
"""Number of hash values: a hash is at least 0 and below this."""


def salt_hash(salt: str) -> int:
    """Returns the CRC-32 of a salt, which `customer_hash` takes as its first argument."""
    return crc32(salt.encode())


def customer_hash(salt: int, customer: int) -> int:
    """Returns a customer's hash under a salt, below `HASH_RANGE`.

    Both arguments are CRC-32 values. CRC-32 is linear: with the exclusive or alone, another salt would flip
    the same bits of every customer's hash, and shares of different salts would coincide. The finalizer of
    MurmurHash3 (public domain, A. Appleby) makes shares of different salts independent.
    """
    mixed = salt ^ customer
    mixed = (mixed ^ mixed >> 16) * 0x85EBCA6B & 0xFFFFFFFF
    mixed = (mixed ^ mixed >> 13) * 0xC2B2AE35 & 0xFFFFFFFF
    return mixed ^ mixed >> 16
