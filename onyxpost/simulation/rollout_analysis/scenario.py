"""Traffic of an emulated cluster, and the regression of the candidate."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Scenario:
    """Traffic of a cluster in one stage of a rollout; only a regression affects the candidate alone.

    Attributes:
        nodes: number of nodes.
        candidate_share: share of the requests that the candidate serves.
        added_failure_rate: failure rate of the candidate minus that of control.
        latency_factor: factor by which the candidate's latencies are longer than control's.
        affected: the only plan or zone with the regression; empty if all have it.
        failure_rate: failure rate of control.
        requests_per_s: mean requests per second of each node.
        cluster_size: number of failures that occur together.
        bursty: whether traffic and failure rates vary between intervals.
        outage: whether a quarter of the nodes have many failures for two minutes, on both sides.
        customer_bias: standard deviation of the ratio between the failure rates of candidate and control that
            is due to their different customers.
        snapshot_interval_s: time between two snapshots of a node.
        duration_s: duration of the stage.
        has_control: whether some requests are served by control; false in the last stage.
    """

    nodes: int
    candidate_share: float = 0.5
    added_failure_rate: float = 0.0
    latency_factor: float = 1.0
    affected: str = ""
    failure_rate: float = 0.005
    requests_per_s: float = 40.0
    cluster_size: int = 1
    bursty: bool = False
    outage: bool = False
    customer_bias: float = 0.0
    snapshot_interval_s: float = 5.0
    duration_s: float = 600.0
    has_control: bool = True
