"""The violations and figures of a run, and their line in a result file. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from onyxpost.simulation.multiprocess.checker import Violation
    from onyxpost.simulation.multiprocess.fault_script import FaultScript
    from onyxpost.simulation.multiprocess.scenario_environment import Counts


class RunResult(NamedTuple):
    """The result of one run; `faults` is the number of faults started, by kind."""

    script: FaultScript
    violations: list[Violation]
    counts: Counts
    faults: dict[str, int]
    worst_lag_ms: float

    def to_result_line(self) -> dict[str, Any]:
        """Returns the line of a result file; its keys are kept compatible with earlier builds."""
        script = self.script
        return {
            "kind": "seed",
            "scenario": script.scenario,
            "seed": script.seed,
            "nodes": script.nodes,
            "seconds": script.seconds,
            "plant": script.mutation,
            **self.counts,
            "faults": self.faults,
            "lag_ms": round(self.worst_lag_ms, 1),
            "breaches": [violation.to_result() for violation in self.violations],
        }
