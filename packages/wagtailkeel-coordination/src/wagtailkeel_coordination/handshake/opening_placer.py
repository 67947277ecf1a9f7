"""The part of a directory owner that places openings on servers."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from wagtailkeel_coordination.handshake.flow_holder import FIRST_PLACEMENT_HOPS
from wagtailkeel_coordination.handshake.load_requests import LoadRequests
from wagtailkeel_coordination.handshake.load_sample import LoadSampler
from wagtailkeel_coordination.handshake.opening_copies import OpeningCopies
from wagtailkeel_coordination.handshake.opening_offers import OpeningOffers
from wagtailkeel_coordination.handshake.opening_refusals import OpeningRefusals
from wagtailkeel_coordination.handshake.pending_opening import PendingOpening
from wagtailkeel_coordination.handshake.placement_preview import preview_placement
from wagtailkeel_coordination.handshake.placement_rule import PlacementRule
from wagtailkeel_coordination.handshake.priority_admission import has_room
from wagtailkeel_coordination.handshake.server_choice import PeerLoads
from wagtailkeel_coordination.handshake.server_choice import choose_shortest_queue
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtailkeel_coordination.handshake.flow_holder import FlowHolder
    from wagtailkeel_coordination.handshake.flow_pointers import FlowPointer
    from wagtailkeel_coordination.handshake.flow_pointers import FlowPointers
    from wagtailkeel_coordination.handshake.load_sample import SampleSize
    from wagtailkeel_coordination.handshake.member import Member
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.router_options import RouterOptions
    from wagtailkeel_coordination.handshake.server_choice import PeerLoad
    from wagtailkeel_coordination.handshake.server_choice import ServerChoice
    from wagtailkeel_protocol.messages import ServerLoad
    from wagtailkeel_protocol.packet_format import PacketHeader
    from wagtailkeel_protocol.relay import RelayFrame
    from wagtailkeel_protocol.where_messages import PlacementPreview

Address = tuple[str, int]

MAX_PLACEMENT_ATTEMPTS = 4
MAX_ATTEMPTS_BEFORE_QUEUE = 2
"""With ``queue_when_busy``, an opening that this many servers did not take at once is queued."""
MAX_QUEUE_ATTEMPTS = 2
"""With ``queue_when_busy``, so many agents may reject an opening that was to be queued there."""
PLACEMENT_LOAD_AGE_S = 0.25
"""The age up to which a load counts in a placement that waited for other answers."""
RETURNED_HOPS = 1
"""An opening that an agent has returned is not placed for the first time any more."""


class OpeningPlacer:
    """Places openings by the loads that it requests from a sample of agents."""

    def __init__(
        self,
        context: RouterContext,
        holder: FlowHolder,
        pointers: FlowPointers,
        data_centre: str,
        random: Random,
        choose: ServerChoice,
        sample_size: SampleSize,
        options: RouterOptions,
    ) -> None:
        self.loads = PeerLoads(avoids_outliers=options.outlier_detection)
        self.opening_copies = OpeningCopies()
        self._agents: frozenset[Address] = frozenset()
        self._context = context
        self._holder = holder
        self._pointers = pointers
        self._data_centre = data_centre
        self._random = random
        self._rule = PlacementRule(context, data_centre, choose, options)
        self._options = options
        self._max_attempts = _find_max_attempts(options, sample_size)
        self._sampler = LoadSampler(data_centre, sample_size, random)
        self._requests = LoadRequests(
            context,
            self.loads,
            self._sampler,
            self._rule.aged,
            self._advance,
            skips_full=options.looks_for_room,
        )
        self._refusals = OpeningRefusals(context, self.loads, options)
        self._offers = OpeningOffers(
            context, holder, self.loads, may_decline=self._rule.aged is not None
        )

    def set_members(
        self, members: Mapping[Address, Member], former_members: frozenset[Address]
    ) -> None:
        """Set the agents that may get openings, and those that may have got some."""
        self._requests.set_members(members)
        self._agents = former_members | members.keys() | {self._context.own_address}

    # Events

    def place(self, frame: RelayFrame, header: PacketHeader, tried: set[Address]) -> None:
        """Place an opening on a server; no server is known to have its flow."""
        self._start(frame, header, tried, None)

    def place_again(self, frame: RelayFrame, header: PacketHeader, pointer: FlowPointer) -> None:
        """Send a later transmission to the agent that got an earlier one, if it still answers."""
        self._start(frame, header, pointer.tried, pointer.target, pointer.queue_tried)

    def _start(
        self,
        frame: RelayFrame,
        header: PacketHeader,
        tried: set[Address],
        former_target: Address | None,
        queue_tried: set[Address] | None = None,
    ) -> None:
        key = header.key
        if key in self._requests.pending_by_key:
            self._context.counters["dropped_copy_of_pending_opening"] += 1
            return
        service = self._context.resolve_service(frame, key)
        if service is None:
            self._context.counters["dropped_route_changed"] += 1
            return
        tag = relay.service_tag(service)
        endpoint = self._context.packet_format.endpoint_of(key)
        target_s = self._context.routing.target_s(endpoint)
        if queue_tried is None or not self._options.queue_when_busy:
            queue_tried = tried
        opening = PendingOpening(
            frame,
            key,
            header.initial_sequence,
            header.attempt,
            service,
            tag,
            tried,
            queue_tried,
            target_s,
            former_target,
        )
        if former_target is None and self._refuse_by_priority(opening):
            return
        if former_target is None or not self._requests.request(opening, [former_target]):
            self._advance(opening)

    def preview(self, service: str) -> PlacementPreview:
        """Return what would happen to an opening for a service now; nothing is changed."""
        return preview_placement(
            self.loads,
            self._sampler.members_of(relay.service_tag(service)),
            self._data_centre,
            self._rule.choose,
            self._rule.expected_wait_ms,
            Random(0),
            self._holder.queue.max_wait_s,
            PLACEMENT_LOAD_AGE_S,
            self._context.now,
        )

    def on_load(self, address: Address, load: ServerLoad) -> None:
        """Record an agent's load, and place the openings for which enough loads are known."""
        if self._requests.is_member(address):
            self._refusals.record_limit(load)
            self._requests.on_load(address, load)

    def tick(self) -> None:
        """Place openings without the agents that have not answered in time."""
        self.opening_copies.sweep(self._context.now)
        self._requests.tick()

    def are_most_outliers(self) -> bool:
        """Return whether at least half of the service's known servers are outliers."""
        own_address, own_tag = self._context.own_address, self._context.own_tag
        return self.loads.are_most_outliers(own_address, own_tag, self._context.now)

    # Placement

    def _advance(self, opening: PendingOpening) -> None:
        """Place an opening, or request the loads of more agents until none is left to ask."""
        if opening.former_target is not None and self._return_to_former_target(opening):
            return
        while not self._try_candidates(opening):
            may_try_more = self._may_try_more(opening)
            sample = self._requests.draw_sample(opening) if may_try_more else []
            if may_try_more and not sample and opening.pending:
                self._requests.wait(opening)
                return
            if not sample:
                self._on_unplaced(opening)
                return
            if self._requests.request(opening, sample):
                return

    def _may_try_more(self, opening: PendingOpening) -> bool:
        """Return whether the loads of more agents may be requested for an opening.

        To queue it, loads of agents that have not rejected it must be known.
        """
        if self._options.queue_when_busy and opening.tried.issuperset(opening.sampled):
            return len(opening.queue_tried) < MAX_QUEUE_ATTEMPTS
        return len(opening.tried) < self._max_attempts

    def _return_to_former_target(self, opening: PendingOpening) -> bool:
        """Send an opening to the agent that got an earlier transmission; return False if it died.

        The agent may have stopped before its server answered.
        """
        target = opening.former_target
        assert target is not None, "the caller checks for it"
        opening.former_target = None
        if self._is_available(target):
            self._record_sent(opening, target)
            self._context.send(target, RelayKind.PLACE, opening.frame, opening.frame.body)
            return True
        opening.tried.add(target)
        return False

    def _try_candidates(self, opening: PendingOpening) -> bool:
        """Offer an opening to the best sampled servers; return whether one of them got it."""
        candidates = self._find_candidates(opening)
        if self._options.looks_for_room:
            candidates = [peer for peer in candidates if has_room(peer, opening.target_s)]
        while len(opening.tried) < self._max_attempts:
            peer = self._rule.choose(candidates, self._data_centre, opening.tried, self._random)
            if peer is None:
                return False
            self._rule.record_choice(peer, opening.key, len(candidates))
            self._point_to(peer.address, opening)
            if peer.load.is_outlier:
                # No better server is known, so its agent must not return the opening.
                opening.frame.hops = max(opening.frame.hops, FIRST_PLACEMENT_HOPS)
            if self._offers.offer(opening, peer.address):
                self._record_sent(opening, peer.address)
                return True
            opening.tried.add(peer.address)
        return False

    def _find_candidates(self, opening: PendingOpening) -> list[PeerLoad]:
        """Return the sampled agents that may get an opening, this one by its current load."""
        now = self._context.now
        if self._context.own_address in opening.sampled:
            own_load = self._holder.load_reporter.build(now)
            self.loads.on_load(self._context.own_address, self._data_centre, own_load, now)
        return self.loads.find_candidates(opening.sampled, now, PLACEMENT_LOAD_AGE_S)

    def _record_sent(self, opening: PendingOpening, address: Address) -> None:
        self.opening_copies.record_sent(opening.key, opening.attempt, address)

    def _may_refuse(self, key: bytes) -> bool:
        """Return whether no server can have got a copy of an opening.

        The refusal of a copy would otherwise reach a caller whose flow is open.
        """
        copies = self.opening_copies
        if not copies.are_all_here(key, self._context.now):
            return False
        return not copies.is_any_sent(key, self._agents)

    def _point_to(self, address: Address, opening: PendingOpening) -> None:
        pointer = self._pointers.set_target(opening.key, address, self._context.now)
        pointer.initial_sequence = opening.initial_sequence
        pointer.tried = opening.tried
        pointer.queue_tried = opening.queue_tried

    def _on_unplaced(self, opening: PendingOpening) -> None:
        """Queue or refuse an opening that no server accepts, unless a server may still take it."""
        now = self._context.now
        self._pointers.remove(opening.key)
        if self.opening_copies.are_all_here(opening.key, now) and self._queue(opening):
            return
        is_unknown = self.loads.has_unreported_server(opening.sampled, now)
        if is_unknown or not self._is_sample_available(opening):
            # A server may have room: the caller's next retransmission reaches it.
            self._context.counters["openings_deferred"] += 1
        elif self._may_refuse(opening.key):
            self._refusals.refuse_unplaced(opening, len(self._find_candidates(opening)))
        else:
            # A server may have got an earlier transmission, so the flow may be open.
            self._context.counters["dropped_copy_of_opening"] += 1

    def _refuse_by_priority(self, opening: PendingOpening) -> bool:
        """Refuse an opening above the priority limit of its service; return False if it is not."""
        if not self._refusals.exceeds_limit(opening):
            return False
        if not self._may_refuse(opening.key):
            return False
        self._pointers.remove(opening.key)
        self._refusals.refuse_by_priority(opening)
        return True

    def _queue(self, opening: PendingOpening) -> bool:
        """Queue an opening at a server that will accept it in time; return whether one will."""
        now = self._context.now
        waited_s = now - self.opening_copies.first_received_at(opening.key, now)
        wait_limit_s = self._holder.queue.max_wait_s - waited_s
        is_tried_enough = len(opening.queue_tried) >= MAX_QUEUE_ATTEMPTS
        if wait_limit_s <= 0 or (self._options.queue_when_busy and is_tried_enough):
            return False
        excluded = opening.queue_tried if self._options.queue_when_busy else opening.tried
        queues = self.loads.find_queues(opening.sampled, now, PLACEMENT_LOAD_AGE_S)
        while True:
            peer = choose_shortest_queue(queues, wait_limit_s * 1_000, excluded, self._random)
            if peer is None:
                return False
            self._point_to(peer.address, opening)
            if self._offers.offer_queue(opening, peer.address, wait_limit_s):
                self._record_sent(opening, peer.address)
                return True
            opening.tried.add(peer.address)
            opening.queue_tried.add(peer.address)

    def _is_available(self, address: Address) -> bool:
        return self.loads.is_available(address, self._context.now, PLACEMENT_LOAD_AGE_S)

    def _is_sample_available(self, opening: PendingOpening) -> bool:
        """Return whether all sampled agents are available by their loads.

        If not, a server may be ready without this owner knowing it.
        """
        own_address = self._context.own_address
        return all(
            address == own_address or self._is_available(address) for address in opening.sampled
        )

    # Openings that agents have returned

    def on_rejected(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        """Place a rejected opening on another server."""
        self.opening_copies.record_returned(header.key, header.attempt, source)
        pointer = self._pointers.by_key.get(header.key)
        if pointer is not None and pointer.target != source:
            self._context.counters["dropped_late_rejection"] += 1
            return
        tried = pointer.tried if pointer is not None else set()
        queue_tried = (pointer.queue_tried if pointer is not None else None) or set()
        tried.add(source)
        if frame.kind is RelayKind.REJECTED:
            queue_tried.add(source)
        self._record_rejection(frame.kind, header.key, source)
        bounds_attempts = self._options.queue_when_busy or self._options.looks_for_room
        if frame.kind is not RelayKind.DECLINED and bounds_attempts:
            # The agents tried bound the transmissions, and each of them takes two hops.
            frame.hops = RETURNED_HOPS
        if header.key in self._holder.held.by_key:
            return
        offered = self._offers.pop_offered(header.key)
        if frame.kind is RelayKind.DECLINED:
            tried.discard(source)
            self.loads.record_full(source, self._context.now)
            if offered is not None and header.key not in self._requests.pending_by_key:
                self._place_declined(offered, frame)
                return
        self._start(frame, header, tried, None, queue_tried)

    def _record_rejection(self, kind: RelayKind, key: bytes, source: Address) -> None:
        """Adjust the known load of an agent that has rejected an opening."""
        is_busy = kind is RelayKind.BUSY
        if kind is RelayKind.REJECTED or (is_busy and self._options.queue_when_busy):
            self.loads.record_rejection(source)
        elif is_busy and self._options.looks_for_room:
            endpoint = self._context.packet_format.endpoint_of(key)
            self.loads.record_busy(source, self._context.routing.target_s(endpoint))

    def _place_declined(self, opening: PendingOpening, frame: RelayFrame) -> None:
        """Place an opening for good by the loads that are known; no more are requested for it.

        The server that declined it may still get it, if all others are expected to be slower.
        """
        opening.frame = frame
        opening.is_declined = True
        self._advance(opening)


def _find_max_attempts(options: RouterOptions, sample_size: SampleSize) -> int:
    """Return how many agents may reject an opening before it is queued or refused."""
    if options.queue_when_busy:
        return MAX_ATTEMPTS_BEFORE_QUEUE
    return sample_size.limit if options.looks_for_room else MAX_PLACEMENT_ATTEMPTS
