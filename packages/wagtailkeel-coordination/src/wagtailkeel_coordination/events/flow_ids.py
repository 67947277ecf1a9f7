"""Ids of flows in events, which any node derives from addresses and ports."""

from __future__ import annotations

import xxhash


def flow_id(key: bytes) -> str:
    """Return the id of a flow in events: 16 hexadecimal digits.

    The id is the XXH3 hash of the caller's address, the route's address, the caller's port and the
    route's port, in network byte order; a protocol number after them is left out.
    """
    addresses_and_ports = key[: len(key) & ~1]
    return f"{xxhash.xxh3_64_intdigest(addresses_and_ports):016x}"
