"""Log of acceptor states: an append-only file, synced before any message that depends on a state is sent.

An entry consists of the body's length, a CRC-32 of the length, a CRC-32 of the body, and the body in
MessagePack. The three numbers have four bytes each, big-endian. A last entry that is cut off by the end of
the file was never synced, so no message depended on it, and it is removed. A file with any other mismatch is
damaged and is refused.
"""

from __future__ import annotations

import os
from pathlib import Path
from zlib import crc32

import msgspec

from onyxpost.leadership.acceptor_state import AcceptorState
from onyxpost.leadership.errors import AcceptorLogError

COMPACT_AT_BYTES = 4 * 1024 * 1024  # a larger file is rewritten with only the last state of each role
MAX_ENTRY_BYTES = 128 * 1024  # well above a record of 64 KiB and its envelope; a greater length is damage
FILE_MODE = 0o600
READ_CHUNK_BYTES = 1 << 20
INTEGER_BYTES = 4
HEADER_BYTES = 3 * INTEGER_BYTES

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AcceptorState] = msgspec.msgpack.Decoder(AcceptorState)


def _encode_integer(value: int) -> bytes:
    return value.to_bytes(INTEGER_BYTES, "big")


def _encode_entry(state: AcceptorState) -> bytes:
    body = _encoder.encode(state)
    length = _encode_integer(len(body))
    return length + _encode_integer(crc32(length)) + _encode_integer(crc32(body)) + body


def read_entries(data: bytes, path: str) -> tuple[dict[str, AcceptorState], int]:
    """Returns the last state of each role, and the total length in bytes of the complete entries in `data`.

    `path` is named in errors.

    Raises:
        AcceptorLogError: the data is damaged, or was written in another version's format.
    """
    states: dict[str, AcceptorState] = {}
    offset = 0
    while offset + HEADER_BYTES <= len(data):
        body = _read_body(data, offset, path)
        if body is None:
            break
        try:
            state = _decoder.decode(body)
        except msgspec.DecodeError as error:
            raise AcceptorLogError(f"entry of another format at byte {offset}: {error}", path) from error
        states[state.role] = state
        offset += HEADER_BYTES + len(body)
    return states, offset


def _read_body(data: bytes, offset: int, path: str) -> bytes | None:
    """Returns the body of the entry at `offset`, or None if it is truncated. Raises AcceptorLogError."""
    body_offset = offset + HEADER_BYTES
    length_bytes = data[offset : offset + INTEGER_BYTES]
    length = int.from_bytes(length_bytes, "big")
    length_checksum = int.from_bytes(data[offset + INTEGER_BYTES : offset + 2 * INTEGER_BYTES], "big")
    body_checksum = int.from_bytes(data[offset + 2 * INTEGER_BYTES : body_offset], "big")
    if crc32(length_bytes) != length_checksum or length > MAX_ENTRY_BYTES:
        raise AcceptorLogError(f"damaged entry at byte {offset}: invalid length {length}", path)
    body = data[body_offset : body_offset + length]
    if len(body) < length:
        return None
    if crc32(body) != body_checksum:
        raise AcceptorLogError(f"damaged entry at byte {offset}: wrong checksum of {length} bytes", path)
    return body


class AcceptorLog:
    """Reads the log at `path`, creating it if it does not exist, and appends to it.

    `states` has the last state of each role.

    Raises:
        AcceptorLogError: the file is damaged, or cannot be opened, read or synced.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        try:
            self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, FILE_MODE)
            data = b"".join(iter(lambda: os.read(self.descriptor, READ_CHUNK_BYTES), b""))
            self.states, self.size = read_entries(data, path)
            if self.size < len(data):
                os.ftruncate(self.descriptor, self.size)
            os.fsync(self.descriptor)
            self._sync_directory()
        except OSError as error:
            raise AcceptorLogError(str(error.strerror), path) from error

    def append(self, state: AcceptorState) -> None:
        """Writes the state to disk and syncs it.

        Raises:
            AcceptorLogError: the state may not be durable, so no message that depends on it may be sent.
        """
        self.states[state.role] = state
        try:
            if self.size > COMPACT_AT_BYTES:
                self._compact()
                return
            data = _encode_entry(state)
            if os.write(self.descriptor, data) != len(data):
                raise AcceptorLogError(
                    f"incomplete write of {len(data)} bytes; the disk may be full", self.path
                )
            os.fsync(self.descriptor)
            self.size += len(data)
        except OSError as error:
            raise AcceptorLogError(str(error.strerror), self.path) from error

    def close(self) -> None:
        """Closes the file; `append` must not be called afterwards."""
        os.close(self.descriptor)

    def _compact(self) -> None:
        data = b"".join(_encode_entry(state) for state in self.states.values())
        new_path = f"{self.path}.new"
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        new_descriptor = os.open(new_path, flags, FILE_MODE)
        if os.write(new_descriptor, data) != len(data):
            raise AcceptorLogError(f"incomplete write of {len(data)} bytes; the disk may be full", new_path)
        os.fsync(new_descriptor)
        Path(new_path).replace(self.path)
        self._sync_directory()
        os.close(self.descriptor)
        self.descriptor = new_descriptor
        self.size = len(data)

    def _sync_directory(self) -> None:
        descriptor = os.open(Path(self.path).absolute().parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
