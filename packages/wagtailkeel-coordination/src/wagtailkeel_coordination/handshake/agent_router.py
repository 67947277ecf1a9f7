"""Dispatches the events of an agent to its directory owner or its flow holder.

Every agent is the directory owner of some flows, by hash among the agents of the caller's data
centre, and holds the flows of its backend server. Two servers may get transmissions of the same
opening: the caller acknowledges one of the servers, and the other server returns later packets. So
an owner needs no exclusive right to place an opening.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.handshake.directory_owner import DirectoryOwner
from wagtailkeel_coordination.handshake.flow_holder import FlowHolder
from wagtailkeel_coordination.handshake.flow_locator import DEFAULT_QUERIES_PER_S
from wagtailkeel_coordination.handshake.load_sample import DEFAULT_SAMPLE_SIZE
from wagtailkeel_coordination.handshake.repeated_opening import RepeatedOpening
from wagtailkeel_coordination.handshake.route_explanation import build_flow_key
from wagtailkeel_coordination.handshake.route_explanation import explain_route
from wagtailkeel_coordination.handshake.router_context import RouterContext
from wagtailkeel_coordination.handshake.router_options import DEFAULT_OPTIONS
from wagtailkeel_coordination.handshake.server_choice import choose_server
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from random import Random

    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_coordination.handshake.load_sample import SampleSize
    from wagtailkeel_coordination.handshake.member import Member
    from wagtailkeel_coordination.handshake.outbox import RelayOutbox
    from wagtailkeel_coordination.handshake.router_options import RouterOptions
    from wagtailkeel_coordination.handshake.server_choice import ServerChoice
    from wagtailkeel_coordination.handshake.server_gate import ServerGate
    from wagtailkeel_coordination.handshake.server_report import ReportOutcome
    from wagtailkeel_coordination.handshake.server_report import ServerReport
    from wagtailkeel_protocol.messages import FlowLocations
    from wagtailkeel_protocol.messages import FlowQuery
    from wagtailkeel_protocol.messages import FlowQueryReply
    from wagtailkeel_protocol.messages import LocationRequest
    from wagtailkeel_protocol.messages import SearchReply
    from wagtailkeel_protocol.messages import SearchRequest
    from wagtailkeel_protocol.messages import ServerLoad
    from wagtailkeel_protocol.packet_format import PacketFormat
    from wagtailkeel_protocol.packet_format import PacketHeader
    from wagtailkeel_protocol.relay import RelayFrame
    from wagtailkeel_protocol.where_messages import WhereReply
    from wagtailkeel_state.routing import RoutingDocument

Address = tuple[str, int]

_RETURN_KINDS = (RelayKind.REJECTED, RelayKind.RETURNED, RelayKind.BUSY, RelayKind.DECLINED)
_PLACE_KINDS = (RelayKind.PLACE, RelayKind.QUEUE, RelayKind.OFFER)


class AgentRouter:
    """Routing decisions of one agent; time and randomness are passed in.

    ``are_members_confirmed`` returns whether control has confirmed the list of members since a
    given time, and asks control for a confirmation if it has not. Searches beyond
    ``search_queries_per_s`` queries a second are left to the searcher of the data centre.
    """

    def __init__(
        self,
        own_address: Address,
        data_centre: str,
        packet_format: PacketFormat,
        gate: ServerGate,
        outbox: RelayOutbox,
        random: Random,
        counters: Counters,
        event_sink: EventSink,
        record_response: Callable[[float], None],
        are_members_confirmed: Callable[[float], bool],
        now: float,
        choose: ServerChoice = choose_server,
        sample_size: SampleSize = DEFAULT_SAMPLE_SIZE,
        options: RouterOptions = DEFAULT_OPTIONS,
        search_queries_per_s: float = DEFAULT_QUERIES_PER_S,
    ) -> None:
        self.gate = gate
        self._context = RouterContext(
            own_address, gate.service, packet_format, outbox, counters, event_sink, now
        )
        self.holder = FlowHolder(self._context, gate, record_response, options)
        self.owner = DirectoryOwner(
            self._context,
            self.holder,
            data_centre,
            random,
            choose,
            sample_size,
            are_members_confirmed,
            search_queries_per_s,
            options,
        )
        self.holder.connect_owner(self.owner)
        self.routing = self._context.routing
        self.held = self.holder.held
        self.pointers = self.owner.pointers
        self.searches = self.owner.locator.searches
        self.loads = self.owner.placer.loads

    @property
    def own_address(self) -> Address:
        """The address at which this agent receives frames."""
        return self._context.own_address

    @property
    def flow_retention_s(self) -> float:
        """How long in seconds a flow may be idle without being forgotten by its server."""
        return self.held.forgotten.retention_s

    # Configuration and reports

    def apply_routing(self, document: RoutingDocument) -> None:
        """Apply a newer routing document."""
        if not self.routing.update(document):
            return
        for service in document.policies_by_service:
            self._context.services_by_tag[relay.service_tag(service)] = service
        policy = document.policies_by_service.get(self.gate.service)
        self.gate.cold_starts_per_s = policy.cold_starts_per_s if policy else 0.0
        priorities = self.routing.priorities_of(self.gate.service)
        self.holder.load_reporter.priority_limit.set_priorities(priorities)
        self.held.set_idle_limit(document.idle_limit_s)
        self.pointers.idle_limit_s = document.idle_limit_s

    def set_peers(
        self, members: Mapping[Address, Member], former_members: frozenset[Address]
    ) -> None:
        """Set the agents that may hold flows: the members and those removed recently."""
        self.owner.set_peers(members, former_members)
        self.holder.waiting.data_centres_by_agent = {a: m.data_centre for a, m in members.items()}

    def on_report(self, report: ServerReport, now: float) -> ReportOutcome:
        """Process a status report of the backend server."""
        return self.holder.on_report(report, now)

    def on_closed_port(self, now: float) -> None:
        """Process that no server process listens beside this agent at the moment."""
        self._context.now = now
        self.holder.on_closed_port()

    def on_absent_server(self, now: float) -> None:
        """Process that no server process runs beside this agent."""
        self._context.now = now
        self.holder.on_absent_server()

    def build_load(self, now: float) -> ServerLoad:
        """Return the load of the backend server to report to peers."""
        return self.holder.load_reporter.build(now)

    def on_load(self, load: ServerLoad, source: Address, now: float) -> None:
        """Process the load report of another agent."""
        self._context.now = now
        self.owner.placer.on_load(source, load)

    def on_location_request(self, request: LocationRequest, source: Address, now: float) -> None:
        """Answer another agent that asks where a flow is."""
        self._context.now = now
        self.owner.locator.on_location_request(request.key, source)

    def on_locations(self, message: FlowLocations, now: float) -> None:
        """Process copies of another agent's directory entries."""
        self._context.now = now
        self.owner.locator.on_locations(message)

    def on_flow_query(self, query: FlowQuery, source: Address, now: float) -> None:
        """Answer an agent that searches for flows."""
        self._context.now = now
        self._context.outbox.send_message(source, self.holder.answer_query(query))

    def on_flow_query_reply(self, reply: FlowQueryReply, source: Address, now: float) -> None:
        """Process an agent's answer to a query for flows."""
        self._context.now = now
        self.owner.locator.on_query_reply(reply, source)

    def on_search_request(self, request: SearchRequest, source: Address, now: float) -> None:
        """Search for a flow of another owner of the data centre."""
        self._context.now = now
        self.owner.locator.batches.on_request(request.key, source)

    def on_search_reply(self, reply: SearchReply, now: float) -> None:
        """Process the result of a search that this agent has passed to the searcher."""
        self._context.now = now
        self.owner.locator.on_search_reply(reply)

    def return_queue(self, now: float) -> None:
        """Return all queued openings to their owners, before this agent stops."""
        self._context.now = now
        self.holder.waiting.return_all()

    def send_copies(self, now: float) -> None:
        """Send copies of this agent's directory entries to their next owners, before it stops."""
        self._context.now = now
        self.owner.locator.copies.send_all()

    def explain_opening(self, caller: str, route: str, now: float) -> WhereReply:
        """Return what this agent would do, as the directory owner, with an opening.

        ``caller`` and ``route`` are "host:port"; raise AddressError if one of them is not.
        """
        self._context.now = now
        packet_format = self._context.packet_format
        key = build_flow_key(packet_format, caller, route)
        reply = explain_route(self.routing, packet_format, key)
        if reply.service:
            reply.preview = self.owner.placer.preview(reply.service)
        return reply

    # Frames

    def on_frame(self, frame: RelayFrame, source: Address, now: float) -> None:
        """Handle a frame of a balancer or another agent."""
        self._context.now = now
        if frame.kind is RelayKind.FOUND:
            self.owner.on_found(frame.body, source)
            return
        if frame.kind is RelayKind.NOT_FOUND:
            self.owner.on_not_found(frame.body, source)
            return
        if frame.hops > relay.MAX_HOPS:
            self._context.counters["dropped_hop_limit"] += 1
            return
        header = self._context.packet_format.parse_inbound(frame.body)
        if isinstance(header, Malformed):
            self._context.counters[f"dropped_{header.value}"] += 1
            return
        is_returned = frame.kind in _RETURN_KINDS
        if header.is_opening and not is_returned:
            if self.holder.on_repeated_opening(header) is RepeatedOpening.OUTDATED:
                return
        flow = self.held.by_key.get(header.key)
        if flow is None or is_returned:
            self._route(frame, header, source)
        elif self.gate.has_ended or (flow.closed_at and frame.kind is RelayKind.SEARCH):
            # A later flow of the same caller and port may be on another server.
            self.held.remove(flow, now)
            self._route(frame, header, source)
        else:
            self.holder.deliver_held(flow, frame, header, source)

    def _route(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        kind = frame.kind
        if kind is RelayKind.FORWARD:
            self.owner.on_forward(frame, header)
        elif kind in _PLACE_KINDS:
            self.holder.on_place(frame, header, source)
        elif kind is RelayKind.DELIVER:
            self.holder.on_unknown_flow(frame, header, source, RelayKind.RETURNED, frame.body)
        elif kind is RelayKind.SEARCH:
            self.holder.on_unknown_flow(frame, header, source, RelayKind.NOT_FOUND, header.key)
        elif kind in (RelayKind.REJECTED, RelayKind.BUSY, RelayKind.DECLINED):
            self.owner.on_rejected(frame, header, source)
        else:
            self.owner.on_returned(frame, header, source)

    def on_server_packet(self, packet: bytes, now: float) -> None:
        """Forward a packet of the server to its caller, or process a packet that it returned."""
        self._context.now = now
        self.holder.on_server_packet(packet)

    def tick(self, now: float) -> None:
        """Resolve probes and searches that timed out, and remove expired flows and pointers."""
        self._context.now = now
        self.holder.tick()
        self.owner.tick()
