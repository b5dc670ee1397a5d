"""Pseudo-random numbers that are equal in every process and Python version, for reproducible decisions."""

from __future__ import annotations

from zlib import crc32


class SeededRandom:
    """A sequence of numbers determined by its seed: the CRC-32 of the seed and a counter."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._drawn = 0

    def next(self) -> float:
        """Returns the next number, at least 0 and less than 1."""
        self._drawn += 1
        return crc32(f"{self.seed}/{self._drawn}".encode()) / 2.0**32
