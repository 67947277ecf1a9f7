"""Generic UDP Encapsulation (draft-ietf-intarea-gue), variants 0 and 1.

Variant 1 carries an IP packet without a GUE header. Variant 0 is used between wagtailkeel
processes: a header of 4 bytes, 16 bytes of private data and the IP packet; if the control bit is
set, a MessagePack message follows the 4 bytes instead.

Private data: flags (1 byte), hops (1), bucket (2), token epoch (4), table epoch (8).
"""

from __future__ import annotations

import struct

import msgspec

from wagtailkeel_protocol.malformed import Malformed

CONTROL_PREFIX = b"\x20\x00\x00\x00"
HEADER_BYTES = 20
BUCKET_OFFSET = 6
FLAG_DELIVER = 0x01
"""The receiving agent delivers the packet to its backend server."""
FLAG_NEW = 0x02
"""The packet opens a flow that was placed on the receiving agent's server."""
FLAG_REJECTED = 0x04
"""An agent returned the packet: its server does not have, or accept, the flow.

The token epoch field then holds the agent's join index, which identifies the agent's incarnation.
"""
FLAG_GRANTED = 0x08
"""The sender has granted the bucket's token to the receiver."""
FLAG_QUERY = 0x10
"""The sender does not know whether the receiver's server has the flow.

An answer with ``FLAG_REJECTED`` has this flag, too.
"""
FLAG_FOUND = 0x20
"""An agent answers a query: its server has the flow, and the packet has reached it.

The token epoch field is as with ``FLAG_REJECTED``.
"""
ANSWER_FLAGS = FLAG_REJECTED | FLAG_FOUND
"""Frames with one of these flags tell an authority about a flow; their packet is not delivered."""
MAX_HOPS = 4

_DATA_FIRST_BYTE = 4
"""Variant 0, control bit unset, header length of 4 words (the private data)."""
_HEADER = struct.Struct("!BBHBBHIQ")
_PROTOCOL_IPV4 = 4
_PROTOCOL_IPV6 = 41


class DataFrame(msgspec.Struct):
    """An encapsulated packet and its private data; ``epoch`` is the table epoch."""

    packet: bytes
    bucket: int
    epoch: int
    flags: int = 0
    hops: int = 0
    token_epoch: int = 0


def encode_header(
    bucket: int, epoch: int, flags: int = 0, hops: int = 0, token_epoch: int = 0, version: int = 4
) -> bytes:
    """Return the 20 bytes of header and private data that precede an IP packet."""
    protocol = _PROTOCOL_IPV4 if version == 4 else _PROTOCOL_IPV6
    return _HEADER.pack(_DATA_FIRST_BYTE, protocol, 0, flags, hops, bucket, token_epoch, epoch)


def header_prefix(version: int) -> bytes:
    """Return the 6 bytes that precede the bucket in a header, with flags and hops of 0."""
    return encode_header(0, 0, version=version)[:BUCKET_OFFSET]


def header_suffix(epoch: int) -> bytes:
    """Return the 12 bytes that follow the bucket in a header, with a token epoch of 0."""
    return encode_header(0, epoch)[BUCKET_OFFSET + 2 :]


def encode_frame(frame: DataFrame) -> bytes:
    """Encode a frame as a variant 0 data datagram."""
    version = frame.packet[0] >> 4
    header = encode_header(
        frame.bucket, frame.epoch, frame.flags, frame.hops, frame.token_epoch, version
    )
    return header + frame.packet


def decode_frame(datagram: bytes) -> DataFrame | Malformed:
    """Decode a variant 0 data datagram, or return why it is malformed."""
    if len(datagram) < HEADER_BYTES + 28:
        return Malformed.TRUNCATED
    first_byte, protocol, _, flags, hops, bucket, token_epoch, epoch = _HEADER.unpack_from(datagram)
    if first_byte != _DATA_FIRST_BYTE:
        return Malformed.WRONG_VERSION
    if protocol not in (_PROTOCOL_IPV4, _PROTOCOL_IPV6):
        return Malformed.FOREIGN
    return DataFrame(datagram[HEADER_BYTES:], bucket, epoch, flags, hops, token_epoch)


def peek_flags_and_hops(datagram: bytes) -> tuple[int, int]:
    """Return the flags and hops of a data datagram without decoding the rest.

    For any other datagram, return ``FLAG_REJECTED`` and 0 hops.
    """
    if len(datagram) < HEADER_BYTES or datagram[0] != _DATA_FIRST_BYTE:
        return FLAG_REJECTED, 0
    return datagram[4], datagram[5]


def is_control(datagram: bytes) -> bool:
    """Return whether a datagram carries a control message."""
    return datagram[:1] == b"\x20"
