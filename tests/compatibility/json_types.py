"""Type aliases of JSON values."""

from __future__ import annotations

from typing import Any

JsonObject = dict[str, Any]
