"""Sends an agent's packets and messages over UDP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.gue import encode_frame

if TYPE_CHECKING:
    from wagtailkeel.roles.address_book import AddressBook
    from wagtailkeel.settings import AgentSettings
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_protocol.gue import DataFrame
    from wagtailkeel_protocol.messages import AnyDatagram
    from wagtailkeel_transport import UdpEndpoint


class AgentOutbox:
    """Implements the packet and datagram outboxes of the coordination layer over UDP."""

    def __init__(
        self,
        section: AgentSettings,
        address_book: AddressBook,
        peer_endpoint: UdpEndpoint,
        server_endpoint: UdpEndpoint,
        counters: Counters,
    ) -> None:
        self.delivered_packets = 0
        self.returned_packets = 0
        self._address_book = address_book
        self._peer_endpoint = peer_endpoint
        self._server_endpoint = server_endpoint
        self._counters = counters
        self._server_address = (section.server_host, section.server_port)
        self._gateway_address = (section.caller_gateway_host, section.caller_gateway_port)

    def deliver(self, packet: bytes) -> None:
        """Send a packet to the local backend server."""
        self.delivered_packets += 1
        self._server_endpoint.send(packet, self._server_address)

    def reply(self, packet: bytes) -> None:
        """Send a packet of the local backend server to the caller gateway."""
        self.returned_packets += 1
        self._server_endpoint.send(packet, self._gateway_address)

    def forward(self, server_id: str, frame: DataFrame) -> None:
        """Send a frame to another agent."""
        address = self._address_book.datagram_address(server_id)
        if address is None:
            self._counters["dropped_no_address"] += 1
            return
        self._peer_endpoint.send(encode_frame(frame), address)

    def send(self, instance_id: str, message: AnyDatagram) -> None:
        """Send a message to another instance."""
        address = self._address_book.datagram_address(instance_id)
        if address is None:
            self._counters["dropped_no_address"] += 1
            return
        datagram = encode_datagram(message)
        self._counters["control_bytes_sent"] += len(datagram)
        self._counters[f"sent_{type(message).__name__}"] += 1
        self._peer_endpoint.send(datagram, address)
