"""Two sets of results side by side: what differs beyond the seeds' spread, and plots over time."""

from __future__ import annotations

import statistics
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

from onyxpost.simulation.errors import NoCommonScenarioError
from onyxpost.simulation.results import read

COLUMNS = {
    "passed_value": "value passed in time, of what was asked for inside quotas",
    "worst_10s": "the same, in the worst ten seconds",
    "denied_with_room": "tries denied while the quota held them",
    "beyond_quota": "units sent on beyond quotas",
    "late": "passed after the response target",
    "mean_ms": "mean time to an answer passed, from the first try",
    "attempts_per_try": "attempts a try",
    "handshakes_per_attempt": "new connections an attempt",
    "connections_most": "most connections at one server",
    "messages_per_try": "peer messages a try",
    "unheard": "peer messages beyond a node's intake",
    "cold_load_most": "most work at a cold server, of what pushes it over",
    "breaches": "broken rules",
}
OVER_TIME = {
    "value passed of asked": ("value_passed", "value_inside"),
    "denied with room, of tries": ("denied_with_room", "tries"),
    "units beyond quotas, of sent": ("units_beyond", "units"),
    "late, of passed": ("late", "passed"),
}


class Spread(NamedTuple):
    low: float
    mean: float
    high: float

    def __str__(self) -> str:
        return f"{self.mean:.4g} ({self.low:.4g} to {self.high:.4g})"


class Row(NamedTuple):
    scenario: str
    column: str
    a: Spread
    b: Spread

    @property
    def verdict(self) -> str:
        if self.a == self.b:
            return "the same"
        if self.a.low <= self.b.high and self.b.low <= self.a.high:
            return "no difference seen"
        return f"{self.b.mean - self.a.mean:+.4g}"


Runs = dict[str, list[list[dict[str, Any]]]]  # by scenario: a run's lines each


def runs(path: Path) -> Runs:
    found: Runs = defaultdict(list)
    for line in read(path):
        if line["kind"] == "run":
            found[f"{line['scenario']}, {line['nodes']} nodes, {line['servers']} servers"].append([])
            current = found[f"{line['scenario']}, {line['nodes']} nodes, {line['servers']} servers"][-1]
        current.append(line)
    return dict(found)


def spread(part: list[list[dict[str, Any]]], column: str) -> Spread:
    values = [float(line[column]) for run in part for line in run if line["kind"] == "total"]
    return Spread(min(values), statistics.fmean(values), max(values))


def compare(a: Runs, b: Runs) -> list[Row]:
    both = [name for name in a if name in b]
    if not both:
        raise NoCommonScenarioError(f"no scenario is in both: {', '.join(a)} / {', '.join(b)}")
    return [
        Row(name, column, spread(a[name], column), spread(b[name], column))
        for name in both
        for column in COLUMNS
    ]


def text(rows: list[Row], seeds: tuple[int, int]) -> str:
    shown, lines = "", [f"mean (least to most) over {seeds[0]} and {seeds[1]} runs"]
    for row in rows:
        if row.scenario != shown:
            shown = row.scenario
            lines.append(f"\n{shown}")
        lines.append(f"  {row.column:24} {row.a!s:>32}  {row.b!s:>32}  {row.verdict}")
    return "\n".join(lines)


def over_time(
    part: list[list[dict[str, Any]]], above: str, below: str
) -> tuple[list[int], list[list[float]]]:
    """Each run's share, second by second."""
    shares = []
    for run in part:
        seconds = [line for line in run if line["kind"] == "second"]
        shares.append([s.get(above, 0.0) / s[below] if s.get(below) else float("nan") for s in seconds])
    most = max(len(share) for share in shares)
    return list(range(most)), [share + [float("nan")] * (most - len(share)) for share in shares]


def plot(sides: dict[str, Runs], out: Path) -> None:
    """One PNG: a row a scenario, a column a share, each side's mean with its spread over the seeds."""
    import matplotlib

    matplotlib.use("Agg")
    import numpy
    from matplotlib import pyplot

    names = [name for name in next(iter(sides.values())) if all(name in side for side in sides.values())]
    figure, axes = pyplot.subplots(
        len(names),
        len(OVER_TIME),
        figsize=(4.2 * len(OVER_TIME), 2.6 * len(names)),
        squeeze=False,
        sharex="row",
        layout="constrained",
    )
    for row, name in enumerate(names):
        for column, (title, (above, below)) in enumerate(OVER_TIME.items()):
            axis = axes[row][column]
            for label, side in sides.items():
                times, shares = over_time(side[name], above, below)
                table = numpy.ma.masked_invalid(numpy.array(shares))
                (line,) = axis.plot(times, table.mean(axis=0), label=label)
                low, high = table.min(axis=0), table.max(axis=0)
                axis.fill_between(times, low, high, alpha=0.2, color=line.get_color(), linewidth=0)
            axis.set_ylim(bottom=0.0)
            axis.grid(alpha=0.3)
            if row == 0:
                axis.set_title(title, fontsize=10)
            if column == 0:
                axis.set_ylabel(name.replace(", ", "\n"), fontsize=9)
            if row == len(names) - 1:
                axis.set_xlabel("s")
    axes[0][0].legend(fontsize=8, loc="lower left")
    figure.savefig(out, dpi=90)
    pyplot.close(figure)
