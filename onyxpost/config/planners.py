"""Schema of the `planners` section, which files of nodes and files of planners contain."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from onyxpost.config.decoding import Settings

MAX_PLANNERS = 64


class PlannerSettings(Settings):
    """Addresses of all planners by name, and the membership version of this list.

    `share` is the safe share: the part of each quota that nodes use without a lease.
    """

    version: Annotated[int, Meta(ge=1)]
    members: Annotated[dict[str, str], Meta(min_length=1, max_length=MAX_PLANNERS)]
    share: Annotated[float, Meta(gt=0.0, le=0.5)] = 0.2
