"""Generic UDP Encapsulation (draft-ietf-intarea-gue), variants 0 and 1.

Variant 1 carries an IP packet with no header of its own. Variant 0 is used between our own
processes: 4 bytes of header, then 16 bytes of private data, then the IP packet; with the control
bit set, a MessagePack datagram follows the 4 bytes instead.

Private data: marks (1 byte), hops (1), bucket (2), token epoch (4), table epoch (8).
"""

from __future__ import annotations

import struct

import msgspec

from wagtailkeel_protocol.malformed import Malformed

CONTROL_PREFIX = b"\x20\x00\x00\x00"
HEADER_BYTES = 20
BUCKET_OFFSET = 6
FLAG_DELIVER = 0x01
FLAG_NEW = 0x02
FLAG_REJECTED = 0x04
FLAG_GRANTED = 0x08
MAX_HOPS = 4

_DATA_FIRST_BYTE = 4
_HEADER = struct.Struct("!BBHBBHIQ")
_PROTOCOL_IPV4 = 4
_PROTOCOL_IPV6 = 41


class DataFrame(msgspec.Struct):
    """An encapsulated packet and its private data."""

    packet: bytes
    bucket: int
    epoch: int
    flags: int = 0
    hops: int = 0
    token_epoch: int = 0


def encode_header(
    bucket: int, epoch: int, flags: int = 0, hops: int = 0, token_epoch: int = 0, version: int = 4
) -> bytes:
    """Return the 20 bytes that go before an IP packet."""
    protocol = _PROTOCOL_IPV4 if version == 4 else _PROTOCOL_IPV6
    return _HEADER.pack(_DATA_FIRST_BYTE, protocol, 0, flags, hops, bucket, token_epoch, epoch)


def header_prefix(version: int) -> bytes:
    """Return the 6 bytes of a header before the bucket, without marks and hops."""
    return encode_header(0, 0, version=version)[:BUCKET_OFFSET]


def header_suffix(epoch: int) -> bytes:
    """Return the 12 bytes of a header behind the bucket."""
    return encode_header(0, epoch)[BUCKET_OFFSET + 2 :]


def encode_frame(frame: DataFrame) -> bytes:
    """Return a whole datagram."""
    version = frame.packet[0] >> 4
    header = encode_header(
        frame.bucket, frame.epoch, frame.flags, frame.hops, frame.token_epoch, version
    )
    return header + frame.packet


def decode_frame(datagram: bytes) -> DataFrame | Malformed:
    """Read a variant 0 data datagram."""
    if len(datagram) < HEADER_BYTES + 28:
        return Malformed.TRUNCATED
    first_byte, protocol, _, flags, hops, bucket, token_epoch, epoch = _HEADER.unpack_from(datagram)
    if first_byte != _DATA_FIRST_BYTE:
        return Malformed.WRONG_VERSION
    if protocol not in (_PROTOCOL_IPV4, _PROTOCOL_IPV6):
        return Malformed.FOREIGN
    return DataFrame(datagram[HEADER_BYTES:], bucket, epoch, flags, hops, token_epoch)


def peek_flags_and_hops(datagram: bytes) -> tuple[int, int]:
    """Return marks and hops of a data datagram; anything else counts as rejected."""
    if len(datagram) < HEADER_BYTES or datagram[0] != _DATA_FIRST_BYTE:
        return FLAG_REJECTED, 0
    return datagram[4], datagram[5]


def is_control(datagram: bytes) -> bool:
    """Tell whether a datagram carries a control message."""
    return datagram[:1] == b"\x20"
