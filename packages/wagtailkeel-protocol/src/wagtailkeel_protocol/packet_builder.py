"""Building of IP packets: TCP resets and probes, ICMP errors, and the bench's packets.

Sources: RFC 1071 (checksum), RFC 792 and RFC 4443 (ICMP), RFC 9293 section 3.10.7 (resets).
"""

from __future__ import annotations

import struct

from wagtailkeel_protocol import packet as ip

HOP_LIMIT = 64
ICMP_UNREACHABLE = 3
ICMP_ADMINISTRATIVELY_PROHIBITED = 13
ICMPV6_UNREACHABLE = 1
ICMPV6_ADMINISTRATIVELY_PROHIBITED = 1
QUOTED_BYTES = 64


def checksum(data: bytes) -> int:
    """Return the internet checksum of ``data``."""
    if len(data) % 2:
        data += b"\0"
    total: int = sum(struct.unpack(f"!{len(data) // 2}H", data))
    total = (total & 0xFFFF) + (total >> 16)
    return ~(total + (total >> 16)) & 0xFFFF


def build_ip(source: bytes, destination: bytes, protocol: int, segment: bytes) -> bytes:
    """Return an IPv4 or IPv6 packet, depending on the length of the packed addresses."""
    if len(source) == 16:
        return (
            struct.pack("!IHBB", 0x60000000, len(segment), protocol, HOP_LIMIT)
            + source
            + destination
            + segment
        )
    header = struct.pack(
        "!BBHHHBBH4s4s",
        0x45,
        0,
        20 + len(segment),
        0,
        0,
        HOP_LIMIT,
        protocol,
        0,
        source,
        destination,
    )
    return header[:10] + struct.pack("!H", checksum(header)) + header[12:] + segment


def build_tcp(
    key: bytes, sequence: int, acknowledgement: int, flags: int, payload: bytes = b""
) -> bytes:
    """Return a TCP packet from the source to the destination of ``key``."""
    source, destination, ports = _split_key(key)
    header = ports + struct.pack(
        "!IIBBHHH", sequence & 0xFFFFFFFF, acknowledgement & 0xFFFFFFFF, 0x50, flags, 0xFFFF, 0, 0
    )
    segment = header + payload
    tcp_checksum = _pseudo_header_checksum(source, destination, ip.TCP, segment)
    segment = segment[:16] + struct.pack("!H", tcp_checksum) + segment[18:]
    return build_ip(source, destination, ip.TCP, segment)


def build_udp(key: bytes, payload: bytes) -> bytes:
    """Return a UDP packet from the source to the destination of ``key``."""
    source, destination, ports = _split_key(key)
    segment = ports + struct.pack("!HH", 8 + len(payload), 0) + payload
    udp_checksum = _pseudo_header_checksum(source, destination, ip.UDP, segment) or 0xFFFF
    segment = segment[:6] + struct.pack("!H", udp_checksum) + segment[8:]
    return build_ip(source, destination, ip.UDP, segment)


def build_reset(packet: bytes) -> bytes:
    """Return the RST that answers a caller's TCP packet, with the server as its source."""
    offset = ip.transport_offset(packet)
    sequence, acknowledgement = struct.unpack_from("!II", packet, offset + 4)
    flags = packet[offset + 13]
    parsed = ip.parse_flow_key(packet)
    assert isinstance(parsed, bytes), "a packet to answer with RST must parse"
    key = ip.reverse_key(parsed)
    if flags & ip.ACK:
        return build_tcp(key, acknowledgement, 0, ip.RST)
    length = len(ip.payload_of(packet)) + bool(flags & ip.SYN) + bool(flags & ip.FIN)
    return build_tcp(key, 0, sequence + length, ip.RST | ip.ACK)


def build_abort(packet: bytes) -> bytes:
    """Return an RST that follows a server's TCP packet in the same direction."""
    offset = ip.transport_offset(packet)
    sequence, acknowledgement = struct.unpack_from("!II", packet, offset + 4)
    parsed = ip.parse_flow_key(packet)
    assert isinstance(parsed, bytes), "a packet to follow with RST must parse"
    return build_tcp(parsed, sequence, acknowledgement, ip.RST | ip.ACK)


def build_probe(packet: bytes) -> bytes:
    """Return a TCP keep-alive probe in the direction of ``packet``, a caller's packet.

    The server answers ACK if it has the flow, else RST.
    """
    offset = ip.transport_offset(packet)
    sequence, acknowledgement = struct.unpack_from("!II", packet, offset + 4)
    parsed = ip.parse_flow_key(packet)
    assert isinstance(parsed, bytes), "a packet to build a probe from must parse"
    return build_tcp(parsed, sequence - 1, acknowledgement, ip.ACK)


def build_unreachable(packet: bytes) -> bytes:
    """Return the ICMP error "administratively prohibited" for a caller's packet."""
    is_ipv4 = packet[0] >> 4 == 4
    caller = packet[12:16] if is_ipv4 else packet[8:24]
    server = packet[16:20] if is_ipv4 else packet[24:40]
    quoted = packet[:QUOTED_BYTES]
    if is_ipv4:
        type_and_code = (ICMP_UNREACHABLE, ICMP_ADMINISTRATIVELY_PROHIBITED)
        body = struct.pack("!BBHI", *type_and_code, 0, 0) + quoted
        body = body[:2] + struct.pack("!H", checksum(body)) + body[4:]
        return build_ip(server, caller, ip.ICMP, body)
    type_and_code = (ICMPV6_UNREACHABLE, ICMPV6_ADMINISTRATIVELY_PROHIBITED)
    body = struct.pack("!BBHI", *type_and_code, 0, 0) + quoted
    icmp_checksum = _pseudo_header_checksum(server, caller, ip.ICMPV6, body)
    body = body[:2] + struct.pack("!H", icmp_checksum) + body[4:]
    return build_ip(server, caller, ip.ICMPV6, body)


def build_refusal(packet: bytes) -> bytes:
    """Return the packet that refuses a caller's packet: RST for TCP, an ICMP error for UDP."""
    protocol = packet[9] if packet[0] >> 4 == 4 else packet[6]
    return build_reset(packet) if protocol == ip.TCP else build_unreachable(packet)


def _split_key(key: bytes) -> tuple[bytes, bytes, bytes]:
    size = 4 if len(key) == 13 else 16
    return key[:size], key[size : 2 * size], key[2 * size : 2 * size + 4]


def _pseudo_header_checksum(
    source: bytes, destination: bytes, protocol: int, segment: bytes
) -> int:
    pseudo_header = source + destination + struct.pack("!II", len(segment), protocol)
    return checksum(pseudo_header + segment)
