"""A scenario of the rig: a small TOML file, read by types."""

from __future__ import annotations

import importlib.resources
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
from onyxpost.simulation.multiprocess.fault_script import KINDS, Script, Some, draw

NODES_MOST, SECONDS_MOST, RATE_MOST = 64, 600.0, 500.0


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Reqs a second, all nodes together; open loop. What a stage without reqs passes over."""

    rate: Annotated[float, Meta(gt=0.0, le=RATE_MOST)] = 40.0
    customers: Annotated[int, Meta(ge=1, le=10_000)] = 12


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    about: str
    stage: str
    nodes: Annotated[int, Meta(ge=1, le=NODES_MOST)] = 5
    servers: Annotated[int, Meta(ge=1, le=16)] = 4
    seconds: Annotated[float, Meta(gt=0.0, le=SECONDS_MOST)] = 15.0
    lease_s: Annotated[float, Meta(ge=0.0, le=120.0)] = 0.0  # SIGSTOP lasts longer than this
    duties: Annotated[int, Meta(ge=0, le=8)] = 0  # of the stage `duties`: d0, d1 ...
    load: Load = Load()
    faults: dict[str, Some] = {}
    name: str = ""


def shipped() -> list[str]:
    place = importlib.resources.files(__package__) / "scenarios"
    return sorted(one.name[:-5] for one in place.iterdir() if one.name.endswith(".toml"))


def load(name: str) -> Scenario:
    """The name of a shipped one, or the path of a TOML file."""
    path = Path(name)
    try:
        if path.suffix == ".toml":
            text = path.read_bytes()
        elif name in shipped():
            text = (importlib.resources.files(__package__) / "scenarios" / f"{name}.toml").read_bytes()
        else:
            raise InvalidScenarioError(f"no scenario; shipped are {', '.join(shipped())}", name)
        found = msgspec.toml.decode(text, type=Scenario)
    except msgspec.DecodeError as err:
        raise InvalidScenarioError(str(err), name) from err
    except OSError as err:
        raise InvalidScenarioError(str(err.strerror), name) from err
    for kind in found.faults:
        if kind not in KINDS:
            raise InvalidScenarioError(
                f"no fault {kind!r}; there are {', '.join(KINDS)} - at `$.faults`", name
            )
    return msgspec.structs.replace(found, name=path.stem)


def sized(one: Scenario, nodes: int | None, seconds: float | None) -> Scenario:
    nodes, seconds = one.nodes if nodes is None else nodes, one.seconds if seconds is None else seconds
    if not 1 <= nodes <= NODES_MOST:
        raise InvalidScenarioError(f"{nodes} nodes: 1 to {NODES_MOST}")
    if not 0.0 < seconds <= SECONDS_MOST:
        raise InvalidScenarioError(f"{seconds:g} s: above 0, up to {SECONDS_MOST:.0f}")
    return msgspec.structs.replace(one, nodes=nodes, seconds=seconds)


def scripted(one: Scenario, seed: int, plant: str = "") -> Script:
    faults = draw(seed, one.nodes, one.servers, one.seconds, one.faults, one.lease_s, one.duties)
    return Script(one.name, seed, one.nodes, one.seconds, faults, plant)
