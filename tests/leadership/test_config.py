"""The section `duties` of a node's file, its use by edge nodes, and the errors of the package."""

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from onyxpost.errors import InvalidInputError
from onyxpost.leadership.config import decode_leadership_config
from onyxpost.leadership.errors import LeadershipError
from onyxpost.node import config
from onyxpost.node.cluster_extension import ClusterExtension
from onyxpost.node.extension import find_extension
from tests.edge.harness import RunningNode, StubAppServer, node_fields

SECTION: dict[str, Any] = {"version": 1, "voters": ["n0", "n1", "n2"], "names": ["a", "b"]}
NODES = ("n0", "n1", "n2", "n3")
LOADED_MODULES = "import sys, onyxpost.node.serve; print([n for n in sys.modules if 'leadership' in n])"


@pytest.mark.parametrize(
    ("change", "key_path"),
    [
        ({"voters": ["n0", "n1"]}, "voters"),
        ({"voters": ["n0", "n1", "n9"]}, "voters"),
        ({"voters": ["n0", "n1", "n1"]}, "voters"),
        ({"voters": ["n0", "n1", "n2", "n3"]}, "voters"),
        ({"version": 2}, "before"),
        ({"version": 2, "before": ["n0", "n1", "n3"]}, "voters"),
        ({"lease_ms": 1}, "lease_ms"),
        ({"names": []}, "names"),
        ({"barred": {"c": ["n0"]}}, "barred.c"),
        ({"barred": {"a": list(NODES)}}, "barred.a"),
        ({"acts": "nowhere"}, "acts"),
    ],
)
def test_an_invalid_value_is_named_with_its_key(change: dict[str, Any], key_path: str) -> None:
    with pytest.raises(LeadershipError) as caught:
        decode_leadership_config(SECTION | change, NODES)
    assert isinstance(caught.value, InvalidInputError)
    assert f"$.duties.{key_path}" in str(caught.value)


def test_the_section_needs_a_cluster() -> None:
    with pytest.raises(InvalidInputError, match="the section duties requires the missing section fleet"):
        config.decode_config(node_fields(duties=SECTION))


def test_an_edge_node_reads_its_section_and_rejects_the_replacement_of_an_acceptor() -> None:
    members = {name: f"127.0.0.1:{index + 1}" for index, name in enumerate(NODES)}
    fleet = {"version": 1, "listen": "localhost:0", "members": members}
    with_replacement = SECTION | {"version": 2, "voters": ["n1", "n2", "n3"], "before": ["n0", "n1", "n2"]}

    async def main() -> None:
        async with (
            asyncio.timeout(10.0),
            StubAppServer() as server,
            RunningNode(server.address, fleet=fleet, duties=SECTION) as edge,
        ):
            cluster = find_extension(edge.node.extensions, ClusterExtension)
            assert cluster is not None
            service = cluster.leadership
            assert service is not None
            edge.reload_fields = node_fields(fleet=fleet, duties=with_replacement)
            edge.node.reload()
            assert b"reload refused" in edge.log_output.getvalue()
            assert service.registry.acceptor_set.version == 1

    asyncio.run(main())


@pytest.mark.parametrize(
    "setup",
    [
        pytest.param("", id="no file"),
        pytest.param(
            "from onyxpost.node import config; "
            "config.read_config({'EDGE_CONFIG': 'deploy/example-node.json'}); ",
            id="file without the section",
        ),
    ],
)
def test_a_node_without_the_section_does_not_load_the_package(setup: str) -> None:
    output = subprocess.check_output([sys.executable, "-c", setup + LOADED_MODULES])
    assert output.strip() == b"[]"


def test_the_example_file_names_its_roles() -> None:
    section = config.read_config({"EDGE_CONFIG": "deploy/example-duties.json"}).leadership
    assert section is not None
    assert section.roles == ("rollout", "swap")


@pytest.mark.parametrize("error", LeadershipError.__subclasses__())
def test_each_error_has_a_remedy_and_is_on_the_page_for_on_call(error: type[LeadershipError]) -> None:
    assert error.remedy
    assert f"`{error.__name__}`" in Path("docs/on-call.md").read_text()
