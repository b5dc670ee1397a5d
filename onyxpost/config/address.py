"""Network addresses as files and messages write them."""

from __future__ import annotations

from onyxpost.errors import InvalidAddressError, at_key

Address = tuple[str, int]
"""A host's name or IP address, and a port."""

PORT_LIMIT = 65_536
MAX_PORT_DIGITS = 5
MAX_QUOTED_LENGTH = 80


def parse_address(text: str) -> Address:
    """Parses `host:port`.

    Raises:
        InvalidAddressError: the text is no address.
    """
    host, _, port = text.rpartition(":")
    is_port = port.isdecimal() and len(port) <= MAX_PORT_DIGITS and int(port) < PORT_LIMIT
    if not host or not is_port:
        raise InvalidAddressError(f"no address: {text[:MAX_QUOTED_LENGTH]!r}")
    return host, int(port)


def parse_address_at(path: str, text: str, source: str = "") -> Address:
    """Parses the address of one key of a file.

    Args:
        path: the key's path in the file, for errors.
        text: its value.
        source: the file, for errors; empty if the caller adds it.

    Raises:
        InvalidAddressError: the text is no address; the message ends with the path.
    """
    try:
        return parse_address(text)
    except InvalidAddressError as error:
        raise InvalidAddressError(at_key(error.message, path), source) from error
