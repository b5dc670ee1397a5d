"""Fixtures of the tests of processes."""

from __future__ import annotations

from pathlib import Path

import pytest


@pytest.fixture
def config_file(tmp_path: Path) -> Path:
    """Returns the path of a file that a test writes, or leaves missing."""
    return tmp_path / "file.json"
