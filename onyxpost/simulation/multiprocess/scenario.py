"""A scenario of the multi-process simulation: a small TOML file. Its keys are those of earlier builds."""

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
# Shipped scenarios by the names that they had in earlier builds.
OLD_NAMES = {
    "duties-all-killed": "leadership-all-killed",
    "duties-bridge": "leadership-bridge",
    "duties-cuts": "leadership-cuts",
    "duties-stalls": "leadership-stalls",
}


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Requests in a second of all nodes together, open loop; an environment without requests ignores it."""

    rate: Annotated[float, Meta(gt=0.0, le=MAX_REQUESTS_PER_SECOND)] = 40.0
    customers: Annotated[int, Meta(ge=1, le=10_000)] = 12


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What is run, and how often faults start.

    Attributes:
        about: one line for people.
        environment: a name of `environments.py`.
        nodes: processes.
        servers: stub app servers.
        seconds: duration.
        lease_seconds: a paused process stays so for longer.
        roles: that are led, in the environment `leadership`.
        load: clients' requests.
        faults: rates by kind of fault.
        name: the file's, or the name by which a shipped scenario was asked for.
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
    """Returns the names of the scenarios that are part of the program."""
    folder = importlib.resources.files(__package__) / "scenarios"
    return sorted(file.name.removesuffix(SUFFIX) for file in folder.iterdir() if file.name.endswith(SUFFIX))


def load_scenario(name: str) -> Scenario:
    """Reads a scenario.

    Args:
        name: of a shipped one, an old one's too, or the path of a TOML file.

    Raises:
        InvalidScenarioError: there is none, or its file is not valid.
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
            raise InvalidScenarioError(f"no fault {kind!r}; there are {known} - at `$.faults`", name)
    return msgspec.structs.replace(scenario, name=Path(name).stem)


def _read_file(name: str) -> bytes:
    path = Path(name)
    if path.suffix == SUFFIX:
        return path.read_bytes()
    current_name = OLD_NAMES.get(name, name)
    if current_name not in shipped_scenarios():
        raise InvalidScenarioError(f"no scenario; shipped are {', '.join(shipped_scenarios())}", name)
    file = importlib.resources.files(__package__) / "scenarios" / f"{current_name}{SUFFIX}"
    return file.read_bytes()


def with_size(scenario: Scenario, nodes: int | None, seconds: float | None) -> Scenario:
    """Returns the scenario with another number of nodes and duration; None keeps the scenario's.

    Raises:
        InvalidScenarioError: one of them is out of bounds.
    """
    nodes = scenario.nodes if nodes is None else nodes
    seconds = scenario.seconds if seconds is None else seconds
    if not 1 <= nodes <= MAX_NODES:
        raise InvalidScenarioError(f"{nodes} nodes: 1 to {MAX_NODES}")
    if not 0.0 < seconds <= MAX_SECONDS:
        raise InvalidScenarioError(f"{seconds:g} s: above 0, up to {MAX_SECONDS:.0f}")
    return msgspec.structs.replace(scenario, nodes=nodes, seconds=seconds)


def draw_script(scenario: Scenario, seed: int, mutation: str = "") -> FaultScript:
    """Returns the script of a seed: the same one each time."""
    settings = DrawSettings(
        scenario.nodes, scenario.servers, scenario.seconds, scenario.lease_seconds, scenario.roles
    )
    faults = draw_faults(seed, settings, scenario.faults)
    return FaultScript(scenario.name, seed, scenario.nodes, scenario.seconds, faults, mutation)
