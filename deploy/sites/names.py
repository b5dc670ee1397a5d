"""Writes real.json and wire.json beside the site file of each variant: `python deploy/sites/names.py`.

The tables hold the names that the protocol page and the wire page specify. All deployments of this family use
the same names.
"""

import json
import pathlib

SITES_FOLDER = pathlib.Path(__file__).parent

# Names used on sockets: headers, paths, query parameters and the fields of an endpoint list.
SOCKET_NAMES = {
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
        # The bench requires names for the headers below, although none of its current requests carries them.
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

# Names used by the simulator's host protocol. Each event or action has a name, and a table that maps the
# meaning of each field to the field's name.
INSTANCE_FIELDS = {"inst": "node_id"}
REQUEST_FIELDS = INSTANCE_FIELDS | {"id": "ref"}
ATTEMPT_RESULT_FIELDS = {"latency": "wait_time_us", "status": "rc", "server": "server", "load": "pressure"}
EVENTS = {
    "init": ("Attach", INSTANCE_FIELDS | {"seed": "init_seed", "info": "params"}),
    "members": ("Sync", INSTANCE_FIELDS | {"version": "epoch", "list_kind": "scope", "entries": "rows"}),
    "request": (
        "Accept",
        REQUEST_FIELDS
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
    "first": (
        "Headers",
        REQUEST_FIELDS | {"attempt": "round_no", "server": "server", "latency": "wait_time_us"},
    ),
    "outcome": (
        "Completed",
        REQUEST_FIELDS
        | {"attempt": "round_no"}
        | ATTEMPT_RESULT_FIELDS
        | {
            "closed": "settled",
            "used": "fleet_use",
            "cost": "actual",
        },
    ),
    "gone": ("CancelledByClient", REQUEST_FIELDS),
    "probed": ("CheckResult", INSTANCE_FIELDS | ATTEMPT_RESULT_FIELDS),
    "timer": ("TimeoutFired", INSTANCE_FIELDS | {"token": "nonce"}),
    "peer": ("Message", INSTANCE_FIELDS | {"from": "src_peer", "data": "body"}),
    "counted": (
        "Total",
        INSTANCE_FIELDS
        | {
            "counter": "name",
            "status": "rc",
            "total": "reading",
            "latency": "wait_time_us",
        },
    ),
    "stop": ("Teardown", INSTANCE_FIELDS),
}
ACTIONS = {
    "send": ("SubmitTo", REQUEST_FIELDS | {"server": "server", "timeout": "give_up_after_us"}),
    "refuse": ("Reject", REQUEST_FIELDS | {"retry_after": "backoff_us"}),
    "fail": ("EndFailed", REQUEST_FIELDS),
    "cancel": ("UndoSend", REQUEST_FIELDS | {"attempt": "round_no"}),
    "timer": ("After", INSTANCE_FIELDS | {"token": "nonce", "delay": "offset_us"}),
    "probe": ("AskLoad", INSTANCE_FIELDS | {"server": "server"}),
    "close": ("Disconnect", INSTANCE_FIELDS | {"server": "server"}),
    "tell": ("Post", INSTANCE_FIELDS | {"peer": "peer", "data": "body"}),
    "watch": ("KeepInformed", INSTANCE_FIELDS | {"on": "active"}),
    "fetch": ("Pull", INSTANCE_FIELDS),
    "count": ("Incr", INSTANCE_FIELDS | {"counter": "name", "amount": "add", "ttl": "lives_us"}),
    "log": ("Emit", INSTANCE_FIELDS | {"text": "what"}),
    "fault": ("Bug", INSTANCE_FIELDS | {"text": "what"}),
}
SERVER_ROW_FIELDS = {
    "server": "server",
    "state": "condition",
    "zone": "hall",
    "kind": "generation_hw",
    "cell": "cohort",
    "weight": "scale",
    "ready_at": "up_since_us",
}
SETTING_NAMES = {
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
SETTING_VALUES = {
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


def wire_messages(table: dict[str, tuple[str, dict[str, str]]]) -> dict[str, object]:
    """Returns a table of events or actions in the form that wire.json has."""
    return {
        key: {"name": name, "code": 0, "fields": [list(field) for field in fields.items()]}
        for key, (name, fields) in table.items()
    }


def wire_names(name: str) -> dict[str, object]:
    """Returns the content of wire.json for the site `name`."""
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
        "init": {
            "pairs": False,
            "case": "snake",
            "unit_suffix": "_us",
            "rename": SETTING_NAMES,
            "words": SETTING_VALUES,
        },
        "events": wire_messages(EVENTS),
        "actions": wire_messages(ACTIONS),
        "entry": [list(pair) for pair in SERVER_ROW_FIELDS.items()],
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
    """Writes real.json and wire.json beside each site file, replacing the existing ones."""
    for site in sorted(SITES_FOLDER.glob("*/*.toml")):
        for file, content in (("real.json", SOCKET_NAMES), ("wire.json", wire_names(site.stem))):
            (site.parent / file).write_text(json.dumps(content, indent=1) + "\n")


if __name__ == "__main__":
    main()
