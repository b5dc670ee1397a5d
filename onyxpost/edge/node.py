"""What one edge node is told at its start: its name, addresses, limits and deployment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from onyxpost import deployment
from onyxpost.deployment import Deployment, Unreadable
from onyxpost.edge import messages as m


@dataclass(frozen=True, slots=True)
class Node:
    name: str
    listen: m.Address
    discovery: m.Address
    discovery_too: m.Address | None  # what the file says where the variable says another
    seed: int
    descriptors: int
    peer_listen: m.Address | None
    peers: list[m.Address]
    known: m.Listed
    deployment: Deployment


def read(environ: Mapping[str, str], again: bool = False) -> Node:
    """The file that `EDGE_CONFIG` names; the other variables come before what it says, but read again, it is
    newer than they are."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise Unreadable("EDGE_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            fields = orjson.loads(file.read())
    except OSError as err:
        raise Unreadable(f"{path}: {err.strerror}") from err
    except orjson.JSONDecodeError as err:
        raise Unreadable(f"{path}: not JSON: {err}") from err
    if not isinstance(fields, dict):
        raise Unreadable(f"{path}: not an object")
    in_file = fields.get("discovery")
    for variable, name in (("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen"), ("EDGE_DISCOVERY", "discovery")):
        if environ.get(variable) and not (again and name in fields):
            fields[name] = environ[variable]
    if in_file is not None and in_file != fields.get("discovery"):
        fields["discovery_too"] = in_file  # moved while this node was down, one of them is closed by now
    try:
        return decode(fields)
    except Unreadable as err:
        raise Unreadable(f"{path}: {err}") from err


def decode(fields: dict[str, Any]) -> Node:
    try:
        return _node(fields)
    except (KeyError, TypeError, ValueError, AttributeError) as err:
        raise Unreadable(f"{type(err).__name__}: {err}") from err


def _node(fields: dict[str, Any]) -> Node:
    peer_listen = fields.get("peer_listen")
    return Node(
        name=str(fields["name"]),
        listen=m.address(fields["listen"]),
        discovery=m.address(fields["discovery"]),
        discovery_too=m.address(fields["discovery_too"]) if "discovery_too" in fields else None,
        seed=int(fields["seed"], 16),
        descriptors=int(fields.get("limits", {}).get("sockets", 1024)),
        peer_listen=m.address(peer_listen) if peer_listen else None,
        peers=[m.address(peer) for peer in fields.get("peers", [])],
        known=m.listed(fields["known"] | {"reset": True}),
        deployment=deployment.decode(fields["settings"]),
    )
