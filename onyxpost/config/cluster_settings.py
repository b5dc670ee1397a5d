"""Schema of the `fleet` section of a node's file, which configures the cluster."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from onyxpost.config.decoding import Settings

MAX_MEMBERS = 256  # members connect in a full mesh; larger clusters would need a gossip protocol


class ClusterSettings(Settings):
    """Members of the cluster by name, and the address at which this node accepts their connections.

    `onyxpost.cluster.membership` validates these settings for one node.
    """

    version: Annotated[int, Meta(ge=1, lt=2**53)]
    listen: str
    members: Annotated[dict[str, str], Meta(min_length=1, max_length=MAX_MEMBERS)]
