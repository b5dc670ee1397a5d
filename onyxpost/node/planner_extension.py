"""Extension of an edge node: leases from planners."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from onyxpost.edge.messages import RecordUnitsSpent, ReturnLease
from onyxpost.errors import StaleVersionError, with_key_path
from onyxpost.node.extension import Extension

if TYPE_CHECKING:
    from collections.abc import Callable

    from onyxpost.forwarder.planner_client import PlannerClient
    from onyxpost.node.node_config import NodeConfig


class PlannerExtension(Extension):
    """Leases from planners. `DescriptorBudget` reserves descriptors for this extension's few connections."""

    def __init__(self, client: PlannerClient) -> None:
        """Creates the extension with a client that has not been started."""
        self.client = client

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Returns the client's methods that report spent units and return leases."""
        return {
            RecordUnitsSpent: self.client.record_units_spent,
            ReturnLease: self.client.return_lease,
        }

    async def start(self) -> None:
        """Starts connecting to the planners."""
        self.client.start()

    async def stop(self) -> None:
        """Returns all leases to the planners."""
        await self.client.stop()

    def close(self) -> None:
        """Closes all connections to planners at once."""
        self.client.close()

    def validate_reload(self, new: NodeConfig) -> None:
        """Checks the version of the planners' membership.

        Raises:
            StaleVersionError: the membership is older than the one in force.
        """
        if new.planners is None:
            return
        current_version = self.client.membership_version
        new_version = new.planners.membership_version
        if new_version < current_version:
            raise StaleVersionError(
                with_key_path(
                    f"version {new_version} is older than version {current_version}, which is in force",
                    "planners.version",
                )
            )

    def apply_reload(self, new: NodeConfig) -> list[str]:
        """Applies a later membership of the planners."""
        if new.planners is not None:
            self.client.update_membership(new.planners.members, new.planners.membership_version)
        return []
