"""Loads scenarios from TOML files or encoded data, and resizes them."""

from __future__ import annotations

import importlib.resources
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from onyxpost.simulation.discrete_event.scenario import Scenario, encode_scenario
from onyxpost.simulation.discrete_event.scenario_validation import validate_scenario
from onyxpost.simulation.errors import InvalidFaultScriptError, SimulationFileError

if TYPE_CHECKING:
    from collections.abc import Callable
    from importlib.resources.abc import Traversable

    from onyxpost.simulation.discrete_event.scenario_sections import ClusterSection, PlanSection

SUFFIX = ".toml"
# When a cluster is resized, customers' sets of more than 1 / LARGE_SET_DIVISOR of its nodes are resized in
# proportion; smaller sets keep their size.
LARGE_SET_DIVISOR = 4


def parse_scenario(text: str, source: str) -> Scenario:
    """Parses a scenario from the text of a TOML file.

    Args:
        text: content of the file.
        source: path or name of the scenario, for errors.

    Raises:
        InvalidFaultScriptError: the text is not a valid scenario; the message names the key.
    """
    return _decode(lambda: msgspec.toml.decode(text, type=Scenario), source)


def decode_scenario(data: bytes, source: str) -> Scenario:
    """Decodes output of `encode_scenario`, with the same checks as for a file.

    Raises:
        InvalidFaultScriptError: the scenario is not valid.
    """
    return _decode(lambda: msgspec.json.decode(data, type=Scenario), source)


def _decode(decode: Callable[[], Scenario], source: str) -> Scenario:
    try:
        scenario = decode()
    except msgspec.DecodeError as error:  # malformed, or a value out of range; msgspec names the key
        raise InvalidFaultScriptError(str(error), source) from error
    validate_scenario(scenario, source)
    return scenario


def load_scenario(name: str) -> Scenario:
    """Loads a scenario by the path of its file, or a shipped scenario by its name.

    Raises:
        InvalidFaultScriptError: the file is not a valid scenario.
        SimulationFileError: the file cannot be read, or is not text.
    """
    path = Path(name)
    if path.suffix != SUFFIX and name in shipped_scenarios():
        return parse_scenario(_directory().joinpath(f"{name}{SUFFIX}").read_text(), name)
    try:
        return parse_scenario(path.read_text(), name)
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or error
        names = ", ".join(shipped_scenarios())
        raise SimulationFileError(f"{reason}; shipped scenarios: {names}", name) from error


def shipped_scenarios() -> list[str]:
    """Returns the names of the shipped scenarios, sorted."""
    names = (file.name for file in _directory().iterdir())
    return sorted(name.removesuffix(SUFFIX) for name in names if name.endswith(SUFFIX))


def _directory() -> Traversable:
    return importlib.resources.files(__package__) / "scenarios"


def resize_scenario(scenario: Scenario, nodes: int | None, servers: int | None) -> Scenario:
    """Returns the scenario with other numbers of nodes and servers; None keeps a number.

    The number of customers is scaled with the number of servers.

    Raises:
        InvalidFaultScriptError: the size is out of range, or does not fit the scenario.
    """
    cluster = scenario.cluster
    resized_cluster = msgspec.structs.replace(
        cluster, nodes=nodes or cluster.nodes, servers=servers or cluster.servers
    )
    resized = msgspec.structs.replace(
        scenario,
        cluster=resized_cluster,
        plans=[_resize_plan(plan, cluster, resized_cluster) for plan in scenario.plans],
    )
    # Encode and decode the result, so that a size from the command line is checked like one from a file.
    return decode_scenario(encode_scenario(resized), scenario.name)


def _resize_plan(plan: PlanSection, cluster: ClusterSection, resized: ClusterSection) -> PlanSection:
    min_nodes, max_nodes = plan.nodes_per_customer
    if max_nodes > cluster.nodes // LARGE_SET_DIVISOR:
        node_ratio = resized.nodes / cluster.nodes
        nodes_per_customer = (max(1, round(min_nodes * node_ratio)), max(1, round(max_nodes * node_ratio)))
    else:
        nodes_per_customer = (min(resized.nodes, min_nodes), min(resized.nodes, max_nodes))
    return msgspec.structs.replace(
        plan,
        customers=max(1, round(plan.customers * resized.servers / cluster.servers)),
        nodes_per_customer=nodes_per_customer,
    )
