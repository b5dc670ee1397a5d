"""Scenarios of the multi-process simulation, and their TOML files.

The keys of the files are kept compatible with earlier builds.
"""

from __future__ import annotations

import importlib.resources
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, field

from onyxpost.simulation.multiprocess.errors import InvalidScenarioError
from onyxpost.simulation.multiprocess.fault_draws import DrawSettings, draw_faults
from onyxpost.simulation.multiprocess.fault_script import FAULT_KINDS, FaultRate, FaultScript

MAX_NODES = 64
MAX_SECONDS = 600.0
MAX_REQUESTS_PER_SECOND = 500.0
SUFFIX = ".toml"
# Current names of shipped scenarios, by their names in earlier builds.
OLD_NAMES = {
    "duties-all-killed": "leadership-all-killed",
    "duties-bridge": "leadership-bridge",
    "duties-cuts": "leadership-cuts",
    "duties-stalls": "leadership-stalls",
}


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Open-loop load; ignored by environments without clients.

    Attributes:
        rate: requests per second to all nodes together.
        customers: number of customers that send requests.
    """

    rate: Annotated[float, Meta(gt=0.0, le=MAX_REQUESTS_PER_SECOND)] = 40.0
    customers: Annotated[int, Meta(ge=1, le=10_000)] = 12


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The environment, size, load and fault rates of a run.

    Attributes:
        about: description in one line.
        environment: a name in `environments.py`, or an old one.
        nodes: number of nodes, each a process.
        servers: number of stub app servers.
        seconds: duration of the faults and the load.
        lease_seconds: lease of roles; paused processes stay paused for longer than this.
        roles: number of roles, in the environment `leadership`.
        load: the clients' requests.
        faults: fault rates by kind.
        name: name of the file, or the current or old name under which a shipped scenario was loaded.
    """

    about: str
    environment: str = field(name="stage")
    nodes: Annotated[int, Meta(ge=1, le=MAX_NODES)] = 5
    servers: Annotated[int, Meta(ge=1, le=16)] = 4
    seconds: Annotated[float, Meta(gt=0.0, le=MAX_SECONDS)] = 15.0
    lease_seconds: Annotated[float, Meta(ge=0.0, le=120.0)] = field(name="lease_s", default=0.0)
    roles: Annotated[int, Meta(ge=0, le=8)] = field(name="duties", default=0)
    load: Load = Load()
    faults: dict[str, FaultRate] = {}
    name: str = ""


def shipped_scenarios() -> list[str]:
    """Returns the names of the scenarios shipped with the program, sorted."""
    folder = importlib.resources.files(__package__) / "scenarios"
    return sorted(file.name.removesuffix(SUFFIX) for file in folder.iterdir() if file.name.endswith(SUFFIX))


def load_scenario(name: str) -> Scenario:
    """Loads a scenario.

    Args:
        name: the current or old name of a shipped scenario, or the path of a TOML file.

    Raises:
        InvalidScenarioError: there is no such scenario, or its file cannot be read or is invalid.
    """
    try:
        scenario = msgspec.toml.decode(_read_file(name), type=Scenario)
    except msgspec.DecodeError as error:
        raise InvalidScenarioError(str(error), name) from error
    except OSError as error:
        raise InvalidScenarioError(str(error.strerror), name) from error
    for kind in scenario.faults:
        if kind not in FAULT_KINDS:
            known = ", ".join(FAULT_KINDS)
            raise InvalidScenarioError(f"unknown fault {kind!r}; known are {known} - at `$.faults`", name)
    return msgspec.structs.replace(scenario, name=Path(name).stem)


def _read_file(name: str) -> bytes:
    path = Path(name)
    if path.suffix == SUFFIX:
        return path.read_bytes()
    current_name = OLD_NAMES.get(name, name)
    if current_name not in shipped_scenarios():
        raise InvalidScenarioError(
            f"no scenario of this name; shipped are {', '.join(shipped_scenarios())}", name
        )
    file = importlib.resources.files(__package__) / "scenarios" / f"{current_name}{SUFFIX}"
    return file.read_bytes()


def with_size(scenario: Scenario, nodes: int | None, seconds: float | None) -> Scenario:
    """Returns the scenario with another number of nodes or duration; None keeps the scenario's value.

    Raises:
        InvalidScenarioError: the number of nodes or the duration is out of range.
    """
    nodes = scenario.nodes if nodes is None else nodes
    seconds = scenario.seconds if seconds is None else seconds
    if not 1 <= nodes <= MAX_NODES:
        raise InvalidScenarioError(f"{nodes} nodes given, expected 1 to {MAX_NODES}")
    if not 0.0 < seconds <= MAX_SECONDS:
        raise InvalidScenarioError(f"{seconds:g} s given, expected above 0, up to {MAX_SECONDS:.0f}")
    return msgspec.structs.replace(scenario, nodes=nodes, seconds=seconds)


def draw_script(scenario: Scenario, seed: int, mutation: str = "") -> FaultScript:
    """Returns the script that a seed draws; equal arguments give equal scripts."""
    settings = DrawSettings(
        scenario.nodes, scenario.servers, scenario.seconds, scenario.lease_seconds, scenario.roles
    )
    faults = draw_faults(seed, settings, scenario.faults)
    return FaultScript(scenario.name, seed, scenario.nodes, scenario.seconds, faults, mutation)
