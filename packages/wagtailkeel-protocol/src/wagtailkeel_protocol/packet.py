"""Parsing of IPv4 and IPv6 packets that carry TCP or UDP.

Sources: RFC 791, RFC 8200, RFC 9293, RFC 768.
"""

from __future__ import annotations

import ipaddress
import struct

from wagtailkeel_protocol.malformed import Malformed

TCP = 6
UDP = 17
ICMP = 1
ICMPV6 = 58
FIN = 0x01
SYN = 0x02
RST = 0x04
PSH = 0x08
ACK = 0x10
MAX_PACKET_BYTES = 9_000

_IPV4_HEADER_BYTES = 20
_IPV6_HEADER_BYTES = 40
_TCP_HEADER_BYTES = 20
_UDP_HEADER_BYTES = 8
_FRAGMENT_MASK = 0x3FFF
_unpack_sequence = struct.Struct("!I").unpack_from
_unpack_ipv4_fields = struct.Struct("!BxHxxHxB").unpack_from


def parse_flow_key(packet: bytes) -> bytes | Malformed:
    """Return the flow key of a packet from caller to server, or why the packet is malformed."""
    size = len(packet)
    if size < 28:
        return Malformed.TRUNCATED
    version, total, fragment, protocol = _unpack_ipv4_fields(packet)
    if version != 0x45:
        return _parse_slow_path(packet)
    if fragment & _FRAGMENT_MASK:
        return Malformed.FRAGMENTED
    if total != size:
        return _length_error(total, size)
    if protocol == TCP:
        return packet[12:24] + b"\x06" if size >= 40 else Malformed.TRUNCATED
    if protocol == UDP:
        return packet[12:24] + b"\x11"
    return Malformed.FOREIGN


def _parse_slow_path(packet: bytes) -> bytes | Malformed:
    version = packet[0] >> 4
    if version == 6:
        return _parse_ipv6(packet)
    if version != 4:
        return Malformed.WRONG_VERSION
    # IPv4 header options are valid but rare; the ports follow them.
    header_bytes = (packet[0] & 0x0F) * 4
    if header_bytes < _IPV4_HEADER_BYTES or len(packet) < header_bytes + _UDP_HEADER_BYTES:
        return Malformed.TRUNCATED
    if (packet[6] << 8 | packet[7]) & _FRAGMENT_MASK:
        return Malformed.FRAGMENTED
    total = packet[2] << 8 | packet[3]
    if total != len(packet):
        return _length_error(total, len(packet))
    if packet[9] not in (TCP, UDP):
        return Malformed.FOREIGN
    if packet[9] == TCP and len(packet) < header_bytes + _TCP_HEADER_BYTES:
        return Malformed.TRUNCATED
    return packet[12:20] + packet[header_bytes : header_bytes + 4] + packet[9:10]


def _parse_ipv6(packet: bytes) -> bytes | Malformed:
    if len(packet) < _IPV6_HEADER_BYTES + _UDP_HEADER_BYTES:
        return Malformed.TRUNCATED
    total = _IPV6_HEADER_BYTES + (packet[4] << 8 | packet[5])
    if total != len(packet):
        return _length_error(total, len(packet))
    # Next header 44 is the fragment header.
    if packet[6] == 44:
        return Malformed.FRAGMENTED
    if packet[6] not in (TCP, UDP):
        return Malformed.FOREIGN
    if packet[6] == TCP and len(packet) < _IPV6_HEADER_BYTES + _TCP_HEADER_BYTES:
        return Malformed.TRUNCATED
    return packet[8:44] + packet[6:7]


def _length_error(declared: int, actual: int) -> Malformed:
    return Malformed.TRUNCATED if declared > actual else Malformed.OVERSIZED


def reverse_key(key: bytes) -> bytes:
    """Swap source and destination of a key: the key of a reply becomes that of its flow."""
    if len(key) == 13:
        return key[4:8] + key[:4] + key[10:12] + key[8:10] + key[12:]
    return key[16:32] + key[:16] + key[34:36] + key[32:34] + key[36:]


def source_host(key: bytes) -> str:
    """Return the source address of a key as text."""
    return str(ipaddress.ip_address(key[:4] if len(key) == 13 else key[:16]))


def transport_offset(packet: bytes) -> int:
    """Return the offset of the TCP or UDP header of a packet that has been parsed before."""
    return (packet[0] & 0x0F) * 4 if packet[0] >> 4 == 4 else _IPV6_HEADER_BYTES


def tcp_flags(packet: bytes) -> int:
    """Return the flag bits of a TCP packet that has been parsed before."""
    return packet[transport_offset(packet) + 13]


def tcp_sequence(packet: bytes) -> int:
    """Return the sequence number of a TCP packet that has been parsed before."""
    sequence: int = _unpack_sequence(packet, transport_offset(packet) + 4)[0]
    return sequence


def payload_of(packet: bytes) -> bytes:
    """Return the bytes after the TCP or UDP header."""
    offset = transport_offset(packet)
    protocol = packet[9] if packet[0] >> 4 == 4 else packet[6]
    if protocol == UDP:
        return packet[offset + _UDP_HEADER_BYTES :]
    return packet[offset + (packet[offset + 12] >> 4) * 4 :]
