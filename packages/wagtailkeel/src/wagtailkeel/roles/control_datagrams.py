"""Datagrams between nodes and control."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wagtailkeel.roles.address_book import AddressBook
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_transport import UdpEndpoint


class ControlDatagrams:
    """Sends datagrams to instances by id, and counts their bytes as cost of control."""

    def __init__(
        self, address_book: AddressBook, endpoint: UdpEndpoint, counters: Counters
    ) -> None:
        self._address_book = address_book
        self._endpoint = endpoint
        self._counters = counters

    def send(self, instance_id: str, datagram: bytes) -> bool:
        """Send a datagram; return False if the instance's address is unknown."""
        address = self._address_book.datagram_address(instance_id)
        if address is None:
            return False
        self._counters["control_bytes_sent"] += len(datagram)
        self._endpoint.send(datagram, address)
        return True
