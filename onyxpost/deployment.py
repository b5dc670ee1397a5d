"""What an operator's settings say, decoded once for the simulator's host and for the edge node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from onyxpost.interface import Allowed, ColdRule, Effect, Frontend, Group, Plan
from onyxpost.logic import Gateway

Fields = dict[str, Any]

EFFECTS = {"retryable": Effect.REPLAYABLE, "dedup": Effect.UNIQUED, "fragile": Effect.NON_REPLAYABLE}
GROUPS = {"all": Group.ALL, "zone": Group.HALL, "cell": Group.CELL}


class Unreadable(Exception):
    """A message or file without a field that it must have, or with a value that is not known."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """What one edge node is told of its deployment. Times are milliseconds."""

    number: int
    nodes: int
    tick: float
    frontends: list[Frontend]
    plans: list[Plan]
    cold_rule: ColdRule
    allowed: Allowed
    must_ask: bool
    drain_grace: float
    connect_timeout: float
    keep_alive: float
    units_most: int  # that one req may take; 0: nothing is said

    def gateway(self, now: float, seed: int) -> Gateway:
        return Gateway(
            now, seed=seed, number=self.number, nodes=self.nodes, tick=self.tick,
            frontends=self.frontends, plans=self.plans, cold_rule=self.cold_rule, allowed=self.allowed,
            must_ask=self.must_ask,
        )  # fmt: skip


def decode(params: Fields) -> Deployment:
    try:
        return _decode(params)
    except (KeyError, TypeError, ValueError, AttributeError) as err:
        raise Unreadable(f"settings: {type(err).__name__}: {err}") from err


def _decode(params: Fields) -> Deployment:
    bounds, family, rules = params["bounds"], params.get("family_info", {}), params["rules"]
    if not params["grades"] or not 0 <= params["ordinal"] < params["n_instances"]:
        raise ValueError("no grades, or an ordinal outside of n_instances")
    grace, tries = rules.get("drain_grace_us", 250_000), bounds.get("try_limit", 1)
    shortest = min(grade["deadline_us"] for grade in params["grades"])
    return Deployment(
        number=params["ordinal"],
        nodes=params["n_instances"],
        tick=params.get("quantum_us", 0) / 1000.0,
        frontends=[_frontend(grade) for grade in params["grades"]],
        plans=[_plan(package) for package in params.get("packages", [])],
        cold_rule=ColdRule(
            rules.get("start_capacity", 1.0),
            rules.get("cold_us", 0) / 1000.0,
            rules.get("fall_multiple", 1.0),
            rules.get("fall_us", 0) / 1000.0,
        ),
        allowed=Allowed(
            tries,
            bounds.get("parallel_tries", False),
            bounds.get("cancelling", False),
            bounds.get("peers", False),
            bounds.get("max_retry_after_us", 0) / 1000.0 if bounds.get("retry_after", False) else 0.0,
            family.get("mail_per_s", 0.0),
        ),
        must_ask=params.get("discovery") == "on_request",
        drain_grace=grace / 1000.0,
        # One dispatch may wait for its connection no longer than a drain's grace: it could begin past it; and
        # all that a req may have must have failed to connect within half of its time.
        connect_timeout=min(bounds.get("connect_timeout_us", grace), grace, shortest / 2 / tries) / 1000.0,
        keep_alive=bounds.get("keepalive_us", 0) / 1000.0,
        units_most=family.get("most_units", 0),
    )


def _frontend(grade: Fields) -> Frontend:
    return Frontend(
        grade["name"],
        grade["aim_us"] / 1000.0,
        grade["deadline_us"] / 1000.0,
        EFFECTS[grade.get("effect", "fragile")],
        GROUPS[grade.get("group", "cell")],
        grade.get("dedup_window_us", 0) / 1000.0,
        grade.get("worth", 1.0),
        grade.get("late_value", 0.0),
        grade.get("aim_stretch", 0.0) or 0.0,
        grade.get("streamed", False),
    )


def _plan(package: Fields) -> Plan:
    return Plan(
        package["name"],
        package.get("refill", 0.0),
        package.get("depth", 0.0),
        package.get("open", 0),
        package.get("worth_factor", 1.0),
        package.get("cap_rate", 0.0),
        package.get("ceiling_burst", 0.0),
    )
