"""Factors between units of time."""

from __future__ import annotations

MS_PER_SECOND = 1000.0
US_PER_MS = 1000.0
