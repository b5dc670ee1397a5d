"""The frontends, plans and zones that the routing rules of a node can refer to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from onyxpost.config.deployment import Deployment
    from onyxpost.core.types import Frontend


@dataclass(frozen=True, slots=True)
class RoutingContext:
    """The frontends, plans and zones that rules may name; `own_zone` is the node's, None if it has none."""

    frontends: Mapping[str, Frontend]
    plans: frozenset[str]
    zones: frozenset[str]
    own_zone: str | None

    @classmethod
    def of_deployment(
        cls, deployment: Deployment, endpoint_zones: Iterable[str | None], own_zone: str | None
    ) -> RoutingContext:
        """Returns the context of a node; its zones are those of the endpoints that it knows and its own."""
        zones = {zone for zone in endpoint_zones if zone}
        if own_zone is not None:
            zones.add(own_zone)
        return cls(
            frontends={frontend.name: frontend for frontend in deployment.frontends},
            plans=frozenset(plan.name for plan in deployment.plans),
            zones=frozenset(zones),
            own_zone=own_zone,
        )
