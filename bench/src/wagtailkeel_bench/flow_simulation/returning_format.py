"""A packet format whose servers return packets that they can't use."""

from __future__ import annotations

from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.packet_format import IpPacketFormat
from wagtailkeel_protocol.packet_format import PacketHeader

RETURNED_FLAG = 0x40
"""A bit of the TCP flags that the simulated ends don't use otherwise."""


class ReturningPacketFormat(IpPacketFormat):
    """TCP over IP with a flag for returned packets.

    The acknowledgement number of an opening counts its transmissions, from 0.
    """

    def parse_inbound(self, packet: bytes) -> PacketHeader | Malformed:
        """Parse a packet sent from a caller to a server."""
        header = super().parse_inbound(packet)
        if not isinstance(header, Malformed) and header.is_opening:
            header.attempt = acknowledgement_of(packet)
        return header

    def parse_outbound(self, packet: bytes) -> PacketHeader | Malformed:
        """Parse a packet that a server sent or returned."""
        if not ip.tcp_flags(packet) & RETURNED_FLAG:
            return super().parse_outbound(packet)
        header = self.parse_inbound(packet)
        if not isinstance(header, Malformed):
            header.flags |= packet_flags.BOUNCED
        return header

    def restore_bounced(self, packet: bytes) -> bytes:
        """Return a bounced packet as its caller sent it."""
        return _set_flags(packet, ip.tcp_flags(packet) & ~RETURNED_FLAG)


def mark_returned(packet: bytes) -> bytes:
    """Return a caller's packet as a server returns it."""
    return _set_flags(packet, ip.tcp_flags(packet) | RETURNED_FLAG)


def acknowledgement_of(packet: bytes) -> int:
    """Return the acknowledgement number of a TCP packet."""
    offset = ip.transport_offset(packet) + 8
    return int.from_bytes(packet[offset : offset + 4], "big")


def _set_flags(packet: bytes, flags: int) -> bytes:
    offset = ip.transport_offset(packet) + 13
    return packet[:offset] + bytes((flags,)) + packet[offset + 1 :]
