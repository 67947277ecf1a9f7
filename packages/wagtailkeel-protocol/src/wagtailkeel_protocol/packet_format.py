"""What the handshake router needs of a packet format, and its implementation for TCP in IP."""

from __future__ import annotations

from typing import Protocol

import msgspec

from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.flow_key import endpoint_of
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.packet_builder import build_reset

OPENING = 0x01
ACK = 0x02
FIN = 0x04
RESET = 0x08
BOUNCED = 0x10


class PacketHeader(msgspec.Struct):
    """The parts of a packet that routing decides by.

    ``key`` names the flow, caller first, whichever way the packet travels. ``marks`` are the
    constants of this module. ``payload_bytes`` counts application data. ``attempt`` is 0 for the
    first copy of an opening packet, where the format tells copies apart.
    """

    key: bytes
    flags: int
    payload_bytes: int
    attempt: int = 0

    @property
    def is_opening(self) -> bool:
        """Tell whether the packet asks for a new flow."""
        return self.flags & (OPENING | ACK) == OPENING


class PacketFormat(Protocol):
    """Reads and builds the packets of callers and servers."""

    def parse_inbound(self, packet: bytes) -> PacketHeader | Malformed:
        """Read a packet that travels from a caller to a server."""

    def parse_outbound(self, packet: bytes) -> PacketHeader | Malformed:
        """Read a packet that a server has sent, or returned because it can't use it."""

    def restore_bounced(self, packet: bytes) -> bytes:
        """Return a bounced packet as its caller wrote it."""

    def build_refusal(self, packet: bytes) -> bytes | None:
        """Return the reset that answers a caller's packet; None where resets answer nothing."""

    def endpoint_of(self, key: bytes) -> bytes:
        """Return the part of a flow's key that names its route: address and port."""

    def caller_host(self, key: bytes) -> str:
        """Return the caller's address."""


class IpPacketFormat:
    """TCP in IPv4 or IPv6; a server's RST is the only "no" that TCP has, so none is bounced."""

    def parse_inbound(self, packet: bytes) -> PacketHeader | Malformed:
        """Read a packet that travels from a caller to a server."""
        key = ip.parse_flow_key(packet)
        return key if isinstance(key, Malformed) else _parse_header(packet, key)

    def parse_outbound(self, packet: bytes) -> PacketHeader | Malformed:
        """Read a packet that a server has sent."""
        key = ip.parse_flow_key(packet)
        return key if isinstance(key, Malformed) else _parse_header(packet, ip.reverse_key(key))

    def restore_bounced(self, packet: bytes) -> bytes:
        """Return the packet: nothing in it is marked."""
        return packet

    def build_refusal(self, packet: bytes) -> bytes | None:
        """Return an RST for a TCP packet that is none itself."""
        return None if ip.tcp_flags(packet) & ip.RST else build_reset(packet)

    def endpoint_of(self, key: bytes) -> bytes:
        """Return the destination address and port."""
        return endpoint_of(key)[:-1]

    def caller_host(self, key: bytes) -> str:
        """Return the source address."""
        return ip.source_host(key)


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
    return PacketHeader(key, flags, len(ip.payload_of(packet)))
