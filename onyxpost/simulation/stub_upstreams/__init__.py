"""Stub app servers and a discovery agent on loopback for one node, with faults from a TOML file."""

from onyxpost.simulation.stub_upstreams.environment import StubEnvironment, run_environment
from onyxpost.simulation.stub_upstreams.fault_script import StubFault, StubFaultScript, read_fault_script
from onyxpost.simulation.stub_upstreams.node_file import write_node_file

__all__ = [
    "StubEnvironment",
    "StubFault",
    "StubFaultScript",
    "read_fault_script",
    "run_environment",
    "write_node_file",
]
