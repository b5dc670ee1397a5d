"""Decoding of request headers and datagrams, and classification of responses.

An invalid header that is accepted would charge a wrong quota, and a response that is classified wrongly would
lead to a second execution of a request.
"""

from __future__ import annotations

import h11
import pytest

from onyxpost.config import deployment
from onyxpost.core.events import PeerMessageReceived
from onyxpost.core.types import AttemptResult
from onyxpost.edge.errors import RequestRejectedError
from onyxpost.edge.messages import (
    ClientRequest,
    attempt_result,
    decode_datagram,
    decode_request,
    forwarded_request,
)
from tests.edge.harness import DEPLOYMENT_SETTINGS

DEPLOYMENT = deployment.decode_deployment(DEPLOYMENT_SETTINGS)
HEADERS = {
    "x-trace-id": "t",
    "plan": "basic",
    "cookie": "a=1; key=00000000b4d65521",
    "x-expires-in": "480m",
    "quota-info": "units=2,spread=2,first=1",
    "host": "b",
    "connection": "keep-alive",
}


def decode(*changed: tuple[str, str], target: str = "/check/7?a=b") -> ClientRequest:
    """Decodes a request with some headers changed; an empty value leaves the header out."""
    headers = [(name, value) for name, value in (HEADERS | dict(changed)).items() if value]
    request = h11.Request(method="GET", target=target, headers=headers)
    return decode_request(1, 0.0, request, DEPLOYMENT)


def test_a_request_is_decoded_from_its_headers() -> None:
    request = decode()
    assert (request.frontend, request.customer, request.plan) == ("check", "b4d65521", "basic")
    assert (request.units, request.set_size, request.first_node_index) == (2, 2, 1)
    assert request.timeout_ms == 480.0


def test_a_timeout_may_be_given_in_microseconds() -> None:
    assert decode(("x-expires-in", "480500u")).timeout_ms == 480.5


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("x-trace-id", ""),
        ("plan", "gold"),
        ("cookie", "key=xyz"),
        ("cookie", "a=1"),
        ("x-expires-in", "480s"),
        ("x-expires-in", "-1m"),
        ("x-expires-in", "nanm"),
        ("cookie", "key=00000002b4d65521"),
        ("cookie", "key=0000_000b4d65521"),
        ("x-expires-in", "1e400m"),
        ("x-expires-in", "0m"),
        ("transfer-encoding", "chunked"),
        ("quota-info", "units=2"),
        ("quota-info", "units=a,spread=1,first=0"),
        ("quota-info", "units=1_0,spread=1,first=0"),
        ("quota-info", "units=-1,spread=1,first=0"),
        ("quota-info", "units=0,spread=1,first=0"),
        ("quota-info", "units=9,spread=1,first=0"),
        ("quota-info", "units=1,spread=3,first=0"),
        ("quota-info", "units=1,spread=1,first=2"),
        pytest.param("quota-info", "units=%s,spread=1,first=0" % ("9" * 5000), id="quota-info-5000-digits"),
        ("content-length", "5"),
    ],
)
def test_a_request_with_an_invalid_header_is_rejected(name: str, value: str) -> None:
    with pytest.raises(RequestRejectedError) as caught:
        decode((name, value))
    assert caught.value.status == 400


@pytest.mark.parametrize(("target", "status"), [("/other/7", 404), ("/", 404), ("/toll", 405)])
def test_a_request_for_an_unknown_frontend_or_by_a_wrong_method_is_rejected(target: str, status: int) -> None:
    with pytest.raises(RequestRejectedError) as caught:
        decode(target=target)
    assert caught.value.status == status


def test_a_forwarded_request_carries_how_long_this_node_waits() -> None:
    request, _ = forwarded_request(decode(("idempotency-key", "k")), 250.5)
    headers = dict(request.headers)
    assert (request.method, request.target) == (b"GET", b"/check/7?a=b")
    assert (headers[b"x-trace-id"], headers[b"idempotency-key"]) == (b"t", b"k")
    assert headers[b"x-expires-in"] == b"250500u"
    assert not {b"connection", b"cookie", b"quota-info"} & set(headers)


@pytest.mark.parametrize(
    ("status", "headers", "result"),
    [
        (200, [], AttemptResult.OK),
        (500, [], AttemptResult.ERROR),
        (503, [], AttemptResult.ERROR),
        (503, [("x-never-ran", "1")], AttemptResult.FULL),
        (504, [("x-never-ran", "1")], AttemptResult.FULL),
        (500, [("x-never-ran", "1")], AttemptResult.ERROR),
        (503, [("x-never-ran", "0")], AttemptResult.ERROR),
    ],
)
def test_only_a_header_of_the_server_proves_that_it_did_not_execute_a_request(
    status: int, headers: list[tuple[str, str]], result: AttemptResult
) -> None:
    response = h11.Response(status_code=status, headers=headers)
    assert attempt_result(response) == result


@pytest.mark.parametrize(("data", "peer"), [(b"ok", None), (b"\xff", 1), (b"", 1), (b"x" * 257, 1)], ids=str)
def test_datagrams_of_unknown_senders_and_malformed_ones_are_ignored(data: bytes, peer: int | None) -> None:
    assert decode_datagram(data, peer) is None


def test_a_datagram_of_a_peer_is_decoded() -> None:
    assert decode_datagram(b"ok", 1) == PeerMessageReceived(1, "ok")
