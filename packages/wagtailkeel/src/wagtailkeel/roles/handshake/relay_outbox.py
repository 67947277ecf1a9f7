"""Sends the packets and frames of an agent's router over UDP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.relay import encode_relay

if TYPE_CHECKING:
    from wagtailkeel.settings import HandshakeAgentSettings
    from wagtailkeel_protocol.messages import AnyDatagram
    from wagtailkeel_protocol.relay import RelayKind
    from wagtailkeel_transport import UdpEndpoint

Address = tuple[str, int]


class UdpRelayOutbox:
    """Implements the relay outbox of the coordination layer on UDP."""

    def __init__(
        self,
        section: HandshakeAgentSettings,
        peer_endpoint: UdpEndpoint,
        server_endpoint: UdpEndpoint,
    ) -> None:
        self._server_address = (section.server_host, section.server_port)
        self._caller_port = section.caller_port
        self._peer_endpoint = peer_endpoint
        self._server_endpoint = server_endpoint

    def deliver(self, packet: bytes) -> None:
        """Send a packet to the agent's backend server."""
        self._server_endpoint.send(packet, self._server_address)

    def reply(self, packet: bytes, caller_host: str) -> None:
        """Send a packet to its caller."""
        self._peer_endpoint.send(packet, (caller_host, self._caller_port))

    def relay(
        self,
        address: Address,
        kind: RelayKind,
        hops: int,
        routing_version: int,
        service_tag: int,
        body: bytes,
    ) -> None:
        """Send a frame to another agent."""
        frame = encode_relay(kind, hops, routing_version, service_tag, body)
        self._peer_endpoint.send(frame, address)

    def send_message(self, address: Address, message: AnyDatagram) -> None:
        """Send a message to another agent."""
        self._peer_endpoint.send(encode_datagram(message), address)
