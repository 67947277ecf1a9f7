"""Frames that carry a flow's packets between balancers and agents.

Header, big-endian: kind (1 byte), hops (1), routing version (4), service tag (4). The packet, or
for FOUND and NOT_FOUND the flow's key, follows. The first byte differs from that of a control
datagram, so that both arrive on one port.
"""

from __future__ import annotations

import struct
from enum import IntEnum

import msgspec
import xxhash

from wagtailkeel_protocol.malformed import Malformed

HEADER_BYTES = 10
MAX_HOPS = 6
NO_SERVICE = 0
KIND_BASE = 0x40

_HEADER = struct.Struct("!BBII")


class RelayKind(IntEnum):
    """What the receiver is asked to do."""

    FORWARD = KIND_BASE
    """Balancer to directory owner: find the flow's server, or place an opening."""
    PLACE = KIND_BASE + 1
    """Owner to agent: take this opening, or return it."""
    DELIVER = KIND_BASE + 2
    """Owner to agent: the flow is yours; return the packet if it is not."""
    SEARCH = KIND_BASE + 3
    """Owner to every agent: deliver the packet if the flow is yours, and say which it is."""
    FOUND = KIND_BASE + 4
    """Agent to owner: the flow of this key is here."""
    NOT_FOUND = KIND_BASE + 5
    """Agent to owner: the flow of this key is not here."""
    REJECTED = KIND_BASE + 6
    """Agent to owner: an opening comes back, no server has it."""
    RETURNED = KIND_BASE + 7
    """Agent to owner: a later packet comes back, its flow is not here."""
    BUSY = KIND_BASE + 8
    """Agent to owner: an opening comes back, requests of the server wait for too long."""


class RelayFrame(msgspec.Struct):
    """A frame that has been read; ``body`` is a packet or a flow's key."""

    kind: RelayKind
    hops: int
    routing_version: int
    service_tag: int
    body: bytes


_KINDS_BY_NUMBER = {int(kind): kind for kind in RelayKind}


def encode_relay(
    kind: int, hops: int, routing_version: int, service_tag: int, body: bytes
) -> bytes:
    """Return a frame."""
    return _HEADER.pack(kind, hops, routing_version & 0xFFFFFFFF, service_tag) + body


def is_relay(datagram: bytes) -> bool:
    """Tell a frame from a control datagram by its first byte."""
    return bool(datagram) and datagram[0] & 0xF0 == KIND_BASE


def decode_relay(datagram: bytes) -> RelayFrame | Malformed:
    """Read a frame."""
    if len(datagram) < HEADER_BYTES:
        return Malformed.TRUNCATED
    kind_number, hops, version, tag = _HEADER.unpack_from(datagram)
    kind = _KINDS_BY_NUMBER.get(kind_number)
    if kind is None:
        return Malformed.FOREIGN
    return RelayFrame(kind, hops, version, tag, datagram[HEADER_BYTES:])


def service_tag(service: str) -> int:
    """Return the number that names a service in frames; 0 is kept for none."""
    return xxhash.xxh32_intdigest(service.encode()) or 1
