"""Pool from which service addresses and class ports are assigned."""

from __future__ import annotations

from ipaddress import IPv4Network
from ipaddress import IPv6Network
from ipaddress import ip_network

import msgspec


class AddressPool(msgspec.Struct, frozen=True):
    """A network and a port range from which control assigns; operators never enter an address."""

    network: str
    first_port: int = 20_000
    last_port: int = 29_999

    @property
    def ip_network(self) -> IPv4Network | IPv6Network:
        """The network as an address object; raises ValueError if the text is not a network."""
        return ip_network(self.network)

    def overlaps(self, other: AddressPool) -> bool:
        """Return whether the two pools share an address."""
        own_network, other_network = self.ip_network, other.ip_network
        if isinstance(own_network, IPv4Network) and isinstance(other_network, IPv4Network):
            return own_network.overlaps(other_network)
        if isinstance(own_network, IPv6Network) and isinstance(other_network, IPv6Network):
            return own_network.overlaps(other_network)
        return False

    def first_free_address(self, taken: set[str]) -> str | None:
        """Return the lowest host address not in ``taken``, or None if all are taken."""
        for host in self.ip_network.hosts():
            if str(host) not in taken:
                return str(host)
        return None

    def first_free_port(self, taken: set[int]) -> int | None:
        """Return the lowest port not in ``taken``, or None if all are taken."""
        for port in range(self.first_port, self.last_port + 1):
            if port not in taken:
                return port
        return None
