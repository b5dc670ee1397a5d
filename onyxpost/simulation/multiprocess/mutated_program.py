"""Runs a node with a mutation.

Usage: `python -m onyxpost.simulation.multiprocess.mutated_program MUTATION serve`.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from onyxpost.node import serve
from onyxpost.node.edge_node import EdgeNode
from onyxpost.simulation.multiprocess.leadership_mutations import (
    LEADERSHIP_MUTATIONS,
)
from onyxpost.simulation.multiprocess.leadership_mutations import (
    current_name as current_leadership_name,
)
from onyxpost.simulation.mutations import MUTATIONS as EDGE_MUTATIONS
from onyxpost.simulation.mutations import current_name as current_edge_name

if TYPE_CHECKING:
    from collections.abc import Callable

ARGUMENT_COUNT = 2


def mutation_names() -> list[str]:
    """Returns the current names of all mutations; those of edge nodes are first."""
    return [*EDGE_MUTATIONS, *LEADERSHIP_MUTATIONS]


def current_name(name: str) -> str:
    """Returns the current name for an old name of a mutation; any other name is returned unchanged."""
    return current_leadership_name(current_edge_name(name))


def is_known_mutation(name: str) -> bool:
    """Whether a mutation has this current or old name."""
    return current_name(name) in mutation_names()


def find_injection(name: str) -> Callable[[EdgeNode], None] | None:
    """Returns the function that injects a mutation into a node; None if the mutation leaves nodes unchanged.

    Raises:
        KeyError: no mutation has this name.
    """
    leadership_mutation = LEADERSHIP_MUTATIONS.get(current_name(name))
    if leadership_mutation is not None:
        return leadership_mutation.inject
    return EDGE_MUTATIONS[current_name(name)].inject


def mutated_node(inject: Callable[[EdgeNode], None]) -> type[EdgeNode]:
    """Returns a node type whose constructor injects a mutation at its end."""

    class MutatedNode(EdgeNode):
        """A node with an injected mutation."""

        def __init__(self, *arguments: Any, **options: Any) -> None:  # noqa: ANN401 - passed on
            super().__init__(*arguments, **options)
            inject(self)

    return MutatedNode


def main(arguments: list[str]) -> int:
    """Runs the node whose file is named in `EDGE_CONFIG`, and returns its exit code.

    Raises:
        SystemExit: the arguments are not `MUTATION serve`; with a usage message.
    """
    if len(arguments) != ARGUMENT_COUNT or arguments[1] != "serve" or not is_known_mutation(arguments[0]):
        sys.exit(f"expected the arguments MUTATION serve, with MUTATION one of {', '.join(mutation_names())}")
    inject = find_injection(arguments[0])
    if inject is not None:
        vars(serve)["EdgeNode"] = mutated_node(inject)
    return serve.serve()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
