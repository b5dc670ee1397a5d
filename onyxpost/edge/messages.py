"""The small typed values that pass between the sockets and the reducer, each decoded and encoded once."""

from __future__ import annotations

import logging
import re
import traceback
from enum import Enum
from typing import Any, Literal, NamedTuple

import h11

from onyxpost.deployment import Deployment, Given, typed
from onyxpost.edge.errors import ListUnusable, NotTaken
from onyxpost.errors import NoAddress, Unreadable
from onyxpost.interface import Effect, ListRow, Result, Standing

BODY_MOST = 64 * 1024
DATAGRAM_MOST = 256

Headers = list[tuple[bytes, bytes]]

# Those of one connection only, and those between a client and its edge node: neither is passed on.
HOP = {b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade"}
KEPT_FROM_SERVERS = HOP | {b"content-length", b"expect", b"cookie", b"plan", b"quota-info", b"x-expires-in"}
KEPT_FROM_CLIENTS = HOP | {b"content-length", b"x-never-ran", b"endpoint-load-metrics"}
READ_ONCE = (b"x-trace-id", b"plan", b"cookie", b"x-expires-in", b"quota-info", b"idempotency-key")
KEY = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")  # a customer: 16 digits, a number below 2^33
SPAN = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,9})?)([mu])")  # a time and its unit
STANDINGS = {"up": Standing.READY, "draining": Standing.DRAINING, "removed": Standing.GONE}

Address = tuple[str, int]


class Place(NamedTuple):
    """Where a server is: another one may come to its address."""

    server: str
    address: Address


class Asked(NamedTuple):
    """A client's req, whole."""

    client: int
    at: float
    trace: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    frontend: str
    customer: str
    plan: str
    units: int
    spread: int
    first: int
    patience: float


class ClientLeft(NamedTuple):
    client: int


class Page(NamedTuple):
    """What an app server answered with 200, to be passed on."""

    headers: Headers
    body: bytes


class Ended(NamedTuple):
    """The one end of a dispatch."""

    dispatch: int
    result: Result
    waited: float
    page: Page | None = None


class Listed(NamedTuple):
    """What discovery told: all servers, or those that changed."""

    generation: int
    complete: bool
    rows: list[ListRow]
    addresses: dict[str, Address]


class ListFailed(NamedTuple):
    stale: bool = False  # news may count as told by now that has not come


class PeerTold(NamedTuple):
    peer: int
    body: str


class Woken(NamedTuple):
    token: int


class Granted(NamedTuple):
    """A planner's lease: units that this node may send on for a customer until `ends`."""

    customer: int
    lease: int
    units: int
    ends: float


class Withdrawn(NamedTuple):
    """A lease must not be used any more."""

    customer: int
    lease: int


Incoming = Asked | ClientLeft | Ended | Listed | ListFailed | PeerTold | Woken | Granted | Withdrawn


class Send(NamedTuple):
    dispatch: int
    to: Place
    asked: Asked
    give_up_after: float


class Close(NamedTuple):
    """End a dispatch by closing its connection."""

    dispatch: int


class Withdraw(NamedTuple):
    """The req has its answer: what is not yet written to a server must not be any more."""

    dispatch: int


class Kind(Enum):
    PASSED = "passed"
    DENIED = "denied"
    ABORTED = "aborted"


class Leave(NamedTuple):
    """A server drains, is gone, or has moved."""

    place: Place


class Answer(NamedTuple):
    client: int
    kind: Kind
    page: Page | None = None
    retry_after: float = 0.0


class Tell(NamedTuple):
    peer: int
    datagram: bytes


class Wake(NamedTuple):
    after: float
    token: int


class Spend(NamedTuple):
    """A req took units of a lease, or of the own store or of nothing (0)."""

    customer: int
    plan: str
    units: int
    lease: int


class Unused(NamedTuple):
    """A lease is used no more; so many units of it are left."""

    lease: int
    units: int


class Watch(NamedTuple):
    """Ask discovery for its changes."""


class Log(NamedTuple):
    event: str
    fields: dict[str, Any]
    level: int = logging.INFO


def fault(where: str, err: BaseException | None) -> Log:
    cause = "".join(traceback.format_exception(err)) if err is not None else ""
    return Log("fault", {"at": where, "cause": cause[-4000:]}, logging.ERROR)


Outgoing = Send | Close | Withdraw | Leave | Answer | Tell | Wake | Spend | Unused | Watch | Log


# From and to clients


def asked(client: int, at: float, request: h11.Request, known: Deployment) -> Asked:
    """What a req's head says; its body is still to come."""
    headers: Headers = list(request.headers)
    named = dict(headers)
    if len(named) < len(headers) and any(sum(n == name for n, _ in headers) > 1 for name in READ_ONCE):
        raise NotTaken(400, "a header twice")
    # One of the two lengths hides what the other shows, a req inside a body perhaps.
    if b"transfer-encoding" in named and b"content-length" in named:
        raise NotTaken(400, "two lengths", cut=True)
    length = int(named.get(b"content-length", 0))
    if length > BODY_MOST:
        raise NotTaken(413, "body over 64 KiB")
    first_part = request.target.split(b"?", 1)[0].split(b"/", 2)[1:2]
    frontend = next((f for f in known.frontends if first_part == [f.name.encode()]), None)
    if frontend is None:
        raise NotTaken(404, "unknown frontend")
    if request.method != (b"GET" if frontend.effect is Effect.REPLAYABLE else b"POST"):
        raise NotTaken(405, "not this frontend's method")
    if request.method == b"GET" and (length or b"transfer-encoding" in named):
        raise NotTaken(400, "a body where there is none")
    try:
        trace = named[b"x-trace-id"].decode("ascii")
        plan = named[b"plan"].decode("ascii")
        customer = _cookie(named[b"cookie"], b"key")
        quota = dict(_pair(part) for part in named[b"quota-info"].split(b","))
        units, spread, first = (_whole(quota[name]) for name in (b"units", b"spread", b"first"))
        patience = _span(named[b"x-expires-in"]) if b"x-expires-in" in named else frontend.client_timeout
    except KeyError as err:
        raise NotTaken(400, f"missing {str(err)[:40]}") from err
    except (ValueError, UnicodeDecodeError) as err:
        raise NotTaken(400, f"malformed header: {str(err)[:60]}") from err
    if not trace or not KEY.fullmatch(customer) or not patience > 0.0:
        raise NotTaken(400, "malformed header")
    if not (0 < units <= (known.units_most or units) and 0 < spread <= known.nodes and first < known.nodes):
        raise NotTaken(400, "quota-info out of range")
    if not any(p.name == plan for p in known.plans):
        raise NotTaken(400, "unknown plan")
    if frontend.effect is Effect.UNIQUED and not named.get(b"idempotency-key"):
        raise NotTaken(400, "missing idempotency-key")
    return Asked(
        client, at, trace, request.method, request.target, headers, b"", frontend.name,
        f"{int(customer, 16):x}", plan, units, spread, first, min(patience, frontend.client_timeout),
    )  # fmt: skip


def _cookie(text: bytes, name: bytes) -> bytes:
    return dict(_pair(part) for part in text.split(b";") if b"=" in part)[name]


def _pair(part: bytes) -> tuple[bytes, bytes]:
    name, _, value = part.partition(b"=")
    return name.strip(), value.strip()


def _whole(text: bytes) -> int:
    """Python would also read a sign, blanks and underscores."""
    if not text.isdigit() or len(text) > 9:
        raise ValueError(f"no number: {text[:20]!r}")
    return int(text)


def _span(text: bytes) -> float:
    """A number and its unit, in ms."""
    read = SPAN.fullmatch(text)
    if read is None:
        raise ValueError("x-expires-in")
    return float(read[1]) / (1.0 if read[2] == b"m" else 1000.0)


def answer(done: Answer) -> tuple[int, Headers, bytes]:
    if done.kind is Kind.PASSED and done.page is not None:
        return 200, [h for h in done.page.headers if h[0] not in KEPT_FROM_CLIENTS], done.page.body
    if done.kind is Kind.DENIED:
        wait = done.retry_after / 1000.0
        return 429, [(b"Retry-After", b"%.3f" % wait)] if wait > 0.0 else [], b""
    return 502, [], b""


# To and from app servers


def onward(a: Asked, left: float) -> tuple[h11.Request, bytes]:
    headers = [h for h in a.headers if h[0] not in KEPT_FROM_SERVERS]
    headers.append((b"X-Expires-In", b"%du" % max(1, round(left * 1000.0))))
    if a.body or a.method != b"GET":
        headers.append((b"Content-Length", b"%d" % len(a.body)))
    return h11.Request(method=a.method, target=a.target, headers=headers), a.body


def result(response: h11.Response) -> Result:
    """How a dispatch whose answer came whole has ended."""
    if response.status_code == 200:
        return Result.OK
    if response.status_code in (503, 504) and (b"x-never-ran", b"1") in list(response.headers):
        return Result.FULL
    return Result.ERROR


# From discovery


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or len(port) > 5 or not int(port) < 65536:
        raise NoAddress(f"no address: {text[:80]!r}")
    return host, int(port)


class Row(Given):
    """One server as discovery tells of it."""

    instanceId: str
    lifecycle: Literal["up", "draining", "removed"]
    hostPort: str | None = None
    zone: str | None = None
    cell: int | None = None
    weight: float | None = None
    startedAtMs: float | None = None


class Rows(Given):
    generation: int
    instances: list[Row]
    reset: bool = False


def listed(data: Any) -> Listed:
    """`data`: a list as discovery sends it, or its text."""
    try:
        return told(typed(data, Rows, "list of servers"))
    except Unreadable as err:
        raise ListUnusable(err.what, "list of servers") from err


def told(rows: Rows, place: str = "$") -> Listed:
    addresses = {}
    for i, row in enumerate(rows.instances):
        if row.hostPort:
            try:
                addresses[row.instanceId] = address(row.hostPort)
            except NoAddress as err:
                raise NoAddress(f"{err.what} - at `{place}.instances[{i}].hostPort`") from err
    return Listed(rows.generation, rows.reset, [_row(row) for row in rows.instances], addresses)


def _row(row: Row) -> ListRow:
    weight = 1.0 if row.weight is None else row.weight
    standing = STANDINGS[row.lifecycle]
    return ListRow(row.instanceId, row.zone or "", row.cell or 0, standing, weight, row.startedAtMs or 0.0)


# To and from peers


def datagram(body: str) -> bytes:
    data = body.encode("ascii")
    if len(data) > DATAGRAM_MOST:
        raise ValueError(f"datagram of {len(data)} bytes")
    return data


def peer_told(data: bytes, number: int | None) -> PeerTold | None:
    """None for strangers, who have no number, and garbage."""
    if number is None or not 0 < len(data) <= DATAGRAM_MOST or not data.isascii():
        return None
    return PeerTold(number, data.decode("ascii"))
