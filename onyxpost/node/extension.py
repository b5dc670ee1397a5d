"""The interface of the optional parts of an edge node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from onyxpost.node.node_config import NodeConfig


class Extension:
    """One optional part of a node, driven through these calls.

    Each does nothing by default, except `apply_reload`, which each extension has to implement.
    """

    def effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Returns the functions that carry out effects of the state machine, by type of effect."""
        return {}

    def descriptor_count(self) -> int:
        """Returns the number of descriptors in use that `DescriptorBudget.reserved` does not cover."""
        return 0

    async def start(self) -> None:
        """Starts to work, just before clients are accepted. Raises ListenError if an address is taken."""

    def resign(self) -> None:
        """Gives up all leadership, as the node is shutting down; called before clients are drained."""

    async def stop(self) -> None:
        """Ends in an orderly way, once all clients have their answers."""

    def close(self) -> None:
        """Ends everything at once."""

    def validate_reload(self, new: NodeConfig) -> None:
        """Checks a reloaded configuration and changes nothing. Raises InvalidInputError to reject it."""

    def apply_reload(self, new: NodeConfig) -> list[str]:
        """Applies a valid configuration; returns the file keys whose changes take a restart."""
        raise NotImplementedError


ExtensionT = TypeVar("ExtensionT", bound=Extension)


def find_extension(extensions: Iterable[Extension], kind: type[ExtensionT]) -> ExtensionT | None:
    """Returns the extension of the given type, or None if the node has none."""
    return next((extension for extension in extensions if isinstance(extension, kind)), None)
