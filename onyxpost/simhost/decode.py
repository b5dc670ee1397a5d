"""From the bench's wire to the module's calls: names, units and defaults, nothing else."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from onyxpost.interface import Allowed, ColdRule, Effect, Frontend, Group, ListRow, Plan, Result, Standing
from onyxpost.logic import Gateway

Fields = dict[str, Any]

RESULTS = {
    "delivered": Result.OK,
    "app_error": Result.ERROR,
    "shed": Result.FULL,
    "expired": Result.EXPIRED,
    "dial_failed": Result.NO_CONNECTION,
    "dropped": Result.LOST,
    "revoked": Result.CANCELLED,
    "unused": Result.UNUSED,
}
EFFECTS = {"retryable": Effect.REPLAYABLE, "dedup": Effect.UNIQUED, "fragile": Effect.NON_REPLAYABLE}
GROUPS = {"all": Group.ALL, "zone": Group.HALL, "cell": Group.CELL}
STANDINGS = {1: Standing.READY, 2: Standing.DRAINING, 0: Standing.GONE}


class Unreadable(Exception):
    """A message without a field that it must have, or with a value that the wire does not know."""


def gateway(now: float, fields: Fields) -> Gateway:
    try:
        return _gateway(now, fields)
    except (KeyError, TypeError, ValueError, AttributeError) as err:
        raise Unreadable(f"Attach: {type(err).__name__}: {err}") from err


def _gateway(now: float, fields: Fields) -> Gateway:
    params = fields["params"]
    bounds, family, rules = params["bounds"], params.get("family_info", {}), params["rules"]
    return Gateway(
        now,
        seed=fields["init_seed"],
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
            bounds.get("try_limit", 1),
            bounds.get("parallel_tries", False),
            bounds.get("cancelling", False),
            bounds.get("peers", False),
            bounds.get("max_retry_after_us", 0) / 1000.0 if bounds.get("retry_after", False) else 0.0,
            family.get("mail_per_s", 0.0),
        ),
        must_ask=params.get("discovery") == "on_request",
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


def _row(row: Fields) -> ListRow:
    return ListRow(
        row["server"],
        row.get("hall", ""),
        row.get("cohort", 0),
        STANDINGS[row.get("condition", 0)],
        row.get("scale", 1.0),
        row.get("up_since_us", 0) / 1000.0,
    )


def _listed(f: Fields) -> tuple[object, ...]:
    scope = f.get("scope", 0)
    if scope == 3:
        return ("list_failed",)
    return ("listed", scope != 0, [_row(row) for row in f.get("rows", [])])


def _ended(f: Fields) -> tuple[object, ...]:
    return (
        "dispatch_ended",
        f["ref"],
        f.get("round_no", 0),
        RESULTS[f["rc"]],
        f.get("wait_time_us", 0) / 1000.0,
        f.get("settled", False),
        f.get("actual", 0),
    )


EVENTS: dict[str, Callable[[Fields], tuple[object, ...]]] = {
    "Accept": lambda f: (
        "arrived",
        f["ref"],
        f["give_up_at_us"] / 1000.0,
        f["cls"],
        f.get("user_key", ""),
        f.get("tariff", ""),
        f.get("cost_units", 1),
        f.get("spread", 1),
        f.get("first_door", 0),
    ),
    "Completed": _ended,
    "CancelledByClient": lambda f: ("client_left", f["ref"]),
    "Headers": lambda f: ("stream_began", f["ref"]),
    "Sync": _listed,
    "TimeoutFired": lambda f: ("woken", f["nonce"]),
    "Message": lambda f: ("told", f["src_peer"], f.get("body", "")),
}


def event(name: str, fields: Fields) -> tuple[object, ...] | None:
    if name in ("Total", "CheckResult"):  # answers of the counter and to probes, which the module never asks
        return None
    if name not in EVENTS:
        raise Unreadable(f"unknown event {name}")
    try:
        return EVENTS[name](fields)
    except (KeyError, TypeError, ValueError) as err:
        raise Unreadable(f"{name}: {type(err).__name__}: {err}") from err
