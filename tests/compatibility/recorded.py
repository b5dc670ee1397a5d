"""Reads the recorded data."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

DATA = Path(__file__).with_name("data")


def load(name: str) -> Any:
    """Returns the content of a JSON file of the recorded data."""
    return json.loads((DATA / name).read_text(encoding="utf-8"))
