"""Factors between units of time."""

from __future__ import annotations

MS_PER_SECOND = 1000.0
