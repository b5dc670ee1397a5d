"""Decoding of files and messages, and parsing of addresses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from onyxpost.config.address import parse_address
from onyxpost.config.decoding import Settings, decode_as, read_json_file
from onyxpost.errors import (
    FileOpenError,
    InvalidAddressError,
    InvalidInputError,
    InvalidValueError,
    ParseError,
)

if TYPE_CHECKING:
    from pathlib import Path


class Example(Settings):
    count: int


def test_text_and_decoded_values_are_read_alike() -> None:
    assert decode_as(b'{"count": 3}', Example, "x") == decode_as({"count": 3}, Example, "x")


def test_unknown_keys_are_ignored() -> None:
    assert decode_as(b'{"count": 3, "more": 4}', Example, "x") == Example(count=3)


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b'{"count": "3"}', InvalidValueError),
        (b"{}", InvalidValueError),
        (b'{"count": 3', ParseError),
        (b"\xff", ParseError),
        ({"count": None}, InvalidValueError),
    ],
)
def test_unusable_data_is_rejected_with_its_source(data: object, error: type[InvalidInputError]) -> None:
    with pytest.raises(InvalidInputError) as caught:
        decode_as(data, Example, "a file")
    assert type(caught.value) is error
    assert caught.value.location == "a file"


def test_a_file_that_cannot_be_opened_is_named(tmp_path: Path) -> None:
    path = str(tmp_path / "none.json")
    with pytest.raises(FileOpenError) as caught:
        read_json_file(path)
    assert (caught.value.message, caught.value.location) == ("No such file or directory", path)


def test_a_file_without_an_object_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "list.json"
    path.write_text("[]")
    with pytest.raises(InvalidValueError):
        read_json_file(str(path))


@pytest.mark.parametrize(
    ("text", "address"), [("127.0.0.1:80", ("127.0.0.1", 80)), ("::1:8081", ("::1", 8081)), ("a:0", ("a", 0))]
)
def test_addresses_are_a_host_and_a_port(text: str, address: tuple[str, int]) -> None:
    assert parse_address(text) == address


@pytest.mark.parametrize(
    "text", ["", "host", ":80", "host:", "host:65536", "host:000080", "host:-1", "host:x"]
)
def test_texts_that_are_not_an_address_are_rejected(text: str) -> None:
    with pytest.raises(InvalidAddressError):
        parse_address(text)
