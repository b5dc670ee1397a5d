"""Runs an edge node as a process, configured by environment variables."""

from __future__ import annotations

import os
from functools import partial
from typing import TYPE_CHECKING, Any

from onyxpost import process
from onyxpost.node import config
from onyxpost.node.edge_node import EdgeNode

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from onyxpost.node.node_config import NodeConfig
    from onyxpost.runtime.structured_log import StructuredLog


def serve() -> int:
    """Runs the node whose file `EDGE_CONFIG` names until a signal stops it; returns the exit code."""
    return process.run_process(partial(config.read_config, os.environ), _run_node)


def _run_node(node_config: NodeConfig, event_log: StructuredLog) -> Coroutine[Any, Any, int]:
    reread_config = partial(config.read_config, os.environ, is_reload=True)
    return EdgeNode(node_config, event_log, reread_config).run()
