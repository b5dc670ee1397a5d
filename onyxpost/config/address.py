"""Network addresses in the form `host:port`, as files and messages contain them."""

from __future__ import annotations

from onyxpost.errors import InvalidAddressError, with_key_path

Address = tuple[str, int]
"""Host name or IP address, and port."""

PORT_LIMIT = 65_536  # ports are below this number
MAX_PORT_DIGITS = 5
MAX_QUOTED_CHARS = 80


def parse_address(text: str) -> Address:
    """Parses `host:port`; an IPv6 address is written without brackets, as in `::1:8081`.

    Raises:
        InvalidAddressError: the host is empty, or the port is not a number below `PORT_LIMIT`.
    """
    host, _, port = text.rpartition(":")
    is_port = port.isdecimal() and len(port) <= MAX_PORT_DIGITS and int(port) < PORT_LIMIT
    if not host or not is_port:
        raise InvalidAddressError(
            f"expected host:port with a port below {PORT_LIMIT}, got {text[:MAX_QUOTED_CHARS]!r}"
        )
    return host, int(port)


def parse_address_at(path: str, text: str, source: str = "") -> Address:
    """Parses the address that is the value of one key of a file.

    Args:
        path: the key's path in the file, for errors.
        text: the value of the key.
        source: the file's path, for errors; empty if the caller adds it.

    Raises:
        InvalidAddressError: the text is not an address; the message ends with the key's path.
    """
    try:
        return parse_address(text)
    except InvalidAddressError as error:
        raise InvalidAddressError(with_key_path(error.message, path), source) from error
