"""What an agent does with each packet where the opening handshake settles a flow's server.

Every agent is the directory owner of some flows, by hash among the agents of the caller's data
centre, and holds the flows of its own server. The held flows are the ground truth; an owner's
pointers are a cache of it that a search rebuilds. Two servers may take copies of one opening:
the caller acknowledges one of them, and the other returns what follows, so no exclusive right to
place is needed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.flow_pointers import FlowPointers
from wagtailkeel_coordination.handshake.flow_search import FlowSearches
from wagtailkeel_coordination.handshake.held_flows import HeldFlows
from wagtailkeel_coordination.handshake.memory_probe import MemoryProbes
from wagtailkeel_coordination.handshake.queue_limit import has_room
from wagtailkeel_coordination.handshake.routing_table import RoutingTable
from wagtailkeel_coordination.handshake.server_choice import PeerLoads
from wagtailkeel_coordination.handshake.server_choice import choose_server
from wagtailkeel_coordination.handshake.server_choice import expected_wait_ms
from wagtailkeel_protocol import packet_format as marks
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import ServerLoad
from wagtailkeel_protocol.relay import RelayFrame
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from random import Random

    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_coordination.handshake.held_flows import HeldFlow
    from wagtailkeel_coordination.handshake.outbox import RelayOutbox
    from wagtailkeel_coordination.handshake.server_choice import PeerLoad
    from wagtailkeel_coordination.handshake.server_choice import ServerChoice
    from wagtailkeel_coordination.handshake.server_gate import ServerGate
    from wagtailkeel_coordination.handshake.server_gate import ServerReport
    from wagtailkeel_protocol.packet_format import PacketFormat
    from wagtailkeel_protocol.packet_format import PacketHead
    from wagtailkeel_state.routing import RoutingDocument

Address = tuple[str, int]

PLACEMENT_ATTEMPTS = 4
SERVER_BUSY = "server_busy"
_RETURNS = (RelayKind.REJECTED, RelayKind.RETURNED, RelayKind.BUSY)
FORGETFUL_S = 60.0
"""A restarted agent may lack flows that its server has for as long as a flow may last."""


class AgentRouter:
    """Routing decisions of one agent; time and randomness come from outside.

    ``are_members_confirmed`` tells whether control has confirmed the members since a moment.
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
    ) -> None:
        self.own_address = own_address
        self.gate = gate
        self.held = HeldFlows(record_response)
        self.pointers = FlowPointers()
        self.searches = FlowSearches()
        self.loads = PeerLoads()
        self.routing = RoutingTable()
        self.peers: frozenset[Address] = frozenset()
        self.former: frozenset[Address] = frozenset()
        self._members_by_tag: dict[int, list[Address]] = {}
        self.probes = MemoryProbes()
        self._data_centre = data_centre
        self._format = packet_format
        self._outbox = outbox
        self._random = random
        self._choose = choose
        self._counters = counters
        self._emit = event_sink.emit
        self._are_members_confirmed = are_members_confirmed
        self._own_tag = relay.service_tag(gate.service)
        self._services_by_tag: dict[int, str] = {self._own_tag: gate.service}
        self._forgetful_until = now + FORGETFUL_S
        self._now = now

    # Configuration and reports

    def apply_routing(self, document: RoutingDocument) -> None:
        """Adopt a newer routing document."""
        if not self.routing.update(document):
            return
        for service in document.policies_by_service:
            self._services_by_tag[relay.service_tag(service)] = service
        policy = document.policies_by_service.get(self.gate.service)
        self.gate.cold_starts_per_s = policy.cold_starts_per_s if policy else 0.0
        self.held.idle_limit_s = document.idle_limit_s
        self.pointers.idle_limit_s = document.idle_limit_s

    def set_peers(
        self, services_by_member: Mapping[Address, str], former: frozenset[Address]
    ) -> None:
        """Set the agents that may hold flows: the members and those removed recently."""
        members = frozenset(services_by_member)
        self.former = former - members
        self.peers = (members | former) - {self.own_address}
        self.loads.retain(members)
        self._members_by_tag = {}
        for address, service in services_by_member.items():
            tag = relay.service_tag(service)
            self._members_by_tag.setdefault(tag, []).append(address)

    def on_report(self, report: ServerReport, now: float) -> bool:
        """Take in what the own server says; return whether it counts."""
        known = self.gate.report
        if not self.gate.on_report(report, now):
            return False
        self.held.slots = report.slots
        if known is not None and known.started_at_ms != report.started_at_ms:
            self._counters["server_incarnations"] += 1
            self.held.clear()
            self.held.service_s = 0.0
        if known is None and report.sequence <= 1:
            # The server is as young as this agent: there is nothing to have forgotten.
            self._forgetful_until = now
        return True

    def build_load(self, now: float) -> ServerLoad:
        """Return what peers need to know of the own server."""
        return ServerLoad(
            self._own_tag,
            self.gate.accepts(now),
            self.held.in_flight,
            len(self.held.by_key),
            self.held.slots,
            self.held.service_s * 1_000,
            self.gate.is_cold(now),
            self.gate.is_leaving,
            self.gate.is_unheard(now),
        )

    # Frames

    def on_frame(self, frame: RelayFrame, source: Address, now: float) -> None:
        """Handle a frame of a balancer or another agent."""
        self._now = now
        if frame.kind is RelayKind.FOUND:
            self._on_found(frame.body, source)
            return
        if frame.kind is RelayKind.NOT_FOUND:
            self._on_not_found(frame.body, source)
            return
        if frame.hops > relay.MAX_HOPS:
            self._counters["dropped_hop_limit"] += 1
            return
        head = self._format.parse_inbound(frame.body)
        if isinstance(head, Malformed):
            self._counters[f"dropped_{head.value}"] += 1
            return
        flow = self.held.by_key.get(head.key)
        if flow is not None and self.gate.has_gone:
            # Its server does not answer any more, and nobody else will on its behalf.
            self.held.remove(flow)
            flow = None
        if flow is not None and frame.kind not in _RETURNS:
            self._deliver_held(flow, frame, head, source)
            return
        self._route(frame, head, source)

    def _deliver_held(
        self, flow: HeldFlow, frame: RelayFrame, head: PacketHead, source: Address
    ) -> None:
        flow.owner = self.own_address if frame.kind is RelayKind.FORWARD else source
        if frame.kind is RelayKind.SEARCH:
            self._send(source, RelayKind.FOUND, frame, head.key)
        self.held.on_inbound(flow, head, self._now)
        self._outbox.deliver(frame.body)

    def _route(self, frame: RelayFrame, head: PacketHead, source: Address) -> None:
        kind = frame.kind
        if kind is RelayKind.FORWARD:
            self._on_forward(frame, head)
        elif kind is RelayKind.PLACE:
            self._on_place(frame, head, source)
        elif kind is RelayKind.DELIVER:
            self._on_unknown(frame, head, source, RelayKind.RETURNED, frame.body)
        elif kind is RelayKind.SEARCH:
            self._on_unknown(frame, head, source, RelayKind.NOT_FOUND, head.key)
        elif kind in (RelayKind.REJECTED, RelayKind.BUSY):
            self._on_rejected(frame, head, source)
        else:
            self._on_returned(frame, head, source)

    # The directory owner's part

    def _on_forward(self, frame: RelayFrame, head: PacketHead) -> None:
        pointer = self.pointers.find(head.key, self._now)
        if pointer is not None and pointer.target == self.own_address:
            # The flow was here and is no longer held.
            self.pointers.remove(head.key)
            pointer = None
        if pointer is not None and head.is_opening and not self._is_reachable(pointer.target):
            # The first copy may have gone to an agent that has died: another server takes this.
            pointer.tried.add(pointer.target)
            self._place(frame, head, pointer.tried)
        elif pointer is not None:
            kind = RelayKind.PLACE if head.is_opening else RelayKind.DELIVER
            self._send(pointer.target, kind, frame, frame.body)
            if pointer.target in self.former:
                # Control does not hear the agent: it may have died with the flow's server.
                self._search(frame, head.key, exclude=None)
        elif head.is_opening:
            self._place(frame, head, set())
        elif head.marks & marks.RESETS:
            self._counters["dropped_unknown_reset"] += 1
        else:
            self._search(frame, head.key, exclude=None)

    def _is_reachable(self, address: Address) -> bool:
        return self.loads.is_fresh(address, self._now)

    def _place(self, frame: RelayFrame, head: PacketHead, tried: set[Address]) -> None:
        """Choose a server for an opening that no server has."""
        key = head.key
        service = self._resolve_service(frame, key)
        if service is None:
            self._counters["dropped_route_changed"] += 1
            return
        tag = relay.service_tag(service)
        has_all_copies = self.pointers.has_all_copies(key, head.attempt)
        own_load = self.build_load(self._now)
        self.loads.on_load(self.own_address, self._data_centre, own_load, self._now)
        members = self._members_by_tag.get(tag, [])
        candidates = self.loads.candidates(members, self._now)
        while len(tried) < PLACEMENT_ATTEMPTS:
            peer = self._choose(candidates, self._data_centre, tried, self._random)
            if peer is None:
                break
            self._note_placement(peer, key, len(candidates))
            pointer = self.pointers.point(key, peer.address, self._now)
            pointer.tried = tried
            pointer.has_all_copies = has_all_copies
            if peer.address != self.own_address:
                self.loads.note_opening(peer.address)
                self._relay(peer.address, RelayKind.PLACE, frame, tag, frame.body)
                return
            if self._has_room(key) and self._admit(service, key):
                self._open(frame.body, key, self.own_address)
                return
            tried.add(self.own_address)
        self.pointers.remove(key)
        self.pointers.note_unplaced(key, self._now)
        if self.loads.has_unheard(tag, self._now) or not self._hears_all_members(tag):
            # A server may have room: the caller's next copy finds it.
            self._counters["openings_deferred"] += 1
        elif has_all_copies:
            self._refuse(frame.body, key, len(tried), len(candidates))
        else:
            # Another owner may have placed an earlier copy: its flow may be open by now.
            self._counters["dropped_copy_of_opening"] += 1

    def _hears_all_members(self, tag: int) -> bool:
        """Tell whether no server of a service can be unknown to be ready."""
        members = self._members_by_tag.get(tag, [])
        return all(a == self.own_address or self._is_reachable(a) for a in members)

    def _note_placement(self, peer: PeerLoad, key: bytes, candidates: int) -> None:
        self._emit(
            events.OpeningPlaced(
                flow_id(key),
                peer.address[0],
                self.routing.version,
                candidates,
                round(expected_wait_ms(peer, self._data_centre), 1),
                round((self._now - peer.heard_at) * 1_000, 1),
            )
        )

    def _resolve_service(self, frame: RelayFrame, key: bytes) -> str | None:
        """Return the service of an opening by the newer of the sender's and the own routing."""
        if self.routing.version > frame.routing_version:
            destinations = self.routing.find(self._format.endpoint_of(key))
            return destinations.choose(key) if destinations else None
        return self._services_by_tag.get(frame.service_tag)

    def _refuse(self, packet: bytes, key: bytes, tried: int, candidates: int) -> None:
        """No server takes the opening: none has seen it, and the caller learns so at once."""
        self._counters["openings_refused"] += 1
        reason = "all_tried" if candidates else "no_server_accepts"
        self._emit(
            events.OpeningRefused(flow_id(key), reason, tried, candidates, self.routing.version)
        )
        self._reset(packet, key)

    def _reset(self, packet: bytes, key: bytes) -> None:
        refusal = self._format.build_refusal(packet)
        if refusal is not None:
            self._outbox.reply(refusal, self._format.caller_host(key))

    def _on_rejected(self, frame: RelayFrame, head: PacketHead, source: Address) -> None:
        pointer = self.pointers.by_key.get(head.key)
        if pointer is not None and pointer.target != source:
            self._counters["dropped_late_rejection"] += 1
            return
        tried = pointer.tried if pointer is not None else set()
        tried.add(source)
        if frame.kind is RelayKind.REJECTED:
            self.loads.note_rejection(source)
        if head.key not in self.held.by_key:
            self._place(frame, head, tried)

    def _on_returned(self, frame: RelayFrame, head: PacketHead, source: Address) -> None:
        pointer = self.pointers.by_key.get(head.key)
        if pointer is not None and pointer.target == source:
            self.pointers.remove(head.key)
        self._search(frame, head.key, exclude=source)

    def _search(self, frame: RelayFrame, key: bytes, exclude: Address | None) -> None:
        if key not in self.searches.by_key:
            reason = "not_in_directory" if exclude is None else "returned_by_server"
            self._emit(events.SearchStarted(flow_id(key), reason, len(self.peers)))
        asked = set(self.peers)
        if self._is_forgetful:
            asked.add(self.own_address)
        if exclude is not None:
            asked.discard(exclude)
        for address in self.searches.begin(key, frame.body, asked, self._now):
            self._counters["search_requests"] += 1
            if address == self.own_address:
                self._probe(key, frame.body, self.own_address)
            else:
                self._send(address, RelayKind.SEARCH, frame, frame.body)

    def _on_found(self, key: bytes, source: Address) -> None:
        if key in self.searches.by_key:
            self._end_search(key, "found", source[0], 0)
        queued = self.searches.on_found(key)
        self.pointers.point(key, source, self._now)
        for packet in queued:
            if source == self.own_address:
                self._outbox.deliver(packet)
            else:
                self._relay_packet(source, RelayKind.DELIVER, packet)

    def _on_not_found(self, key: bytes, source: Address) -> None:
        pointer = self.pointers.by_key.get(key)
        if key not in self.searches.by_key and pointer is not None and pointer.target == source:
            # A delivery, not a search, has met an agent without the flow: the next packet searches.
            self.pointers.remove(key)
        if self.searches.on_not_found(key, source):
            self._conclude(key)

    def _conclude(self, key: bytes) -> None:
        """End a search that all deny, once it is certain that all were asked.

        A server gets openings only as a member, so whoever has the flow was one before the search.
        """
        search = self.searches.by_key[key]
        if not self._are_members_confirmed(search.started_at):
            return
        packet = search.packet
        fresh = self.searches.ask_more(key, self.peers, self._now)
        for address in fresh:
            self._relay_packet(address, RelayKind.SEARCH, packet)
        if fresh:
            return
        self.searches.end(key)
        self.pointers.remove(key)
        self._counters["flows_found_nowhere"] += 1
        self._end_search(key, "nowhere", "", 0)
        head = self._format.parse_inbound(packet)
        if not isinstance(head, Malformed) and head.payload_bytes:
            # The flow ended with its server: the caller need not wait for its deadline.
            self._emit(events.FlowReset(flow_id(key), "held_nowhere"))
            self._reset(packet, key)

    def _end_search(self, key: bytes, outcome: str, server_agent: str, silent: int) -> None:
        self._emit(events.SearchEnded(flow_id(key), outcome, server_agent, silent))

    # The part of the agent beside the flow's server

    def _on_place(self, frame: RelayFrame, head: PacketHead, source: Address) -> None:
        service = self._resolve_service(frame, head.key)
        if not self._has_room(head.key):
            self._send(source, RelayKind.BUSY, frame, frame.body)
        elif service is not None and self._admit(service, head.key):
            self._open(frame.body, head.key, source)
        else:
            self._send(source, RelayKind.REJECTED, frame, frame.body)

    def _has_room(self, key: bytes) -> bool:
        """Tell whether a request on a new flow would be answered within its route's target."""
        is_free = has_room(
            self.held.count_expected(self._now),
            self.held.slots,
            self.held.service_s,
            self.routing.target_s(self._format.endpoint_of(key)),
        )
        if not is_free:
            self._counters[f"rejected_{SERVER_BUSY}"] += 1
            self._note_rejection(key, SERVER_BUSY)
        return is_free

    def _admit(self, service: str, key: bytes) -> bool:
        reason = self.gate.admit(service, self._now)
        if reason is not None:
            self._counters[f"rejected_{reason.value}"] += 1
            self._note_rejection(key, reason.value)
        return reason is None

    def _note_rejection(self, key: bytes, reason: str) -> None:
        self._emit(
            events.OpeningRejected(flow_id(key), reason, self.gate.service, self.routing.version)
        )

    def _open(self, packet: bytes, key: bytes, owner: Address) -> None:
        self._counters["flows_opened"] += 1
        self.held.expect_request(self.held.open(key, owner, self._now), self._now)
        self._outbox.deliver(packet)

    @property
    def _is_forgetful(self) -> bool:
        return self._now < self._forgetful_until

    def _on_unknown(
        self,
        frame: RelayFrame,
        head: PacketHead,
        source: Address,
        answer: RelayKind,
        body: bytes,
    ) -> None:
        if not self._is_forgetful or head.is_opening:
            self._send(source, answer, frame, body)
            return
        self._probe(head.key, frame.body, source)

    def _probe(self, key: bytes, packet: bytes, requester: Address) -> None:
        """Ask the own server for a flow that this agent may have forgotten."""
        self._counters["memory_probes"] += 1
        self.probes.add(key, requester, self._now)
        self._outbox.deliver(packet)

    # Packets from the own server

    def on_server_packet(self, packet: bytes, now: float) -> None:
        """Send a server's packet to its caller, or deal with one that it returned."""
        self._now = now
        self.gate.note_packet()
        head = self._format.parse_outbound(packet)
        if isinstance(head, Malformed):
            self._counters[f"dropped_reply_{head.value}"] += 1
            return
        flow = self.held.by_key.get(head.key)
        if head.marks & marks.BOUNCED:
            self._on_bounce(self._format.restore_bounced(packet), head, flow)
            return
        if flow is None and head.marks & marks.RESETS:
            self._on_unknown_reset(packet, head)
            return
        if flow is None:
            flow = self._adopt(head.key)
        self.held.on_outbound(flow, head, now)
        self._outbox.reply(packet, self._format.caller_host(head.key))

    def _on_unknown_reset(self, packet: bytes, head: PacketHead) -> None:
        """A reset that answers a probe says that the flow is elsewhere: the caller is spared it."""
        requester = self.probes.remove(head.key)
        if requester is None:
            self._outbox.reply(packet, self._format.caller_host(head.key))
            return
        self._counters["probes_reset"] += 1
        self._answer(requester, RelayKind.NOT_FOUND, head.key)

    def _adopt(self, key: bytes) -> HeldFlow:
        """The server speaks on a flow that this agent has forgotten."""
        self._counters["flows_adopted"] += 1
        self._emit(events.FlowAdopted(flow_id(key)))
        requester = self.probes.remove(key)
        flow = self.held.open(key, requester or self.own_address, self._now)
        if requester is not None:
            self._answer(requester, RelayKind.FOUND, key)
        return flow

    def _on_bounce(self, packet: bytes, head: PacketHead, flow: HeldFlow | None) -> None:
        self._counters["bounces"] += 1
        requester = self.probes.remove(head.key)
        if requester is not None:
            self._answer(requester, RelayKind.NOT_FOUND, head.key)
            return
        if flow is None or (head.is_opening and flow.has_reply):
            return
        self.held.remove(flow)
        if head.is_opening:
            self._note_rejection(head.key, "server_full")
        else:
            self._emit(events.FlowReturned(flow_id(head.key)))
        kind = RelayKind.REJECTED if head.is_opening else RelayKind.RETURNED
        frame = RelayFrame(kind, 0, 0, relay.NO_SERVICE, packet)
        if head.is_opening:
            frame.routing_version = self.routing.version
            frame.service_tag = self._own_tag
        if flow.owner != self.own_address:
            self._send(flow.owner, kind, frame, packet)
        else:
            self._route(frame, head, self.own_address)

    # Timers

    def tick(self, now: float) -> None:
        """Settle probes that met silence, and forget what is over."""
        self._now = now
        for key, requester in self.probes.take_silent(now):
            self._on_silent_probe(key, requester)
        for key in self.searches.find_denied(self.former, now):
            self._conclude(key)
        self.gate.watch(now)
        for key, silent in self.searches.expire(now):
            self._counters["searches_expired"] += 1
            self._end_search(key, "expired", "", silent)
        self.held.sweep(now)
        self.pointers.sweep(now)

    def _on_silent_probe(self, key: bytes, requester: Address) -> None:
        """A live server that does not return a packet has its flow; one that has gone has none."""
        if self.gate.is_heard(self._now):
            self.held.open(key, requester, self._now)
            self._answer(requester, RelayKind.FOUND, key)
        elif self.gate.has_gone:
            self._answer(requester, RelayKind.NOT_FOUND, key)

    # Sending

    def _answer(self, requester: Address, kind: RelayKind, key: bytes) -> None:
        if requester != self.own_address:
            self._outbox.relay(requester, kind, 0, 0, relay.NO_SERVICE, key)
        elif kind is RelayKind.FOUND:
            self._on_found(key, requester)
        else:
            self._on_not_found(key, requester)

    def _send(self, address: Address, kind: RelayKind, frame: RelayFrame, body: bytes) -> None:
        self._relay(address, kind, frame, frame.service_tag, body)

    def _relay(
        self, address: Address, kind: RelayKind, frame: RelayFrame, tag: int, body: bytes
    ) -> None:
        version = max(frame.routing_version, self.routing.version if tag else 0)
        self._outbox.relay(address, kind, frame.hops + 1, version, tag, body)

    def _relay_packet(self, address: Address, kind: RelayKind, packet: bytes) -> None:
        self._outbox.relay(address, kind, 1, 0, relay.NO_SERVICE, packet)
