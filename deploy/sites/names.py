"""Writes real.json and wire.json beside each variant's site file: `python deploy/sites/names.py`.

Names are those of the protocol page and the wire page, which every deployment of this family shares; the
tables here are written from those pages.
"""

import json
import pathlib

HERE = pathlib.Path(__file__).parent

# On sockets: headers, paths, query, fields of a list.
REAL = {
    "v": 1,
    "family": "gate",
    "proto": "http",
    "env": "EDGE",
    "port": 8081,
    "cmd": "C",
    "slack_ms": 50,
    "node": "edge node",
    "server": "app server",
    "service": "backend.local",
    "paths": {"ready": "/healthz", "health": "/healthz", "load": "/load", "list": "/v1/servers"},
    "h": {
        "id": "X-Trace-Id",
        "tenant": "Plan",
        "deadline": "X-Expires-In",
        "extras": "Quota-Info",
        "retry": "X-Second-Try",
        "load": "Endpoint-Load-Metrics",
        "not_run": "X-Never-Ran",
        # Wanted by the bench, carried by none of these days.
        "class": "X-Class",
        "key": "X-Customer",
        "hint": "X-Work-Hint",
        "note": "X-Note",
        "used": "X-Used",
        "cost": "X-Cost",
    },
    "class_in": "path",
    "key_in": "cookie",
    "key_name": "key",
    "deadline_form": "unit",
    "load_form": "orca",
    "discovery": "poll",
    "q": {"after": "since", "wait": "timeout_ms", "watch": "follow"},
    "f": {
        "version": "generation",
        "full": "reset",
        "list": "instances",
        "id": "instanceId",
        "addr": "hostPort",
        "zone": "zone",
        "kind": "machineType",
        "cell": "cell",
        "state": "lifecycle",
        "weight": "weight",
        "started": "startedAtMs",
    },
    "states": {"ready": "up", "draining": "draining", "gone": "removed"},
}

# In the simulator: an event's or action's name, and its fields as `what it is: its name`.
INST = {"inst": "node_id"}
REQ = INST | {"id": "ref"}
ATTEMPT_RESULT = {"latency": "wait_time_us", "status": "rc", "server": "server", "load": "pressure"}
EVENTS = {
    "init": ("Attach", INST | {"seed": "init_seed", "info": "params"}),
    "members": ("Sync", INST | {"version": "epoch", "list_kind": "scope", "entries": "rows"}),
    "request": (
        "Accept",
        REQ
        | {
            "class": "cls",
            "tenant": "tariff",
            "key": "user_key",
            "left": "give_up_at_us",
            "retry": "retry",
            "write": "mutates",
            "x1": "cost_units",
            "x2": "spread",
            "x3": "first_door",
        },
    ),
    "first": ("Headers", REQ | {"attempt": "round_no", "server": "server", "latency": "wait_time_us"}),
    "outcome": (
        "Completed",
        REQ
        | {"attempt": "round_no"}
        | ATTEMPT_RESULT
        | {
            "closed": "settled",
            "used": "fleet_use",
            "cost": "actual",
        },
    ),
    "gone": ("CancelledByClient", REQ),
    "probed": ("CheckResult", INST | ATTEMPT_RESULT),
    "timer": ("TimeoutFired", INST | {"token": "nonce"}),
    "peer": ("Message", INST | {"from": "src_peer", "data": "body"}),
    "counted": (
        "Total",
        INST
        | {
            "counter": "name",
            "status": "rc",
            "total": "reading",
            "latency": "wait_time_us",
        },
    ),
    "stop": ("Teardown", INST),
}
ACTIONS = {
    "send": ("SubmitTo", REQ | {"server": "server", "timeout": "give_up_after_us"}),
    "refuse": ("Reject", REQ | {"retry_after": "backoff_us"}),
    "fail": ("EndFailed", REQ),
    "cancel": ("UndoSend", REQ | {"attempt": "round_no"}),
    "timer": ("After", INST | {"token": "nonce", "delay": "offset_us"}),
    "probe": ("AskLoad", INST | {"server": "server"}),
    "close": ("Disconnect", INST | {"server": "server"}),
    "tell": ("Post", INST | {"peer": "peer", "data": "body"}),
    "watch": ("KeepInformed", INST | {"on": "active"}),
    "fetch": ("Pull", INST),
    "count": ("Incr", INST | {"counter": "name", "amount": "add", "ttl": "lives_us"}),
    "log": ("Emit", INST | {"text": "what"}),
    "fault": ("Bug", INST | {"text": "what"}),
}
ROW = {
    "server": "server",
    "state": "condition",
    "zone": "hall",
    "kind": "generation_hw",
    "cell": "cohort",
    "weight": "scale",
    "ready_at": "up_since_us",
}
SETTINGS = {
    "balancers": "n_instances",
    "me": "ordinal",
    "classes": "grades",
    "tenants": "packages",
    "limits": "bounds",
    "goal": "score_parts",
    "zones": "localities",
    "kinds": "skus",
    "tiers": "stages",
    "tier": "layer",
    "tick": "quantum",
    "window": "dedup_window",
    "late_worth": "late_value",
    "stream": "streamed",
    "fields": "names",
    "ask_within": "must_ask_in",
    "cold_from": "start_capacity",
    "max_attempts": "try_limit",
    "max_open": "open_cap",
    "cancel": "cancelling",
    "second_copies": "parallel_tries",
    "conn_idle": "keepalive",
    "counter": "shared_counter",
    "counter_timeout": "count_limit",
    "peer_in_per_s": "mail_per_s",
    "tenants.rate": "refill",
    "tenants.burst": "depth",
    "tenants.open": "open",
    "tenants.price": "worth_factor",
    "tenants.over_worth": "extra_worth",
    "tenants.over_cost": "excess_cost",
    "tenants.ceiling_rate": "cap_rate",
    "tenants.ceiling_burst": "ceiling_burst",
    "tenants.ceiling_slack": "cap_slack",
}
WORDS = {
    "safe": "retryable",
    "keyed": "dedup",
    "unsafe": "fragile",
    "push": "pushed",
    "ask": "on_request",
    "inflight": "rif",
    "queue": "q",
    "util": "busy",
    "latency_ms": "lat_ms",
    "qps": "rate",
    "eps": "fail_rate",
}


def messages(table: dict[str, tuple[str, dict[str, str]]]) -> dict[str, object]:
    """Returns the wire form of a table of events or actions."""
    return {
        key: {"name": name, "code": 0, "fields": [list(field) for field in fields.items()]}
        for key, (name, fields) in table.items()
    }


def wire(name: str) -> dict[str, object]:
    """Returns the names on the simulator's wire for the site `name`."""
    return {
        "v": 1,
        "name": name,
        "family": "gate",
        "lang": "python",
        "enc": "json",
        "shape": "batch",
        "tag": "outer",
        "unit": "us",
        "deadline_at": True,
        "timeout_at": False,
        "timer_at": False,
        "nulls": False,
        "load_named": True,
        "tabs": False,
        "words": {
            "now": "at_time_us",
            "seq": "",
            "events": "news",
            "actions": "output",
            "tag": "type",
            "groups": "groups",
            "inst": "node_id",
            "tick": "Round",
            "end": "EofBatch",
            "done": "End",
            "entry": "Row",
            "all": -1,
        },
        "ids": {
            "inst": "int",
            "request": "uuid",
            "server": "addr",
            "key": "text",
            "token": "int",
            "bytes": "text",
            "names": True,
            "inst_prefix": "node_",
            "request_prefix": "t/",
            "server_prefix": "server_",
            "port": 8080,
            "key_prefix": "acct:",
            "key2_prefix": "pre-",
            "salt": sum(name.encode()),
        },
        "init": {"pairs": False, "case": "snake", "unit_suffix": "_us", "rename": SETTINGS, "words": WORDS},
        "events": messages(EVENTS),
        "actions": messages(ACTIONS),
        "entry": [list(pair) for pair in ROW.items()],
        "extras": ["units", "spread", "first"],
        "status": {
            "ok": "delivered",
            "error": "app_error",
            "full": "shed",
            "timeout": "expired",
            "reset": "dropped",
            "connect_failed": "dial_failed",
            "cancelled": "revoked",
            "moot": "unused",
        },
        "state": {"gone": 0, "ready": 1, "draining": 2},
        "list_kind": {"delta": 0, "full": 1, "cached": 2, "failed": 3},
    }


def main() -> None:
    """Writes both files beside each site file."""
    for site in sorted(HERE.glob("*/*.toml")):
        for file, content in (("real.json", REAL), ("wire.json", wire(site.stem))):
            (site.parent / file).write_text(json.dumps(content, indent=1) + "\n")


if __name__ == "__main__":
    main()
