"""Runs forwarders and planners as processes on loopback, under load, and kills planners at random.

The seed determines the load and the kills. Requests are counted on arrival at the app servers, to measure
units beyond each customer's quota and to detect violations of its hard limit. A run can use gossip between
the nodes in place of planners, for comparison.
"""

from onyxpost.simulation.planner_cluster.options import ClusterOptions, check_options
from onyxpost.simulation.planner_cluster.runner import ClusterReport, run

__all__ = ["ClusterOptions", "ClusterReport", "check_options", "run"]
