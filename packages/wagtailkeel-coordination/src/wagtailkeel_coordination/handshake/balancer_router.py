"""Forwards each packet that arrives at a balancer to the directory owner of its flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.owner_map import OwnerMap
from wagtailkeel_coordination.handshake.route_explanation import build_flow_key
from wagtailkeel_coordination.handshake.route_explanation import explain_route
from wagtailkeel_coordination.handshake.routing_table import RoutingTable
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_protocol.packet_format import PacketFormat
    from wagtailkeel_protocol.packet_format import PacketHeader
    from wagtailkeel_protocol.where_messages import WhereReply
    from wagtailkeel_state.routing import RoutingDocument

Address = tuple[str, int]


class BalancerRouter:
    """Routes packets of callers without keeping state about flows.

    ``is_routing_current`` returns whether control has recently confirmed that the balancer has the
    current routing document.
    """

    def __init__(
        self,
        packet_format: PacketFormat,
        send: Callable[[bytes, Address], None],
        reply: Callable[[bytes, str], None],
        counters: Counters,
        event_sink: EventSink,
        is_routing_current: Callable[[], bool],
    ) -> None:
        self.routing = RoutingTable()
        self.owners = OwnerMap()
        self._format = packet_format
        self._send = send
        self._reply = reply
        self._counters = counters
        self._emit = event_sink.emit
        self._is_routing_current = is_routing_current
        self._tags_by_service: dict[str, int] = {}

    def apply_routing(self, document: RoutingDocument) -> None:
        """Apply a newer routing document."""
        if self.routing.update(document):
            names = document.policies_by_service
            self._tags_by_service = {name: relay.service_tag(name) for name in names}

    def on_packet(self, packet: bytes) -> None:
        """Forward a caller's packet to the directory owner of its flow."""
        header = self._format.parse_inbound(packet)
        if isinstance(header, Malformed):
            self._counters[f"dropped_{header.value}"] += 1
            return
        tag = relay.NO_SERVICE
        if header.is_opening:
            destinations = self.routing.find(self._format.endpoint_of(header.key))
            if destinations is None:
                self._on_unknown_route(packet, header)
                return
            tag = self._tags_by_service[destinations.choose(header.key)]
        owner = self.owners.owner_of(header.key)
        if owner is None:
            self._counters["dropped_no_agent"] += 1
            return
        self._counters["packets_forwarded"] += 1
        frame = relay.encode_relay(RelayKind.FORWARD, 0, self.routing.version, tag, packet)
        self._send(frame, owner)

    def explain_opening(self, caller: str, route: str) -> WhereReply:
        """Return the service and the directory owner to which an opening would be forwarded.

        ``caller`` and ``route`` are "host:port"; raise AddressError if one of them is not.
        """
        key = build_flow_key(self._format, caller, route)
        reply = explain_route(self.routing, self._format, key)
        reply.owner_host, reply.owner_port = self.owners.owner_of(key) or ("", 0)
        return reply

    def _on_unknown_route(self, packet: bytes, header: PacketHeader) -> None:
        """Drop an opening to an endpoint without a route, or refuse it.

        The first transmission is dropped, since a new route may not have reached this balancer yet.
        Retransmissions are refused, unless this balancer may have missed a change of the routing.
        """
        is_refused = header.attempt > 0 and self._is_routing_current()
        self._counters["openings_without_route"] += 1
        self._emit(
            events.RouteMissing(
                flow_id(header.key),
                self._format.endpoint_of(header.key).hex(),
                self.routing.version,
                is_refused,
            )
        )
        if not is_refused:
            return
        refusal = self._format.build_refusal(packet)
        if refusal is not None:
            self._reply(refusal, self._format.caller_host(header.key))
