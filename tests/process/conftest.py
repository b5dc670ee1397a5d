"""Fixtures of the tests of processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from pathlib import Path


@pytest.fixture
def config_file(tmp_path: Path) -> Path:
    """Returns the path of a file that a test writes, or leaves missing."""
    return tmp_path / "file.json"
