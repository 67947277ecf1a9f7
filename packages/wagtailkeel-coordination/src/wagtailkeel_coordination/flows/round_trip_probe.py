"""Measurement of the round-trip time to the local backend server without processing.

A TCP packet of a connection that does not exist is answered with RST by the server's kernel, so
the round trip includes no processing by the server's programs.
"""

from __future__ import annotations

import ipaddress
import struct

from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_tcp

PROBE_INTERVAL_S = 0.5
PROBE_SOURCE_IPV4 = ipaddress.ip_address("192.0.2.1").packed
PROBE_SOURCE_IPV6 = ipaddress.ip_address("2001:db8::1").packed
FIRST_SOURCE_PORT = 1_024
SOURCE_PORTS = 64_000


class RoundTripProbe:
    """Builds one probe at a time; the next one is sent whether or not the last was answered."""

    def __init__(self) -> None:
        self._probe_count = 0
        self._key = b""
        self._sent_at = float("-inf")

    def build(self, endpoint: bytes, now: float) -> bytes | None:
        """Return the next probe packet to a class's endpoint, or None if none is due.

        ``endpoint`` is the packed address, port and protocol: 7 bytes for IPv4.
        """
        if now - self._sent_at < PROBE_INTERVAL_S:
            return None
        self._probe_count += 1
        self._sent_at = now
        source = PROBE_SOURCE_IPV4 if len(endpoint) == 7 else PROBE_SOURCE_IPV6
        port = struct.pack("!H", FIRST_SOURCE_PORT + self._probe_count % SOURCE_PORTS)
        address, target_port = endpoint[:-3], endpoint[-3:-1]
        self._key = source + address + port + target_port + bytes([ip.TCP])
        return build_tcp(self._key, 1, 1, ip.ACK)

    def match(self, key: bytes, now: float) -> float | None:
        """Return the round-trip time in seconds if a packet answers the probe, else None."""
        if key != self._key:
            return None
        self._key = b""
        return now - self._sent_at
