"""Flow keys: the addresses, ports and protocol of a flow as bytes, the caller's first.

An IPv4 key has 13 bytes, an IPv6 key 37: source address, destination address, source port,
destination port, protocol number.
"""

from __future__ import annotations

import ipaddress
import struct

import xxhash

FlowKey = bytes
"""Type alias for annotations."""

IPV4_KEY_BYTES = 13


def hash_flow(key: FlowKey) -> int:
    """Return the 64-bit XXH3 hash of a key, which selects the flow's bucket."""
    return xxhash.xxh3_64_intdigest(key)


def endpoint_key(address: str, port: int, protocol: int) -> bytes:
    """Return the key part of a traffic class: destination address, destination port, protocol."""
    return ipaddress.ip_address(address).packed + struct.pack("!HB", port, protocol)


def endpoint_of(key: FlowKey) -> bytes:
    """Return the part of a flow key that identifies its traffic class, see ``endpoint_key``."""
    if len(key) == IPV4_KEY_BYTES:
        return key[4:8] + key[10:]
    return key[16:32] + key[34:]


def describe_flow(key: FlowKey) -> str:
    """Format a key as text for dumps and logs."""
    size = 4 if len(key) == IPV4_KEY_BYTES else 16
    source = ipaddress.ip_address(key[:size])
    destination = ipaddress.ip_address(key[size : 2 * size])
    source_port, destination_port, protocol = struct.unpack("!HHB", key[2 * size :])
    return f"{source}:{source_port}>{destination}:{destination_port}/{protocol}"
