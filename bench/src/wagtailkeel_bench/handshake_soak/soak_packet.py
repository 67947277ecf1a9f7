"""The packets of the handshake soak, and their format for the routers."""

from __future__ import annotations

import ipaddress
import socket
import struct

import msgspec

from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.packet_format import PacketHeader

Address = tuple[str, int]

CALLER_HOST_BYTES = 4


class SoakPacket(msgspec.Struct, array_like=True):
    """A packet of a caller or a server, encoded with MessagePack.

    ``key`` is the caller's and the route's address, then their ports. ``connection`` numbers the
    flows that a caller opens from one port. ``server`` is the incarnation that has written the
    packet, or whose opening answer the caller acknowledges; it is empty in openings and in resets
    that no server has written. ``request`` is 0 in a packet without data.
    """

    key: bytes
    flags: int
    connection: int = 0
    server: str = ""
    request: int = 0
    attempt: int = 0


def encode_packet(packet: SoakPacket) -> bytes:
    """Return the packet as a datagram."""
    return msgspec.msgpack.encode(packet)


def decode_packet(datagram: bytes) -> SoakPacket:
    """Decode a datagram that a stand-in or :class:`SoakPacketFormat` has encoded."""
    return msgspec.msgpack.decode(datagram, type=SoakPacket)


class SoakPacketFormat:
    """Implements PacketFormat; servers return packets that they can't use, flagged as bounced."""

    def parse_inbound(self, packet: bytes) -> PacketHeader | Malformed:
        """Parse a packet sent from a caller to a server."""
        try:
            decoded = decode_packet(packet)
        except msgspec.MsgspecError:
            return Malformed.UNDECODABLE
        return PacketHeader(
            decoded.key,
            decoded.flags,
            1 if decoded.request else 0,
            decoded.attempt,
            decoded.connection,
        )

    parse_outbound = parse_inbound

    def restore_bounced(self, packet: bytes) -> bytes:
        """Return a bounced packet as its caller sent it."""
        decoded = decode_packet(packet)
        decoded.flags &= ~packet_flags.BOUNCED
        return encode_packet(decoded)

    def build_refusal(self, packet: bytes) -> bytes | None:
        """Return a reset without a server, or None if the packet is a reset."""
        decoded = decode_packet(packet)
        if decoded.flags & packet_flags.RESET:
            return None
        return encode_packet(SoakPacket(decoded.key, packet_flags.RESET, decoded.connection))

    def endpoint_of(self, key: bytes) -> bytes:
        """Return the route's address and port."""
        return key[4:8] + key[10:12]

    def caller_host(self, key: bytes) -> str:
        """Return the caller's address."""
        return socket.inet_ntoa(key[:CALLER_HOST_BYTES])

    def build_key(self, caller: Address, route: Address) -> bytes:
        """Return the flow key; raise ValueError if an address is not IPv4."""
        hosts = (ipaddress.IPv4Address(host).packed for host, _ in (caller, route))
        return b"".join(hosts) + struct.pack("!HH", caller[1], route[1])


def describe_flow(key: bytes) -> str:
    """Return a flow as the command line's ``explain`` takes it: caller > route."""
    caller_port, route_port = struct.unpack("!HH", key[8:12])
    caller, route = socket.inet_ntoa(key[:4]), socket.inet_ntoa(key[4:8])
    return f"{caller}:{caller_port}>{route}:{route_port}"
