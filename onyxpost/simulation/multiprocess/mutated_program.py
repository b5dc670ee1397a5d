"""A mutated build: `python -m onyxpost.simulation.multiprocess.mutated_program NAME serve`."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from onyxpost.node import serve
from onyxpost.node.edge_node import EdgeNode
from onyxpost.simulation.multiprocess import leadership_mutations
from onyxpost.simulation.mutations import MUTATIONS, current_name

OF_REQS: dict[str, Callable[[EdgeNode], None] | None] = {
    name: mutation.inject for name, mutation in MUTATIONS.items()
}
PLANTS = {"": None} | OF_REQS | leadership_mutations.PLANTS


def planted(plant: Callable[[EdgeNode], None]) -> type[EdgeNode]:
    class Planted(EdgeNode):
        def __init__(self, *args: Any, **kwargs: Any) -> None:
            super().__init__(*args, **kwargs)
            plant(self)

    return Planted


if __name__ == "__main__":
    found = PLANTS.get(current_name(sys.argv[1])) if sys.argv[2:] == ["serve"] else None
    if found is None:
        sys.exit(f"one of {', '.join(name for name in PLANTS if name)}, then serve")
    vars(serve)["EdgeNode"] = planted(found)
    sys.exit(serve.serve())
