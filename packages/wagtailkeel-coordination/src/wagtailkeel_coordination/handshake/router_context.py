"""State shared by both parts of an agent's router: packet format, routing, and sending."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.routing_table import RoutingTable
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol import relay

if TYPE_CHECKING:
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_coordination.handshake.outbox import RelayOutbox
    from wagtailkeel_protocol.packet_format import PacketFormat
    from wagtailkeel_protocol.packet_format import PacketHeader
    from wagtailkeel_protocol.relay import RelayFrame
    from wagtailkeel_protocol.relay import RelayKind

Address = tuple[str, int]

HELD_NOWHERE = "held_nowhere"
"""The reason why an open flow is reset: all agents that may have it have denied it."""


class RouterContext:
    """State of one agent that both parts use; ``now`` is the time of the last event."""

    def __init__(
        self,
        own_address: Address,
        service: str,
        packet_format: PacketFormat,
        outbox: RelayOutbox,
        counters: Counters,
        event_sink: EventSink,
        now: float,
    ) -> None:
        self.own_address = own_address
        self.own_tag = relay.service_tag(service)
        self.services_by_tag: dict[int, str] = {self.own_tag: service}
        self.packet_format = packet_format
        self.outbox = outbox
        self.counters = counters
        self.emit = event_sink.emit
        self.routing = RoutingTable()
        self.now = now

    def resolve_service(self, frame: RelayFrame, key: bytes) -> str | None:
        """Return an opening's service by the newer of the sender's and this agent's routing.

        Return None if the opening has no route, or its service is not known here.
        """
        if self.routing.version > frame.routing_version:
            destinations = self.routing.find(self.packet_format.endpoint_of(key))
            return destinations.choose(key) if destinations else None
        return self.services_by_tag.get(frame.service_tag)

    def send_reset(self, packet: bytes, key: bytes) -> None:
        """Send the caller of a packet a reset, since its flow is not open."""
        refusal = self.packet_format.build_refusal(packet)
        if refusal is not None:
            self.outbox.reply(refusal, self.packet_format.caller_host(key))

    def reset_lost_flow(self, packet: bytes, header: PacketHeader) -> None:
        """Reset a flow that ended with its server, if its caller repeats the packet until answered.

        Other packets of the flow are dropped.
        """
        is_repeated = header.payload_bytes or header.flags & packet_flags.FIN
        if is_repeated and not header.flags & packet_flags.RESET:
            self.emit(events.FlowReset(flow_id(header.key), HELD_NOWHERE))
            self.send_reset(packet, header.key)

    def send(self, address: Address, kind: RelayKind, frame: RelayFrame, body: bytes) -> None:
        """Send a body that continues or answers a frame, with the service tag of the frame."""
        self.relay(address, kind, frame, frame.service_tag, body)

    def relay(
        self, address: Address, kind: RelayKind, frame: RelayFrame, tag: int, body: bytes
    ) -> None:
        """Send a body that continues or answers a frame: one hop more, and a given service tag.

        With a tag, the routing version is the newer of the frame's and this agent's; without, it
        is the frame's.
        """
        version = max(frame.routing_version, self.routing.version if tag else 0)
        self.outbox.relay(address, kind, frame.hops + 1, version, tag, body)

    def relay_packet(self, address: Address, kind: RelayKind, packet: bytes) -> None:
        """Send a packet without its frame: with one hop, no routing version and no service."""
        self.outbox.relay(address, kind, 1, 0, relay.NO_SERVICE, packet)
