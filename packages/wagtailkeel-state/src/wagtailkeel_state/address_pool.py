"""The pool that service addresses and class ports are taken from."""

from __future__ import annotations

from ipaddress import IPv4Network
from ipaddress import IPv6Network
from ipaddress import ip_network

import msgspec


class AddressPool(msgspec.Struct, frozen=True):
    """A network and a port range; operators never type an address themselves."""

    network: str
    first_port: int = 20_000
    last_port: int = 29_999

    @property
    def ip_network(self) -> IPv4Network | IPv6Network:
        """The network as an address object; raises ValueError where the text is not one."""
        return ip_network(self.network)

    def overlaps(self, other: AddressPool) -> bool:
        """Tell whether two pools share an address."""
        mine, theirs = self.ip_network, other.ip_network
        if isinstance(mine, IPv4Network) and isinstance(theirs, IPv4Network):
            return mine.overlaps(theirs)
        if isinstance(mine, IPv6Network) and isinstance(theirs, IPv6Network):
            return mine.overlaps(theirs)
        return False

    def first_free_address(self, taken: set[str]) -> str | None:
        """Return the lowest host address not in ``taken``, or None when the pool is used up."""
        for host in self.ip_network.hosts():
            if str(host) not in taken:
                return str(host)
        return None

    def first_free_port(self, taken: set[int]) -> int | None:
        """Return the lowest port not in ``taken``, or None when the range is used up."""
        for port in range(self.first_port, self.last_port + 1):
            if port not in taken:
                return port
        return None
