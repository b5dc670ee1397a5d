"""Builds client requests and exchanges for the recorded HTTP cases."""

from __future__ import annotations

from typing import Any

from tests.compatibility import test_http_bytes as http

Fields = dict[str, Any]
HTTP_SETTINGS: Fields = {
    "ordinal": 0,
    "n_instances": 2,
    "quantum_us": 2000,
    "discovery": "pushed",
    "bounds": {
        "try_limit": 3,
        "parallel_tries": True,
        "cancelling": True,
        "peers": True,
        "retry_after": True,
        "max_retry_after_us": 1_000_000,
        "connect_timeout_us": 250_000,
        "keepalive_us": 15_000_000,
    },
    "family_info": {"mail_per_s": 40.0, "most_units": 4},
    "grades": [
        {"name": "check", "aim_us": 750_000, "deadline_us": 2_000_000, "effect": "retryable", "worth": 2.0},
        {
            "name": "toll",
            "aim_us": 1_200_000,
            "deadline_us": 5_000_000,
            "effect": "dedup",
            "group": "zone",
            "dedup_window_us": 3_000_000,
            "worth": 3.0,
            "late_value": 0.2,
        },
        {"name": "pay", "aim_us": 400_000, "deadline_us": 1_200_000, "effect": "fragile", "late_value": 0.2},
    ],
    "packages": [
        {"name": "basic", "refill": 100.0, "depth": 900.0},
        {"name": "small", "refill": 1.0, "depth": 2.0},
        {"name": "capped", "refill": 100.0, "depth": 900.0, "cap_rate": 10.0, "ceiling_burst": 4.0},
        {"name": "one", "refill": 100.0, "depth": 900.0, "open": 1},
    ],
    "rules": {"start_capacity": 0.2, "cold_us": 10_000_000, "fall_multiple": 4.0, "fall_us": 1_500_000},
}
WITHOUT_RETRY_AFTER = HTTP_SETTINGS | {"bounds": HTTP_SETTINGS["bounds"] | {"retry_after": False}}
PAGE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: text/x\r\nX-Mark: 1\r\n\r\nhello"
ERROR = b"HTTP/1.1 500 Broken\r\nContent-Length: 3\r\n\r\nbad"
BUSY = b"HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
HEADERS = {
    "Host": "b.example",
    "X-Trace-Id": "t1",
    "Plan": "basic",
    "Cookie": "theme=dark; key=00000000b4d65521",
    "X-Expires-In": "1900m",
    "Quota-Info": "units=2,spread=2,first=1",
}
METHODS = {"check": "GET", "toll": "POST", "pay": "POST"}


def request(
    frontend: str = "check", body: bytes = b"", method: str = "", version: str = "1.1", target: str = "",
    **headers: str,
) -> bytes:  # fmt: skip
    """Returns a client's request; a header whose value is "" is left out.

    In keywords, an underscore stands for the hyphen of a header's name.
    """
    named = dict(HEADERS)
    if frontend == "toll":
        named["Idempotency-Key"] = "k-1"
    if body or METHODS.get(frontend) == "POST":
        named["Content-Length"] = str(len(body))
    named |= {name.replace("_", "-"): value for name, value in headers.items()}
    first = f"{method or METHODS.get(frontend, 'GET')} {target or f'/{frontend}/7?a=b'} HTTP/{version}"
    lines = [first, *(f"{name}: {value}" for name, value in named.items() if value)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request_with(headers: dict[str, Any], frontend: str = "check") -> bytes:
    """Returns a client's request with headers added or replaced by name."""
    return request(frontend, **headers)


def with_lines(data: bytes, *lines: str) -> bytes:
    """Returns the request with header lines appended unchanged, so that they may be repeated or malformed."""
    head, _, body = data.partition(b"\r\n\r\n")
    return b"\r\n".join([head, *(line.encode() for line in lines)]) + b"\r\n\r\n" + body


def client(*writes: bytes | tuple[float, bytes], connect_at_ms: float = 0.0) -> Fields:
    """Returns the script of one connection: pairs of a time in ms and the bytes to write at that time.

    Writes without a time start at 5 ms and are 400 ms apart.
    """
    timed = [w if isinstance(w, tuple) else (5.0 + 400.0 * i, w) for i, w in enumerate(writes)]
    return {"connect_at_ms": connect_at_ms, "writes": [[at, http.packed(data)] for at, data in timed]}


def case(
    *clients: Fields, servers: list[list[tuple[bytes, str]]] | None = None, settings: Fields = HTTP_SETTINGS,
    sockets: int = 256, stop_at_ms: float | None = None, until_ms: float = 1500.0, absent: int = 0,
) -> Fields:  # fmt: skip
    """Returns one exchange.

    `absent` is the number of further app servers in the list at whose addresses nothing listens.
    """
    answers = [[(PAGE, "keep")] * 9] if servers is None else servers
    rows = [
        {
            "instanceId": f"s{i}",
            "hostPort": f"10.1.0.{i}:9000",
            "lifecycle": "up",
            "startedAtMs": 0,
            "zone": "z",
        }
        for i in range(len(answers) + absent)
    ]
    node_file = {
        "name": "n0",
        "listen": "{}:{}".format(*http.NODE_ADDRESS),
        "discovery": "10.2.0.1:8500",
        "seed": "8c1f",
        "limits": {"sockets": sockets},
        "peer_listen": "10.3.0.1:7946",
        "peers": ["10.3.0.1:7946", "10.3.0.2:7946"],
        "known": {"generation": 4, "instances": rows},
        "settings": settings,
    }
    return {
        "node_file": node_file,
        "servers": [[[http.packed(data), then] for data, then in one] for one in answers],
        "clients": list(clients),
        "stop_at_ms": stop_at_ms,
        "until_ms": until_ms,
    }
