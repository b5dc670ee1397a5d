"""Schema of the `planners` section, which files of nodes and files of planners contain."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from onyxpost.config.decoding import Settings

MAX_PLANNERS = 64


class PlannerSettings(Settings):
    """Addresses of all planners by name, and the membership version of this list.

    `safe_share` is the part of each quota that nodes use without a lease.
    """

    version: Annotated[int, Meta(ge=1)]
    members: Annotated[dict[str, str], Meta(min_length=1, max_length=MAX_PLANNERS)]
    safe_share: Annotated[float, Meta(gt=0.0, le=0.5)] = field(name="share", default=0.2)
