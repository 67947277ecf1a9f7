"""Frames that carry a flow's packets between balancers and agents.

Header, big-endian: kind (1 byte), hops (1), routing version (4), service tag (4). The packet
follows, or the flow key for FOUND and NOT_FOUND. In a QUEUE frame, the wait limit in milliseconds
(2 bytes) precedes the packet. The first byte differs from that of a control datagram, so that one
port can receive both.
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
_WAIT_LIMIT = struct.Struct("!H")


class RelayKind(IntEnum):
    """What the sender asks of the receiver or reports to it."""

    FORWARD = KIND_BASE
    """Balancer to directory owner: forward to the flow's server, or place an opening."""
    PLACE = KIND_BASE + 1
    """Owner to agent: accept this opening, or return it."""
    DELIVER = KIND_BASE + 2
    """Owner to agent: deliver the packet, or return it if the agent does not have the flow."""
    SEARCH = KIND_BASE + 3
    """Owner to every agent: report whether the agent has the flow, and if so deliver the packet."""
    FOUND = KIND_BASE + 4
    """Agent to owner: the agent has the flow of this key."""
    NOT_FOUND = KIND_BASE + 5
    """Agent to owner: the agent does not have the flow of this key."""
    REJECTED = KIND_BASE + 6
    """Agent to owner: returns an opening that the agent or its server did not accept.

    No server has the flow then.
    """
    RETURNED = KIND_BASE + 7
    """Agent to owner: returns a later packet, whose flow the agent does not have."""
    BUSY = KIND_BASE + 8
    """Agent to owner: returns an opening because requests wait too long at the agent's server."""
    QUEUE = KIND_BASE + 9
    """Owner to agent: accept this opening, now or within its wait limit, or return it."""
    OFFER = KIND_BASE + 10
    """Owner to agent: accept this opening, or decline it if no slot of the server is free."""
    DECLINED = KIND_BASE + 11
    """Agent to owner: returns an offered opening; the agent still accepts it if it is placed."""


class RelayFrame(msgspec.Struct):
    """A decoded frame; ``body`` is a packet or a flow key.

    ``wait_limit_s`` is how long an opening may wait at the agent, in seconds; 0 if it may not.
    """

    kind: RelayKind
    hops: int
    routing_version: int
    service_tag: int
    body: bytes
    wait_limit_s: float = 0.0


_KINDS_BY_NUMBER = {int(kind): kind for kind in RelayKind}


def encode_relay(
    kind: int, hops: int, routing_version: int, service_tag: int, body: bytes
) -> bytes:
    """Encode a frame."""
    return _HEADER.pack(kind, hops, routing_version & 0xFFFFFFFF, service_tag) + body


def encode_queued(wait_limit_s: float, packet: bytes) -> bytes:
    """Return the body of a QUEUE frame."""
    return _WAIT_LIMIT.pack(int(wait_limit_s * 1_000)) + packet


def is_relay(datagram: bytes) -> bool:
    """Return whether the first byte is that of a frame rather than of a control datagram."""
    return bool(datagram) and datagram[0] & 0xF0 == KIND_BASE


def decode_relay(datagram: bytes) -> RelayFrame | Malformed:
    """Decode a frame, or return why it is malformed."""
    if len(datagram) < HEADER_BYTES:
        return Malformed.TRUNCATED
    kind_number, hops, version, tag = _HEADER.unpack_from(datagram)
    kind = _KINDS_BY_NUMBER.get(kind_number)
    if kind is None:
        return Malformed.FOREIGN
    body = datagram[HEADER_BYTES:]
    if kind is not RelayKind.QUEUE:
        return RelayFrame(kind, hops, version, tag, body)
    if len(body) < _WAIT_LIMIT.size:
        return Malformed.TRUNCATED
    wait_limit_s = _WAIT_LIMIT.unpack_from(body)[0] / 1_000
    return RelayFrame(kind, hops, version, tag, body[_WAIT_LIMIT.size :], wait_limit_s)


def service_tag(service: str) -> int:
    """Return the number that identifies a service in frames; 0 is reserved for no service."""
    return xxhash.xxh32_intdigest(service.encode()) or 1
