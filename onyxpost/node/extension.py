"""The interface of extensions, the optional components of an edge node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from onyxpost.node.node_config import NodeConfig


class Extension:
    """An optional component of a node. The node calls these methods in the course of its life cycle.

    By default each method does nothing, except `apply_reload`, which every extension has to implement.
    """

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Returns the functions that carry out effects of the state machine, by effect type."""
        return {}

    def descriptor_count(self) -> int:
        """Returns the number of descriptors in use that `DescriptorBudget.reserved` does not cover."""
        return 0

    async def start(self) -> None:
        """Starts the extension, just before the node accepts clients.

        Raises:
            ListenError: an address cannot be bound.
        """

    def resign(self) -> None:
        """Gives up the leadership of all roles; called at shutdown before requests are drained."""

    async def stop(self) -> None:
        """Shuts the extension down gracefully; called after all requests have been answered."""

    def close(self) -> None:
        """Releases all resources at once, without waiting for peers."""

    def validate_reload(self, new: NodeConfig) -> None:
        """Checks a reloaded configuration without applying it.

        Raises:
            InvalidInputError: the configuration must not be applied.
        """

    def apply_reload(self, new: NodeConfig) -> list[str]:
        """Applies a valid configuration; returns the file keys whose changes require a restart."""
        raise NotImplementedError


ExtensionT = TypeVar("ExtensionT", bound=Extension)


def find_extension(extensions: Iterable[Extension], extension_type: type[ExtensionT]) -> ExtensionT | None:
    """Returns the extension of the given type, or None if the node has none."""
    return next((extension for extension in extensions if isinstance(extension, extension_type)), None)
