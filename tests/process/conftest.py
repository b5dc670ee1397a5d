"""Fixtures for the tests of process start, files and reported errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from pathlib import Path


@pytest.fixture
def config_file(tmp_path: Path) -> Path:
    """Returns the path of a config file that the test may create."""
    return tmp_path / "file.json"
