"""The packet format interface of the handshake router, and its implementation for TCP over IP."""

from __future__ import annotations

import ipaddress
import struct
from typing import Protocol

import msgspec

from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.flow_key import endpoint_of
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.packet_builder import build_reset

Address = tuple[str, int]

OPENING = 0x01
ACK = 0x02
FIN = 0x04
RESET = 0x08
BOUNCED = 0x10
"""The server returned a caller's packet because it can't use it."""


class PacketHeader(msgspec.Struct):
    """The header fields of a packet that routing depends on.

    ``key`` identifies the flow, caller first, in both directions. ``flags`` is a set of this
    module's constants. ``payload_bytes`` counts application data. ``attempt`` is 0 for the first
    transmission of an opening, and in formats that do not distinguish retransmissions.
    ``initial_sequence`` is the sequence number of an opening, which all its transmissions share; 0
    in other packets.
    """

    key: bytes
    flags: int
    payload_bytes: int
    attempt: int = 0
    initial_sequence: int = 0

    @property
    def is_opening(self) -> bool:
        """Return whether the packet requests a new flow."""
        return self.flags & (OPENING | ACK) == OPENING


class PacketFormat(Protocol):
    """Parses and builds the packets of callers and servers."""

    def parse_inbound(self, packet: bytes) -> PacketHeader | Malformed:
        """Parse a packet sent from a caller to a server."""

    def parse_outbound(self, packet: bytes) -> PacketHeader | Malformed:
        """Parse a packet that a server sent, or returned (bounced) because it can't use it."""

    def restore_bounced(self, packet: bytes) -> bytes:
        """Return a bounced packet as its caller sent it."""

    def build_refusal(self, packet: bytes) -> bytes | None:
        """Return the reset that refuses a caller's packet, or None if the packet is a reset."""

    def endpoint_of(self, key: bytes) -> bytes:
        """Return the part of a flow key that identifies its route: address and port."""

    def caller_host(self, key: bytes) -> str:
        """Return the caller's address of a flow key."""

    def build_key(self, caller: Address, route: Address) -> bytes:
        """Return the flow key of a caller and a route; raise ValueError if they can't have one."""


class IpPacketFormat:
    """TCP over IPv4 or IPv6; TCP servers can refuse a packet only by RST, so none is bounced."""

    def parse_inbound(self, packet: bytes) -> PacketHeader | Malformed:
        """Parse a packet sent from a caller to a server."""
        key = ip.parse_flow_key(packet)
        return key if isinstance(key, Malformed) else _parse_header(packet, key)

    def parse_outbound(self, packet: bytes) -> PacketHeader | Malformed:
        """Parse a packet that a server sent."""
        key = ip.parse_flow_key(packet)
        return key if isinstance(key, Malformed) else _parse_header(packet, ip.reverse_key(key))

    def restore_bounced(self, packet: bytes) -> bytes:
        """Return the packet unchanged: the format has no flag for bounced packets."""
        return packet

    def build_refusal(self, packet: bytes) -> bytes | None:
        """Return an RST, or None if the packet is an RST."""
        return None if ip.tcp_flags(packet) & ip.RST else build_reset(packet)

    def endpoint_of(self, key: bytes) -> bytes:
        """Return the destination address and port."""
        return endpoint_of(key)[:-1]

    def caller_host(self, key: bytes) -> str:
        """Return the source address of the key."""
        return ip.source_host(key)

    def build_key(self, caller: Address, route: Address) -> bytes:
        """Return the key; raise ValueError if one address is IPv4 and the other IPv6."""
        source, destination = (ipaddress.ip_address(host).packed for host, _ in (caller, route))
        if len(source) != len(destination):
            raise ValueError(f"{caller[0]} and {route[0]} are not of the same IP version")
        return source + destination + struct.pack("!HHB", caller[1], route[1], ip.TCP)


def _parse_header(packet: bytes, key: bytes) -> PacketHeader | Malformed:
    if key[-1] != ip.TCP:
        return Malformed.FOREIGN
    tcp_flags = ip.tcp_flags(packet)
    flags = 0
    if tcp_flags & ip.SYN:
        flags |= OPENING
    if tcp_flags & ip.ACK:
        flags |= ACK
    if tcp_flags & ip.FIN:
        flags |= FIN
    if tcp_flags & ip.RST:
        flags |= RESET
    header = PacketHeader(key, flags, len(ip.payload_of(packet)))
    if header.is_opening:
        header.initial_sequence = ip.tcp_sequence(packet)
    return header
