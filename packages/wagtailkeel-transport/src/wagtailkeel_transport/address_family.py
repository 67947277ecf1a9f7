"""The address family of a host."""

from __future__ import annotations

import socket


def address_family(host: str) -> socket.AddressFamily:
    """Return the family of the sockets that reach a numeric address: IPv6 if it has a colon."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET
