"""The part of an agent that owns directory entries: it places openings and locates flows.

Its pointers are a cache of the flows that agents hold; a search rebuilds them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.flow_pointers import FlowPointers
from wagtailkeel_coordination.handshake.flow_search import FlowSearches
from wagtailkeel_coordination.handshake.server_choice import PeerLoads
from wagtailkeel_coordination.handshake.server_choice import expected_wait_ms
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from random import Random

    from wagtailkeel_coordination.handshake.flow_holder import FlowHolder
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.server_choice import PeerLoad
    from wagtailkeel_coordination.handshake.server_choice import ServerChoice
    from wagtailkeel_protocol.packet_format import PacketHeader
    from wagtailkeel_protocol.relay import RelayFrame

Address = tuple[str, int]

MAX_PLACEMENT_ATTEMPTS = 4


class _Opening(msgspec.Struct):
    """An opening that is being placed; ``tag`` identifies ``service`` in frames."""

    frame: RelayFrame
    key: bytes
    service: str
    tag: int
    is_sole_placer: bool


class DirectoryOwner:
    """Keeps the directory entries of some flows.

    ``are_members_confirmed`` returns whether control has confirmed the list of members since a
    given time, and asks control for a confirmation if it has not.
    """

    def __init__(
        self,
        context: RouterContext,
        holder: FlowHolder,
        data_centre: str,
        random: Random,
        choose: ServerChoice,
        are_members_confirmed: Callable[[float], bool],
    ) -> None:
        self.pointers = FlowPointers()
        self.searches = FlowSearches()
        self.loads = PeerLoads()
        self.peers: frozenset[Address] = frozenset()
        self.former_members: frozenset[Address] = frozenset()
        self._members_by_tag: dict[int, list[Address]] = {}
        self._context = context
        self._holder = holder
        self._data_centre = data_centre
        self._random = random
        self._choose = choose
        self._are_members_confirmed = are_members_confirmed

    def set_peers(
        self, services_by_member: Mapping[Address, str], former_members: frozenset[Address]
    ) -> None:
        """Set the agents that may hold flows: the members and those removed recently."""
        members = frozenset(services_by_member)
        self.former_members = former_members - members
        self.peers = (members | former_members) - {self._context.own_address}
        self.loads.retain(members)
        self._members_by_tag = {}
        for address, service in services_by_member.items():
            tag = relay.service_tag(service)
            self._members_by_tag.setdefault(tag, []).append(address)

    # Frames

    def on_forward(self, frame: RelayFrame, header: PacketHeader) -> None:
        """Forward a balancer's packet, place its opening, or search for its flow."""
        pointer = self.pointers.find(header.key, self._context.now)
        if pointer is not None and pointer.target == self._context.own_address:
            # This agent had the flow and no longer holds it.
            self.pointers.remove(header.key)
            pointer = None
        if pointer is not None and header.is_opening and not self._is_available(pointer.target):
            # The first transmission may have gone to an agent that stopped: try another server.
            pointer.tried.add(pointer.target)
            self._place(frame, header, pointer.tried)
        elif pointer is not None:
            kind = RelayKind.PLACE if header.is_opening else RelayKind.DELIVER
            self._context.send(pointer.target, kind, frame, frame.body)
            if pointer.target in self.former_members:
                # Control has no contact with the agent, and the flow's server may have stopped too.
                self._search(frame, header.key, exclude=None)
        elif header.is_opening:
            self._place(frame, header, set())
        elif header.flags & packet_flags.RESET:
            self._context.counters["dropped_unknown_reset"] += 1
        else:
            self._search(frame, header.key, exclude=None)

    def _is_available(self, address: Address) -> bool:
        return self.loads.is_available(address, self._context.now)

    # Openings

    def _place(self, frame: RelayFrame, header: PacketHeader, tried: set[Address]) -> None:
        """Place an opening on a server; no server is known to have its flow."""
        key = header.key
        service = self._context.resolve_service(frame, key)
        if service is None:
            self._context.counters["dropped_route_changed"] += 1
            return
        is_sole_placer = self.pointers.is_sole_placer(key, header.attempt)
        opening = _Opening(frame, key, service, relay.service_tag(service), is_sole_placer)
        candidates = self._find_candidates(opening)
        while len(tried) < MAX_PLACEMENT_ATTEMPTS:
            peer = self._choose(candidates, self._data_centre, tried, self._random)
            if peer is None:
                break
            self._emit_placement(peer, key, len(candidates))
            pointer = self.pointers.set_target(key, peer.address, self._context.now)
            pointer.tried = tried
            pointer.is_sole_placer = is_sole_placer
            if self._offer(opening, peer.address):
                return
            tried.add(peer.address)
        self._on_unplaced(opening, len(tried), len(candidates))

    def _find_candidates(self, opening: _Opening) -> list[PeerLoad]:
        """Return the agents that may get an opening, among them this one by its current load."""
        now = self._context.now
        own_load = self._holder.build_load(now)
        self.loads.on_load(self._context.own_address, self._data_centre, own_load, now)
        return self.loads.find_candidates(self._members_by_tag.get(opening.tag, []), now)

    def _offer(self, opening: _Opening, address: Address) -> bool:
        """Send an opening to an agent, or open its flow here.

        Return False if this agent rejects the opening.
        """
        frame, key = opening.frame, opening.key
        if address != self._context.own_address:
            self.loads.count_opening(address)
            self._context.relay(address, RelayKind.PLACE, frame, opening.tag, frame.body)
            return True
        if not self._holder.has_room(key) or not self._holder.admit(opening.service, key):
            return False
        self._holder.open(frame.body, key, address)
        return True

    def _on_unplaced(self, opening: _Opening, tried_count: int, candidate_count: int) -> None:
        """Refuse an opening that no server took, unless a server may still take it or has it."""
        key, now = opening.key, self._context.now
        self.pointers.remove(key)
        self.pointers.record_unplaced(key, now)
        if self.loads.has_unreported_server(opening.tag, now) or not self._are_members_available(
            opening.tag
        ):
            # A server may have room: the caller's next retransmission reaches it.
            self._context.counters["openings_deferred"] += 1
        elif opening.is_sole_placer:
            self._refuse(opening.frame.body, key, tried_count, candidate_count)
        else:
            # Another owner may have placed an earlier transmission, so the flow may be open.
            self._context.counters["dropped_copy_of_opening"] += 1

    def _are_members_available(self, tag: int) -> bool:
        """Return whether all other members of a service are available by their load reports.

        If not, a server may be ready without this owner knowing it.
        """
        members = self._members_by_tag.get(tag, [])
        return all(a == self._context.own_address or self._is_available(a) for a in members)

    def _emit_placement(self, peer: PeerLoad, key: bytes, candidate_count: int) -> None:
        self._context.emit(
            events.OpeningPlaced(
                flow_id(key),
                peer.address[0],
                self._context.routing.version,
                candidate_count,
                round(expected_wait_ms(peer, self._data_centre), 1),
                round((self._context.now - peer.received_at) * 1_000, 1),
            )
        )

    def _refuse(self, packet: bytes, key: bytes, tried_count: int, candidate_count: int) -> None:
        """Refuse an opening that no server has seen, so that the caller learns it at once."""
        self._context.counters["openings_refused"] += 1
        reason = "all_tried" if candidate_count else "no_server_accepts"
        self._context.emit(
            events.OpeningRefused(
                flow_id(key), reason, tried_count, candidate_count, self._context.routing.version
            )
        )
        self._context.send_reset(packet, key)

    def on_rejected(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        """Place a rejected opening on another server."""
        pointer = self.pointers.by_key.get(header.key)
        if pointer is not None and pointer.target != source:
            self._context.counters["dropped_late_rejection"] += 1
            return
        tried = pointer.tried if pointer is not None else set()
        tried.add(source)
        if frame.kind is RelayKind.REJECTED:
            self.loads.record_rejection(source)
        if header.key not in self._holder.held.by_key:
            self._place(frame, header, tried)

    # Searches

    def on_returned(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        """Search for the flow of a packet that the agent at ``source`` has returned."""
        pointer = self.pointers.by_key.get(header.key)
        if pointer is not None and pointer.target == source:
            self.pointers.remove(header.key)
        self._search(frame, header.key, exclude=source)

    def _search(self, frame: RelayFrame, key: bytes, exclude: Address | None) -> None:
        if key not in self.searches.by_key:
            reason = "not_in_directory" if exclude is None else "returned_by_server"
            self._context.emit(events.SearchStarted(flow_id(key), reason, len(self.peers)))
        agents = set(self.peers)
        if self._holder.has_incomplete_flow_table:
            agents.add(self._context.own_address)
        if exclude is not None:
            agents.discard(exclude)
        for address in self.searches.begin(key, frame.body, agents, self._context.now):
            self._context.counters["search_requests"] += 1
            if address == self._context.own_address:
                self._holder.probe(key, frame.body, self._context.own_address)
            else:
                self._context.send(address, RelayKind.SEARCH, frame, frame.body)

    def on_found(self, key: bytes, source: Address) -> None:
        """End a search; the agent at ``source`` has the flow and gets the queued packets."""
        if key in self.searches.by_key:
            self._emit_search_ended(key, "found", source[0], 0)
        queued = self.searches.on_found(key)
        self.pointers.set_target(key, source, self._context.now)
        for packet in queued:
            if source == self._context.own_address:
                self._context.outbox.deliver(packet)
            else:
                self._context.relay_packet(source, RelayKind.DELIVER, packet)

    def on_not_found(self, key: bytes, source: Address) -> None:
        """Record that the agent at ``source`` does not have the flow."""
        pointer = self.pointers.by_key.get(key)
        if key not in self.searches.by_key and pointer is not None and pointer.target == source:
            # This answers a delivery, not a search: the next packet starts a search.
            self.pointers.remove(key)
        if self.searches.on_not_found(key, source):
            self._end_exhausted(key)

    def _end_exhausted(self, key: bytes) -> None:
        """End a search in which no queried agent has the flow, once all members were queried.

        A server gets openings only as a member, so the agent that has the flow was a member before
        the search began. Until control has confirmed the members since then, one may be missing.
        """
        search = self.searches.by_key[key]
        if not self._are_members_confirmed(search.started_at):
            return
        packet = search.packet
        unqueried = self.searches.query_more(key, self.peers, self._context.now)
        for address in unqueried:
            self._context.relay_packet(address, RelayKind.SEARCH, packet)
        if unqueried:
            return
        self.searches.end(key)
        self.pointers.remove(key)
        self._context.counters["flows_found_nowhere"] += 1
        self._emit_search_ended(key, "nowhere", "", 0)
        header = self._context.packet_format.parse_inbound(packet)
        if not isinstance(header, Malformed) and header.payload_bytes:
            # The flow ended with its server: a reset ends the caller's wait before its deadline.
            self._context.emit(events.FlowReset(flow_id(key), "held_nowhere"))
            self._context.send_reset(packet, key)

    def _emit_search_ended(
        self, key: bytes, outcome: str, server_agent: str, unanswered: int
    ) -> None:
        self._context.emit(events.SearchEnded(flow_id(key), outcome, server_agent, unanswered))

    def tick(self) -> None:
        """End searches that are exhausted or timed out, and remove unused pointers."""
        now = self._context.now
        for key in self.searches.find_exhausted(self.former_members, now):
            self._end_exhausted(key)
        for key, unanswered in self.searches.expire(now):
            self._context.counters["searches_expired"] += 1
            self._emit_search_ended(key, "expired", "", unanswered)
        self.pointers.sweep(now)
