"""HTTP exchanges by case name, as they were recorded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.compatibility.http_requests import (
    BUSY,
    ERROR,
    HEADERS,
    METHODS,
    PAGE,
    WITHOUT_RETRY_AFTER,
    Fields,
    case,
    client,
    request,
    request_with,
    with_lines,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

# Answers that an edge node does not pass on: name, bytes, and what the app server does after sending them.
UNFORWARDED_ANSWERS: tuple[tuple[str, bytes, str], ...] = (
    ("error", ERROR, "keep"), ("busy", BUSY, "keep"), ("cut", PAGE[:-2], "close"),
    ("reset", b"", "reset"),
    ("nonsense", b"nonsense\r\n\r\n", "close"),
    ("without length, reset", b"HTTP/1.1 200 OK\r\n\r\nx", "reset"),
    ("redirect", b"HTTP/1.1 302 Go\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", "keep"),
    ("too large", b"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + b"y" * 65537, "close"),
    ("late", b"", "hang"),
)  # fmt: skip
# An answer that the end of its stream completes; it is passed on.
ANSWER_WITHOUT_LENGTH: tuple[str, bytes, str] = ("without length", b"HTTP/1.1 200 OK\r\n\r\nx", "close")
INVALID_HEADERS = {
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
}  # fmt: skip


def forwarded_cases() -> Iterator[tuple[str, Fields]]:
    """Yields requests that are forwarded to an app server."""
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
    hop_by_hop = ["Connection: keep-alive, X-Hop", "Keep-Alive: 5", "Proxy-Connection: x", "TE: trailers",
           "Trailer: X-After", "Upgrade: h2c", "X-Hop: 1"]  # fmt: skip
    yield "hop-by-hop headers", case(client(with_lines(request(), *hop_by_hop)))
    forwarded_headers = ["Accept: */*", "accept: text/x", "X-CASE-Kept: Value ", "Authorization: Basic eA==",
            "X-Forwarded-For: 1.2.3.4", "X-Never-Ran: 1", "Endpoint-Load-Metrics: cpu=1"]  # fmt: skip
    yield "other headers and repeated ones", case(client(with_lines(request(), *forwarded_headers)))
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


def answer_cases(name: str, frontend: str, text: bytes, then: str) -> Iterator[tuple[str, Fields]]:
    """Yields exchanges with an unusual answer, first from all servers, then from one of two."""
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


def passed_cases() -> Iterator[tuple[str, Fields]]:
    """Yields answers of app servers that are passed on to the client, and answers that are not."""
    hop_by_hop = (
        b"HTTP/1.1 200 Fine\r\nconnection: keep-alive, X-Hop\r\nKeep-Alive: 9\r\nUpgrade: h2c\r\nTE: x\r\n"
        b"Trailer: X\r\nProxy-Connection: y\r\nX-Never-Ran: 1\r\nEndpoint-Load-Metrics: cpu=1\r\n"
        b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-CASE: Kept \r\nX-Hop: 1\r\nDate: now\r\n"
        b"Content-Length: 2\r\n\r\nok"
    )
    yield "answer with hop-by-hop headers", case(client(request()), servers=[[(hop_by_hop, "keep")]])
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
    for name, text, then in (*UNFORWARDED_ANSWERS, ANSWER_WITHOUT_LENGTH):
        for frontend in METHODS:
            yield from answer_cases(name, frontend, text, then)
    yield "no server listens, get", case(client(request()), servers=[], absent=3)
    yield "no server listens, fragile", case(client(request("pay")), servers=[], absent=3)


def denied_cases() -> Iterator[tuple[str, Fields]]:
    """Yields requests that are denied with 429, by a quota or for lack of an app server.

    A second request whose trace ID is in use is answered with 502, as its outcome is unknown.
    """
    single_node_quota = "units=1,spread=1,first=0"
    small_plan_requests = [
        request(X_Trace_Id=f"t{i}", Plan="small", Quota_Info=single_node_quota) for i in range(4)
    ]
    yield "quota used up", case(client(*small_plan_requests))
    yield "quota used up, no Retry-After", case(client(*small_plan_requests), settings=WITHOUT_RETRY_AFTER)
    capped = [
        request(X_Trace_Id=f"t{i}", Plan="capped", Quota_Info="units=2,spread=1,first=0") for i in (1, 2, 3)
    ]
    yield "hard ceiling", case(*(client((5.0, data)) for data in capped))
    concurrent_requests = [
        request(X_Trace_Id=f"t{i}", Plan="one", Quota_Info=single_node_quota) for i in range(2)
    ]
    yield (
        "concurrency limit",
        case(
            client((5.0, concurrent_requests[0])),
            client((50.0, concurrent_requests[1])),
            servers=[[(b"", "hang")] * 4],
            until_ms=900.0,
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
    yield "denied, then passed", case(client(*small_plan_requests[:2], request(X_Trace_Id="t9")))


def refused_body_cases() -> Iterator[tuple[str, Fields]]:
    """Yields bodies that are malformed, too large or not permitted, and requests that are not HTTP/1."""
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


def refused_cases() -> Iterator[tuple[str, Fields]]:
    """Yields invalid and incomplete requests, and connections that time out."""
    for header in ("X-Trace-Id", "Plan", "Cookie", "Quota-Info"):
        yield f"missing {header}", case(client(request_with({header: ""})))
        repeated_header = f"{header.lower()}: {HEADERS[header]}"
        yield f"repeated {header}", case(client(with_lines(request(), repeated_header)))
    yield "missing Host", case(client(request(Host="")))
    yield "missing Idempotency-Key", case(client(request("toll", Idempotency_Key="")))
    for name, headers in INVALID_HEADERS.items():
        yield name, case(client(request_with(headers)))
    yield "unknown frontend", case(client(request("other")))
    yield "root", case(client(request(target="/")))
    yield "unknown frontend, then passed", case(client(request("other"), request()))
    for frontend in METHODS:
        for method in ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"):
            if method != METHODS[frontend]:
                yield f"{method} for {frontend}", case(client(request(frontend, method=method)))
    yield from refused_body_cases()
    yield "requests ahead of an answer", case(client(request() + request(X_Trace_Id="t2")))
    yield "unknown frontends at once", case(client(request("other") * 5))
    yield "head never whole", case(client(request()[:-2]), until_ms=4500.0)
    yield "body never whole", case(client(request("toll", b"ab", Content_Length="9")), until_ms=4500.0)
    yield "second request never whole", case(client(request(), request()[:-2]), until_ms=4500.0)
    yield "silent client", case(client(), until_ms=4500.0)
    yield "idle after an answer", case(client(request()), until_ms=8000.0)


def health_cases() -> Iterator[tuple[str, Fields]]:
    """Yields requests for /healthz, requests to a stopping node, and more connections than a node allows."""
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
