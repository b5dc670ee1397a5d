"""Results of one run, as lines of a result file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from onyxpost.simulation.discrete_event import metrics as counters
from onyxpost.simulation.discrete_event.outcomes import Outcome

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator, Sequence

    from onyxpost.simulation.discrete_event.world import World

WORST_WINDOW_SECONDS = 10
PERMILLE = 1000.0


def result_lines(world: World) -> Iterator[dict[str, Any]]:
    """Yields the lines of a run that has ended: its parameters, seconds, violations and totals."""
    scenario = world.scenario
    run = {
        "scenario": scenario.name,
        "seed": world.seed,
        "nodes": scenario.cluster.nodes,
        "servers": scenario.cluster.servers,
    }
    yield {"kind": "run", **run, "seconds": scenario.seconds}
    for index, second in enumerate(_complete_seconds(world)):
        counts = {name: round(value, 3) for name, value in sorted(second.items())}
        yield {"kind": "second", "t": index, **counts}
    for record in world.invariants.violation_records():
        yield {"kind": "breach", **record}
    yield {"kind": "total", **run, **run_totals(world)}


def run_totals(world: World) -> dict[str, Any]:
    """Returns the totals of a run that has ended."""
    seconds = world.metrics.seconds
    totals = world.metrics.totals()
    tries = max(1, totals[counters.TRIES])
    units_sent = max(1, totals[counters.UNITS])
    attempts = totals[counters.ATTEMPTS]
    succeeded = totals[Outcome.SUCCEEDED.value]
    connections_opened = sum(node.connections.opened for node in world.nodes)
    messages_dropped = sum(node.peer_rate_limit.dropped for node in world.nodes)
    max_load_permille = max(second[counters.MAX_SLOW_START_LOAD_PERMILLE] for second in seconds)
    return {
        "passed_value": _share(
            totals[counters.SUCCEEDED_WEIGHT], totals[counters.WEIGHT_OFFERED_WITHIN_QUOTA]
        ),
        "worst_10s": _worst_window(_complete_seconds(world)),
        "denied_with_room": round(totals[counters.REJECTED_WITHIN_QUOTA] / tries, 4),
        "beyond_quota": round(totals[counters.UNITS_BEYOND_QUOTA] / units_sent, 4),
        "late": _share(totals[counters.LATE], succeeded),
        "mean_ms": round(totals[counters.LATENCY_MS] / max(1, succeeded), 1),
        "attempts_per_try": round(attempts / tries, 4),
        "handshakes_per_attempt": _share(connections_opened, attempts),
        "connections_most": max(second[counters.MAX_CONNECTIONS_AT_SERVER] for second in seconds),
        "messages_per_try": round(totals[counters.MESSAGES] / tries, 3),
        "message_bytes_per_try": round(totals[counters.MESSAGE_BYTES] / tries, 1),
        "unheard": _share(messages_dropped, totals[counters.MESSAGES]),
        "servers_fell": totals[counters.SERVERS_OVERLOADED],
        "cold_load_most": max_load_permille / PERMILLE,
        "modes": dict(sorted(world.metrics.mode_changes.items())),
        "breaches": len(world.invariants.violations),
        "tries": totals[counters.TRIES],
        "events": world.clock.processed,
    }


def _complete_seconds(world: World) -> list[Counter[str]]:
    return world.metrics.seconds[: int(world.scenario.seconds)]


def _share(part: float, total: float) -> float:
    return round(part / total, 4) if total else 0.0


def _worst_window(seconds: Sequence[Counter[str]]) -> float:
    """Returns the lowest share of the offered weight that succeeded, among all windows of ten seconds.

    A shorter run is one window.
    """
    size = min(WORST_WINDOW_SECONDS, len(seconds))
    shares = []
    for start in range(len(seconds) - size + 1):
        window = seconds[start : start + size]
        offered = sum(second[counters.WEIGHT_OFFERED_WITHIN_QUOTA] for second in window)
        if offered:
            shares.append(sum(second[counters.SUCCEEDED_WEIGHT] for second in window) / offered)
    return round(min(shares, default=0.0), 4)
