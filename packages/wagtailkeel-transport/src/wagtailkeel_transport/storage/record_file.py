"""Records on disk: length (4 bytes), XXH3 checksum of the payload (8 bytes), payload."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import xxhash

from wagtailkeel_transport.errors import DamagedFileError

if TYPE_CHECKING:
    from pathlib import Path

HEADER = struct.Struct("<IQ")
MAX_RECORD_BYTES = 64 * 1024 * 1024


def encode_record(payload: bytes) -> bytes:
    """Encode a payload as a record."""
    return HEADER.pack(len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


def read_record(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at ``offset``, or None if there is no intact record."""
    if offset + HEADER.size > len(data):
        return None
    length, checksum = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    if not 0 < length <= MAX_RECORD_BYTES or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if xxhash.xxh3_64_intdigest(payload) == checksum else None


def read_records(path: Path, *, is_last_file: bool) -> tuple[list[bytes], int]:
    """Return all payloads and the offset after the last intact record.

    A crash leaves at most one partial record, at the end of the last file, since each write is
    synced before the next one. Damage anywhere else raises DamagedFileError.
    """
    data = path.read_bytes()
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = read_record(data, offset)
        if payload is None:
            if not is_last_file or _has_record_after(data, offset):
                raise DamagedFileError(path, offset, "no complete record with a matching checksum")
            break
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    return payloads, offset


def _has_record_after(data: bytes, offset: int) -> bool:
    return any(
        read_record(data, candidate) is not None
        for candidate in range(offset + 1, len(data) - HEADER.size)
    )
