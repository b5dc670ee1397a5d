"""Records the data of `test_http_bytes.py` and `test_simulator_wire.py`, once, from a build to be kept to.

Run from the repository's root: `python -m tests.compatibility.record_http_and_wire`. A file that is there is
never overwritten: what was recorded is what must not change.
"""

from __future__ import annotations

import heapq
import json
import lzma
import subprocess
from collections import Counter
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from tests.compatibility import test_http_bytes as http
from tests.compatibility import test_simulator_wire as wire

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

Fields = dict[str, Any]

# HTTP

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
    """A client's request; a header given as empty is left out."""
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
    """A client's request with further or other headers, by their names."""
    return request(frontend, **headers)


def with_lines(data: bytes, *lines: str) -> bytes:
    """The request with further header lines, as they are."""
    head, _, body = data.partition(b"\r\n\r\n")
    return b"\r\n".join([head, *(line.encode() for line in lines)]) + b"\r\n\r\n" + body


def client(*writes: bytes | tuple[float, bytes], connect_at_ms: float = 0.0) -> Fields:
    """One connection; writes without a time are 400 ms apart."""
    timed = [w if isinstance(w, tuple) else (5.0 + 400.0 * i, w) for i, w in enumerate(writes)]
    return {"connect_at_ms": connect_at_ms, "writes": [[at, http.packed(data)] for at, data in timed]}


def case(
    *clients: Fields, servers: list[list[tuple[bytes, str]]] | None = None, settings: Fields = HTTP_SETTINGS,
    sockets: int = 256, stop_at_ms: float | None = None, until_ms: float = 1500.0, absent: int = 0,
) -> Fields:  # fmt: skip
    """One exchange; `absent`: app servers in the list at whose address nobody listens."""
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


def forwarded_cases() -> Iterator[tuple[str, Fields]]:
    """What is forwarded to an app server."""
    yield "get", case(client(request()))
    yield "get without time left given", case(client(request(X_Expires_In="")))
    yield "get time left in microseconds", case(client(request(X_Expires_In="812345.5u")))
    yield "get time left above the frontend's", case(client(request(X_Expires_In="99999m")))
    yield "get target kept as it is", case(client(request(target="/check/%41//x;y?q=%20&q=2")))
    yield "post with body", case(client(request("toll", b"amount=12")))
    yield "post without body", case(client(request("toll")))
    yield "post fragile with body", case(client(request("pay", b"{}", Content_Type="application/json")))
    yield "post binary body", case(client(request("toll", bytes(range(256)))))
    yield "post largest body", case(client(request("toll", b"x" * 65536)))
    chunked = request("toll", Content_Length="", Transfer_Encoding="chunked")
    yield "post chunked body", case(client(chunked + b"4\r\nabcd\r\n3;e=1\r\nefg\r\n0\r\nX-After: 1\r\n\r\n"))
    yield "post in parts", case(client(*(request("toll", b"abcdef")[i::1][:90] for i in range(0, 360, 90))))
    hop = ["Connection: keep-alive, X-Hop", "Keep-Alive: 5", "Proxy-Connection: x", "TE: trailers",
           "Trailer: X-After", "Upgrade: h2c", "X-Hop: 1"]  # fmt: skip
    yield "hop-by-hop headers", case(client(with_lines(request(), *hop)))
    kept = ["Accept: */*", "accept: text/x", "X-CASE-Kept: Value ", "Authorization: Basic eA==",
            "X-Forwarded-For: 1.2.3.4", "X-Never-Ran: 1", "Endpoint-Load-Metrics: cpu=1"]  # fmt: skip
    yield "other headers and repeated ones", case(client(with_lines(request(), *kept)))
    yield "cookies", case(client(request(Cookie="a=1; key=000000010000000f; b=2")))
    yield "idempotency key on get", case(client(request(Idempotency_Key="k-9")))
    yield (
        "expect 100-continue",
        case(client((5.0, request("toll", b"", Content_Length="3", Expect="100-continue")), (50.0, b"abc"))),
    )
    yield "http 1.0", case(client(request(version="1.0")))
    yield "connection close", case(client(request(Connection="close")))
    yield "two requests, connections kept", case(client(request(), request(X_Trace_Id="t2")))
    yield "keyed after get", case(client(request(), request("toll", b"12", X_Trace_Id="t2")))


def passed_cases() -> Iterator[tuple[str, Fields]]:
    """Answers of app servers that are passed on, and those that are not."""
    hop = (
        b"HTTP/1.1 200 Fine\r\nconnection: keep-alive, X-Hop\r\nKeep-Alive: 9\r\nUpgrade: h2c\r\nTE: x\r\n"
        b"Trailer: X\r\nProxy-Connection: y\r\nX-Never-Ran: 1\r\nEndpoint-Load-Metrics: cpu=1\r\n"
        b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-CASE: Kept \r\nX-Hop: 1\r\nDate: now\r\n"
        b"Content-Length: 2\r\n\r\nok"
    )
    yield "answer with hop-by-hop headers", case(client(request()), servers=[[(hop, "keep")]])
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n"
    )
    yield "answer chunked", case(client(request()), servers=[[(chunked, "keep")]])
    yield (
        "answer empty",
        case(client(request()), servers=[[(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "keep")]]),
    )
    large = b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + b"y" * 65536
    yield "answer largest", case(client(request()), servers=[[(large, "keep")]])
    early = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + PAGE
    yield "answer after early hints", case(client(request()), servers=[[(early, "keep")]])
    for name, text, then in (
        ("error", ERROR, "keep"), ("busy", BUSY, "keep"), ("cut", PAGE[:-2], "close"),
        ("reset", b"", "reset"),
        ("nonsense", b"nonsense\r\n\r\n", "close"), ("without length", b"HTTP/1.1 200 OK\r\n\r\nx", "close"),
        ("redirect", b"HTTP/1.1 302 Go\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", "keep"),
        ("too large", b"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + b"y" * 65537, "close"),
        ("late", b"", "hang"),
    ):  # fmt: skip
        for frontend in METHODS:
            client_script = client(request(frontend))
            until = 3000.0 if then == "hang" else 1500.0
            yield (
                f"{name} of all servers, {frontend}",
                case(client_script, servers=[[(text, then)] * 4] * 3, until_ms=until),
            )
            bad = [(text, then)] * 3
            good = [(PAGE, "keep")] * 3
            for number, servers in enumerate(([bad, good], [good, bad])):
                yield (
                    f"{name} of server {number} only, {frontend}",
                    case(client_script, servers=servers, until_ms=until),
                )
    yield "no server listens, get", case(client(request()), servers=[], absent=3)
    yield "no server listens, fragile", case(client(request("pay")), servers=[], absent=3)


def denied_cases() -> Iterator[tuple[str, Fields]]:
    """429 by quotas and for want of servers; 502 where nothing is known."""
    one = "units=1,spread=1,first=0"
    twice = [request(X_Trace_Id=f"t{i}", Plan="small", Quota_Info=one) for i in range(4)]
    yield "quota used up", case(client(*twice))
    yield "quota used up, no Retry-After", case(client(*twice), settings=WITHOUT_RETRY_AFTER)
    capped = [
        request(X_Trace_Id=f"t{i}", Plan="capped", Quota_Info="units=2,spread=1,first=0") for i in (1, 2, 3)
    ]
    yield "hard ceiling", case(*(client((5.0, data)) for data in capped))
    limit = [request(X_Trace_Id=f"t{i}", Plan="one", Quota_Info=one) for i in range(2)]
    yield (
        "concurrency limit",
        case(
            client((5.0, limit[0])), client((50.0, limit[1])), servers=[[(b"", "hang")] * 4], until_ms=900.0
        ),
    )
    yield "no server known", case(client(request()), servers=[])
    yield "no server known, no Retry-After", case(client(request()), servers=[], settings=WITHOUT_RETRY_AFTER)
    yield (
        "same trace at the same time",
        case(
            client((5.0, request())), client((50.0, request())), servers=[[(b"", "hang")] * 4], until_ms=900.0
        ),
    )
    yield "denied, then passed", case(client(*twice[:2], request(X_Trace_Id="t9")))


def refused_cases() -> Iterator[tuple[str, Fields]]:
    """What is not taken."""
    for header in ("X-Trace-Id", "Plan", "Cookie", "Quota-Info"):
        yield f"missing {header}", case(client(request_with({header: ""})))
        again = f"{header.lower()}: {HEADERS[header]}"
        yield f"repeated {header}", case(client(with_lines(request(), again)))
    yield "missing Host", case(client(request(Host="")))
    yield "missing Idempotency-Key", case(client(request("toll", Idempotency_Key="")))
    for name, headers in {
        "cookie without key": {"Cookie": "a=1"}, "short key": {"Cookie": "key=12"},
        "key too large": {"Cookie": "key=0000000200000000"},
        "key not hexadecimal": {"Cookie": "key=00000000b4d6552g"},
        "unknown plan": {"Plan": "gold"}, "empty time": {"X-Expires-In": "0m"},
        "time without unit": {"X-Expires-In": "12"}, "units 0": {"Quota-Info": "units=0,spread=1,first=0"},
        "units above the most": {"Quota-Info": "units=5,spread=1,first=0"},
        "spread above the nodes": {"Quota-Info": "units=1,spread=3,first=0"},
        "first above the nodes": {"Quota-Info": "units=1,spread=1,first=2"},
        "units signed": {"Quota-Info": "units=+1,spread=1,first=0"},
        "quota without first": {"Quota-Info": "units=1,spread=1"},
        "trace not ascii": {"X-Trace-Id": "caf\u00e9"},
    }.items():  # fmt: skip
        yield name, case(client(request_with(headers)))
    yield "unknown frontend", case(client(request("other")))
    yield "root", case(client(request(target="/")))
    yield "unknown frontend, then passed", case(client(request("other"), request()))
    for frontend in METHODS:
        for method in ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"):
            if method != METHODS[frontend]:
                yield f"{method} for {frontend}", case(client(request(frontend, method=method)))
    yield "body on get", case(client(request("check", b"abc")))
    chunked = {"Content_Length": "", "Transfer_Encoding": "chunked"}
    yield "chunked body on get", case(client(request_with(chunked, "check") + b"0\r\n\r\n"))
    yield (
        "two lengths",
        case(client(request("toll", b"", Content_Length="5", Transfer_Encoding="chunked") + b"0\r\n\r\n")),
    )
    yield "no request line", case(client(b"nonsense\r\n\r\n"))
    yield "http 2 preface", case(client(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
    yield "malformed length", case(client(request("toll", Content_Length="x")))
    yield "malformed chunk", case(client(request_with(chunked, "toll") + b"zz\r\n"))
    yield "head too large", case(client(request(X_Long="x" * 70_000)))
    yield "body too large by its length", case(client(request("toll", b"x" * 65537)))
    yield (
        "body too large in chunks",
        case(client(request_with(chunked, "toll") + (b"9000\r\n" + b"x" * 0x9000 + b"\r\n") * 3)),
    )
    yield "requests ahead of an answer", case(client(request() + request(X_Trace_Id="t2")))
    yield "unknown frontends at once", case(client(request("other") * 5))
    yield "head never whole", case(client(request()[:-2]), until_ms=4500.0)
    yield "body never whole", case(client(request("toll", b"ab", Content_Length="9")), until_ms=4500.0)
    yield "second request never whole", case(client(request(), request()[:-2]), until_ms=4500.0)
    yield "silent client", case(client(), until_ms=4500.0)
    yield "idle after an answer", case(client(request()), until_ms=8000.0)


def health_cases() -> Iterator[tuple[str, Fields]]:
    """/healthz, a node that is told to stop, and one without room."""
    get = b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n"
    yield "healthz", case(client(get, get))
    yield "healthz head", case(client(get.replace(b"GET", b"HEAD")))
    yield "healthz post", case(client(get.replace(b"GET", b"POST")))
    yield "healthz with query", case(client(get.replace(b"healthz", b"healthz?x")))
    yield "healthz close", case(client(with_lines(get, "Connection: close")))
    yield "healthz while stopping", case(client((150.0, get), connect_at_ms=120.0), stop_at_ms=100.0)
    yield "passed while stopping", case(client((150.0, request()), connect_at_ms=120.0), stop_at_ms=100.0)
    yield (
        "refused while stopping",
        case(client((150.0, request("other")), connect_at_ms=120.0), stop_at_ms=100.0),
    )
    yield "idle connection when told to stop", case(client(request()), stop_at_ms=200.0, until_ms=3000.0)
    yield (
        "request not whole when told to stop",
        case(client((5.0, request()[:-2])), stop_at_ms=100.0, until_ms=3000.0),
    )
    held = [client((5.0 + i, request(X_Trace_Id=f"t{i}")), connect_at_ms=i) for i in range(5)]
    yield "no room", case(*held, servers=[[(b"", "hang")] * 9] * 3, sockets=8, until_ms=1000.0)


def record_http(path: Path) -> None:
    cases: dict[str, Fields] = {}
    for group in (forwarded_cases, passed_cases, denied_cases, refused_cases, health_cases):
        for name, one in group():
            assert name not in cases, name
            cases[name] = one | {"expected": http.play(one)}
    node_files: list[Fields] = []
    for one in cases.values():
        if one["node_file"] not in node_files:
            node_files.append(one["node_file"])
        one["node_file"] = node_files.index(one["node_file"])
    with path.open("x") as file:
        json.dump(
            {"node_files": node_files, "cases": cases},
            file,
            indent=None,
            separators=(",", ":"),
            sort_keys=True,
        )
        file.write("\n")


# The simulator's wire

SECOND = 1_000_000  # simulated time is in whole microseconds
# Conditions of a server.
GONE = 0
READY = 1
DRAINING = 2
# Scopes of a list of servers.
CHANGES = 0
COMPLETE = 1
FAILED = 3
FRONTENDS: list[Fields] = [
    {"name": "look", "aim_us": 300_000, "deadline_us": 900_000, "effect": "retryable", "worth": 2.0},
    {"name": "file", "aim_us": 400_000, "deadline_us": 1_500_000, "effect": "dedup", "group": "all",
     "dedup_window_us": 800_000, "late_value": 0.2},
    {"name": "post", "aim_us": 400_000, "deadline_us": 1_500_000, "effect": "dedup", "group": "zone",
     "dedup_window_us": 500_000, "late_value": 0.2, "aim_stretch": 2.0},
    {"name": "note", "aim_us": 500_000, "deadline_us": 1_500_000, "effect": "dedup", "group": "cell",
     "dedup_window_us": 500_000},
    {"name": "pay", "aim_us": 400_000, "deadline_us": 1_200_000, "effect": "fragile", "late_value": 0.2},
    {"name": "watch", "aim_us": 600_000, "deadline_us": 2_000_000, "effect": "retryable", "streamed": True},
]  # fmt: skip
PLANS: list[Fields] = [
    {"name": "open", "refill": 200.0, "depth": 400.0},
    {"name": "tight", "refill": 6.0, "depth": 12.0, "worth_factor": 2.0},
    {"name": "capped", "refill": 40.0, "depth": 80.0, "cap_rate": 12.0, "ceiling_burst": 8.0},
    {"name": "narrow", "refill": 80.0, "depth": 100.0, "open": 3},
    {"name": "free"},
]
BOUNDS: Fields = {
    "try_limit": 4,
    "parallel_tries": True,
    "cancelling": True,
    "peers": True,
    "retry_after": True,
    "max_retry_after_us": 500_000,
}


class Scenario:
    """One run of the simulator: its size, what it allows, and its load."""

    def __init__(
        self, seed: int, instances: int, servers: int, seconds: float, rate: float, *, spread: int = 3,
        discovery: str = "pushed", **bounds: Any,
    ) -> None:  # fmt: skip
        self.seed = seed
        self.instances = instances
        self.servers = servers
        self.seconds = seconds
        self.rate = rate
        self.spread = spread
        self.discovery = discovery
        self.bounds = BOUNDS | bounds

    def settings(self, ordinal: int) -> Fields:
        return {
            "ordinal": ordinal,
            "n_instances": self.instances,
            "quantum_us": 1000,
            "discovery": self.discovery,
            "bounds": self.bounds,
            "family_info": {"mail_per_s": 40.0, "most_units": 3},
            "grades": FRONTENDS,
            "packages": PLANS,
            "rules": {
                "start_capacity": 0.2,
                "cold_us": 3 * SECOND,
                "fall_multiple": 4.0,
                "fall_us": SECOND,
                "drain_grace_us": 100_000,
            },
        }


SCENARIOS = {
    "small_set": Scenario(11, instances=3, servers=6, seconds=16.0, rate=110.0),
    "large_set": Scenario(12, instances=8, servers=8, seconds=8.0, rate=130.0, spread=8),
    "on_request": Scenario(
        13, instances=2, servers=4, seconds=10.0, rate=70.0, spread=2, discovery="on_request",
        peers=False, cancelling=False, retry_after=False,
    ),
}  # fmt: skip


class Request:
    """A client's request at one instance."""

    def __init__(self, node: int, ref: str, streamed: bool) -> None:
        self.node = node
        self.ref = ref
        self.streamed = streamed
        self.answered = False
        self.attempts: list[bool] = []  # whether each is out


class World:
    """Clients, app servers and messages around the real program, by a seed; keeps all that was said."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.now = 0
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.order = 0
        self.refs = 0
        self.events: list[Fields] = []
        self.requests: dict[tuple[int, str], Request] = {}
        self.alive: set[int] = set()
        self.incarnations: Counter[int] = Counter()
        self.load: Counter[str] = Counter()  # attempts out, by server
        self.up_since = {f"s{number}": 0 for number in range(scenario.servers)}
        self.condition = dict.fromkeys(self.up_since, READY)
        self.failing: dict[str, str] = {}  # servers that fail, and how
        self.slowness = 1.0
        self.lines: list[bytes] = []
        self.program = subprocess.Popen(
            wire.simulator_command(), stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=wire.ROOT
        )

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.due, (max(round(when), self.now + 1), self.order, what))

    def send_event(self, name: str, node: int, **fields: Any) -> None:
        self.events.append({name: {"node_id": node, **fields}})

    def run(self) -> None:
        self.plan()
        while self.due and self.due[0][0] <= self.scenario.seconds * SECOND:
            self.now = self.due[0][0]
            while self.due and self.due[0][0] == self.now:
                heapq.heappop(self.due)[2]()
            if self.events:
                self.exchange()
        assert self.program.stdin is not None
        self.program.stdin.close()
        assert self.program.wait() == 0

    def exchange(self) -> None:
        assert self.program.stdin is not None
        assert self.program.stdout is not None
        batch = {"at_time_us": self.now, "news": self.events}
        line = json.dumps(batch, separators=(",", ":")).encode() + b"\n"
        self.events = []
        self.program.stdin.write(line)
        self.program.stdin.flush()
        reply = self.program.stdout.readline()
        self.lines += [line, reply]
        for action in json.loads(reply)["output"]:
            ((name, fields),) = action.items()
            self.obey(name, fields)

    def plan(self) -> None:
        """The whole run's timetable: starts, load, and troubles by their share of the run."""
        scenario = self.scenario
        length = scenario.seconds * SECOND
        for node in range(scenario.instances):
            self.at(10 + node * 7000, partial(self.start, node))
        self.at(200_000, self.arrive)
        servers = list(self.up_since)
        for share, what in (
            (0.10, lambda: self.fail(servers[0], "app_error")),
            (0.18, lambda: self.fail(servers[0], "")),
            (0.20, lambda: self.fail(servers[1], "dial_failed")),
            (0.32, lambda: self.fail(servers[1], "")),
            (0.34, lambda: self.fail(servers[2], "dropped")),
            (0.42, lambda: self.fail(servers[2], "")),
            (0.44, lambda: self.change(servers[3], DRAINING)),
            (0.48, lambda: self.change(servers[3], GONE)),
            (0.52, lambda: self.restart_server(servers[3])),
            (0.55, lambda: self.slow(14.0)),
            (0.70, lambda: self.slow(1.0)),
            (0.75, lambda: self.restart_node(scenario.instances - 1)),
            (0.80, lambda: self.fail(servers[0], "expired")),
            (0.86, lambda: self.fail(servers[0], "")),
            (0.90, lambda: self.list_all()),
        ):
            self.at(share * length, what)

    # Instances and lists

    def start(self, node: int) -> None:
        self.alive.add(node)
        self.incarnations[node] += 1
        seed = self.scenario.seed * 100 + node * 10 + self.incarnations[node]
        self.send_event("Attach", node, init_seed=seed, params=self.scenario.settings(node))
        self.send_list(node, COMPLETE, list(self.condition))

    def restart_node(self, node: int) -> None:
        self.alive.discard(node)
        self.send_event("Teardown", node)
        self.at(self.now + 300_000, lambda: self.start(node))

    def send_list(self, node: int, scope: int, servers: list[str]) -> None:
        if node not in self.alive:
            return
        if scope == FAILED:
            self.send_event("Sync", node, scope=FAILED)
            return
        rows = []
        for server in servers:
            number = int(server[1:])
            row: Fields = {"server": server, "zone": f"z{number % 3}", "cohort": number % 2}
            row |= {"condition": self.condition[server], "up_since_us": self.up_since[server]}
            rows.append(row | ({"scale": 1.5} if number % 2 else {}))
        self.send_event("Sync", node, scope=scope, rows=rows)

    def change(self, server: str, condition: int) -> None:
        self.condition[server] = condition
        for node in range(self.scenario.instances):
            self.at(self.now + 3000 * (node + 1), partial(self.send_list, node, CHANGES, [server]))

    def restart_server(self, server: str) -> None:
        self.up_since[server] = self.now
        self.change(server, READY)

    def list_all(self) -> None:
        for node in sorted(self.alive):
            self.send_list(node, COMPLETE, [s for s in self.condition if s != "s2"])

    def fail(self, server: str, how: str) -> None:
        self.failing[server] = how

    def slow(self, slowness: float) -> None:
        self.slowness = slowness

    # Clients

    def arrive(self) -> None:
        surge = 3.0 if 0.55 < self.now / SECOND / self.scenario.seconds < 0.65 else 1.0
        pause = self.random.expovariate(self.scenario.rate * surge) * SECOND
        self.at(self.now + pause, self.arrive)
        node = self.random.randrange(self.scenario.instances)
        if node not in self.alive:
            return
        frontend = self.random.choice(FRONTENDS)
        customer = self.random.randrange(15)
        plan = PLANS[customer % len(PLANS)]["name"]
        self.refs += 1
        request = Request(node, str(self.refs), frontend.get("streamed", False))
        self.requests[node, request.ref] = request
        fields: Fields = {"give_up_at_us": self.now + frontend["deadline_us"], "cls": frontend["name"]}
        fields |= {
            "user_key": f"{customer:x}",
            "tariff": plan,
            "cost_units": self.random.choice([1, 1, 2, 3]),
        }
        spread = min(self.scenario.spread, self.scenario.instances)
        self.send_event(
            "Accept", node, ref=request.ref, **fields, spread=spread, first_door=customer % spread
        )
        if self.random.random() < 0.06:
            self.at(self.now + self.random.randrange(2000, 60_000), lambda: self.leave(request))

    def leave(self, request: Request) -> None:
        if request.node in self.alive and not request.answered:
            request.answered = True
            self.send_event("CancelledByClient", request.node, ref=request.ref)

    # What the program decides

    def obey(self, name: str, fields: Fields) -> None:
        node = fields["node_id"]
        match name:
            case "SubmitTo":
                self.attempt(self.requests[node, fields["ref"]], fields["server"], fields["give_up_after_us"])
            case "Reject" | "EndFailed":
                self.requests[node, fields["ref"]].answered = True
            case "UndoSend":
                request = self.requests[node, fields["ref"]]
                number = fields["round_no"]
                late = self.random.randrange(200, 3000)
                self.at(self.now + late, lambda: self.end(request, number, "revoked", late))
            case "Post" if self.random.random() < 0.95:
                peer = fields["peer"]
                message = {"src_peer": node, "body": fields["body"]}
                self.at(self.now + self.random.randrange(500, 4000), lambda: self.hear(peer, message))
            case "After":
                incarnation = self.incarnations[node]
                nonce = fields["nonce"]
                self.at(self.now + fields["offset_us"], lambda: self.fire(node, incarnation, nonce))
            case "KeepInformed":
                scope = FAILED if self.random.random() < 0.4 else COMPLETE
                self.at(self.now + 20_000, lambda: self.send_list(node, scope, list(self.condition)))

    def hear(self, peer: int, message: Fields) -> None:
        if peer in self.alive:
            self.send_event("Message", peer, **message)
            if self.random.random() < 0.02:
                self.send_event("Message", peer, src_peer=message["src_peer"], body="ffff 1:2:zz")

    def fire(self, node: int, incarnation: int, nonce: int) -> None:
        if node in self.alive and self.incarnations[node] == incarnation:
            self.send_event("TimeoutFired", node, nonce=nonce)

    def attempt(self, request: Request, server: str, timeout_us: int) -> None:
        """How an attempt will end, and when."""
        number = len(request.attempts)
        request.attempts.append(True)
        self.load[server] += 1
        draw = self.random.random()
        result = self.failing.get(server) or ("delivered" if draw < 0.965 else "")
        result = result or self.random.choice(["app_error", "shed", "dropped", "dial_failed", "unused"])
        if self.condition[server] != READY:
            result = "shed"
        duration_us = self.random.uniform(8_000, 30_000) * self.slowness * (1.0 + 0.15 * self.load[server])
        if result not in ("delivered", "app_error", "expired"):
            duration_us = self.random.uniform(500, 5_000)
        if duration_us > timeout_us or result == "expired":
            result = "expired"
            duration_us = float(timeout_us)
        if result == "delivered" and request.streamed:
            self.at(self.now + duration_us / 2.0, lambda: self.stream(request, number))
        waited = round(duration_us)

        def ended() -> None:
            self.load[server] -= 1
            self.end(request, number, result, waited)

        self.at(self.now + duration_us, ended)

    def stream(self, request: Request, number: int) -> None:
        if request.node in self.alive and request.attempts[number] and not request.answered:
            self.send_event("Headers", request.node, ref=request.ref)

    def end(self, request: Request, number: int, result: str, waited: int) -> None:
        if not request.attempts[number]:
            return
        request.attempts[number] = False
        if request.node not in self.alive:
            return
        request.answered = request.answered or result == "delivered"
        fields: Fields = {"ref": request.ref, "round_no": number, "rc": result, "wait_time_us": waited}
        if result == "delivered" and self.random.random() < 0.15:
            fields["actual"] = self.random.choice([1, 2, 4])
        self.send_event("Completed", request.node, **fields, settled=request.answered)
        if self.random.random() < 0.01:
            self.send_event("Total", request.node, total=1)  # the program passes it over


def record_wire(path: Path, scenario: Scenario) -> None:
    world = World(scenario)
    world.run()
    with path.open("xb") as file:
        file.write(lzma.compress(b"".join(world.lines), preset=9))
    logged = [
        a["Emit"]["what"] for line in world.lines[1::2] for a in json.loads(line)["output"] if "Emit" in a
    ]
    print(path.name, path.stat().st_size, "bytes,", len(world.lines) // 2, "batches")
    print(" ", dict(wire.count(world.lines[0::2], "news")))
    print(" ", dict(wire.count(world.lines[1::2], "output")))
    print(" ", Counter(" ".join(token for token in text.split() if token.isalpha()) for text in logged))


def main() -> None:
    """Record what is not there yet."""
    if not http.DATA.exists():
        record_http(http.DATA)
    for name, scenario in SCENARIOS.items():
        path = wire.DATA / f"simulator_wire_{name}.jsonl.xz"
        if not path.exists():
            record_wire(path, scenario)


if __name__ == "__main__":
    main()
