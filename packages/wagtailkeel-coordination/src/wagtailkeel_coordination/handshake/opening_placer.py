"""The part of a directory owner that places openings on servers or refuses them."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.aged_load import AgedLoadChoice
from wagtailkeel_coordination.handshake.crossing_cost import CrossingCost
from wagtailkeel_coordination.handshake.flow_holder import FIRST_PLACEMENT_HOPS
from wagtailkeel_coordination.handshake.load_sample import LoadSampler
from wagtailkeel_coordination.handshake.load_sample import SampleSize
from wagtailkeel_coordination.handshake.load_sample import may_place_without
from wagtailkeel_coordination.handshake.opening_copies import OpeningCopies
from wagtailkeel_coordination.handshake.placement_preview import preview_placement
from wagtailkeel_coordination.handshake.priority_admission import LIMIT_AGE_S
from wagtailkeel_coordination.handshake.priority_admission import exceeds_limit
from wagtailkeel_coordination.handshake.priority_admission import has_room
from wagtailkeel_coordination.handshake.priority_admission import is_surely_full
from wagtailkeel_coordination.handshake.server_choice import PeerLoads
from wagtailkeel_coordination.handshake.server_choice import choose_shortest_queue
from wagtailkeel_coordination.handshake.server_choice import expected_wait_ms
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.messages import ANY_PRIORITY
from wagtailkeel_protocol.messages import LoadRequest
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from wagtailkeel_coordination.handshake.flow_holder import FlowHolder
    from wagtailkeel_coordination.handshake.flow_pointers import FlowPointer
    from wagtailkeel_coordination.handshake.flow_pointers import FlowPointers
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
FRESH_LOAD_S = 0.1
"""A load this recent is not requested again: the openings placed since are counted."""
FULL_LOAD_AGE_S = 0.2
"""With priority admission, the load of an agent without room is not requested again for this long.

It must still count in a placement that waits for other answers.
"""
PLACEMENT_LOAD_AGE_S = 0.25
"""The age up to which a load counts in a placement that waited for other answers."""
RETURNED_HOPS = 1
"""An opening that an agent has returned is not placed for the first time any more."""
CURRENT_LOAD_S = 0.01
"""A load that was requested for an opening is at most this old when the opening is placed."""
LOAD_TIMEOUT_S = 0.03
MAX_OFFERED_OPENINGS = 256
"""An offered opening is declined within milliseconds or not at all."""
UNRESPONSIVE_S = 1.0
"""An agent that did not answer is left out of samples for this long."""


class _Opening(msgspec.Struct):
    """An opening that is being placed; ``tag`` identifies ``service`` in frames.

    ``sampled`` are the agents whose load was requested or known, ``pending`` those of them that
    have not answered. ``tried`` are the agents that have rejected it, ``queue_tried`` those of them
    that do not queue it either. ``former_target`` is the agent that got an earlier transmission,
    until its load is known. ``is_declined`` is set once an agent has declined the opening.
    ``target_s`` is its route's target response time in seconds.
    """

    frame: RelayFrame
    key: bytes
    service: str
    tag: int
    tried: set[Address]
    queue_tried: set[Address]
    target_s: float
    former_target: Address | None = None
    sampled: list[Address] = msgspec.field(default_factory=list)
    pending: set[Address] = msgspec.field(default_factory=set)
    requested_at: float = 0.0
    is_declined: bool = False


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
        self._context = context
        self._holder = holder
        self._pointers = pointers
        self._data_centre = data_centre
        self._random = random
        self._choose = choose
        self._options = options
        self._aged: AgedLoadChoice | None = None
        if options.placement == "aged_loads":
            self._aged = AgedLoadChoice(CrossingCost(data_centre), lambda: context.now)
            self._choose = self._aged
        self._offered_by_key: dict[bytes, _Opening] = {}
        # Where openings queue at busy agents, an owner need not look for the one that has room.
        self._looks_for_room = options.priority_admission and not options.queue_when_busy
        self._max_attempts = sample_size.limit if self._looks_for_room else MAX_PLACEMENT_ATTEMPTS
        if options.queue_when_busy:
            self._max_attempts = MAX_ATTEMPTS_BEFORE_QUEUE
        self._limited_at_by_tag: dict[int, float] = {}
        self._sampler = LoadSampler(data_centre, sample_size, random)
        self._data_centres_by_member: dict[Address, str] = {}
        self._pending_by_key: dict[bytes, _Opening] = {}
        self._requested_at_by_address: dict[Address, float] = {}
        self._unanswered_at_by_address: dict[Address, float] = {}

    def set_members(self, members: Mapping[Address, Member]) -> None:
        """Set the agents that may get openings."""
        self.loads.retain(members)
        if self._aged is not None:
            self._aged.rates.retain(members)
        self._sampler.set_members(members)
        self._data_centres_by_member = {a: m.data_centre for a, m in members.items()}
        for by_address in (self._requested_at_by_address, self._unanswered_at_by_address):
            for address in [a for a in by_address if a not in members]:
                del by_address[address]

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
        if key in self._pending_by_key:
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
        opening = _Opening(frame, key, service, tag, tried, queue_tried, target_s, former_target)
        if former_target is None and self._refuse_by_priority(opening, endpoint):
            return
        if former_target is None or not self._request_loads(opening, [former_target]):
            self._advance(opening)

    def preview(self, service: str) -> PlacementPreview:
        """Return what would happen to an opening for a service now; nothing is changed."""
        return preview_placement(
            self.loads,
            self._sampler.members_of(relay.service_tag(service)),
            self._data_centre,
            self._choose,
            self._expected_wait_ms,
            Random(0),
            self._holder.queue.max_wait_s,
            PLACEMENT_LOAD_AGE_S,
            self._context.now,
        )

    def on_load(self, address: Address, load: ServerLoad) -> None:
        """Record an agent's load, and place the openings for which enough loads are known."""
        data_centre = self._data_centres_by_member.get(address)
        if data_centre is None:
            return
        self.loads.on_load(address, data_centre, load, self._context.now)
        requested_at = self._requested_at_by_address.pop(address, None)
        if self._aged is not None:
            self._aged.rates.record(address, load.opened_flows, self._context.now)
            if requested_at is not None:
                self._aged.crossing.record(data_centre, self._context.now - requested_at)
        if load.priority_limit < ANY_PRIORITY:
            self._limited_at_by_tag[load.service_tag] = self._context.now
        self._unanswered_at_by_address.pop(address, None)
        for opening in list(self._pending_by_key.values()):
            if address not in opening.pending:
                continue
            opening.pending.discard(address)
            if self._is_sampled(opening):
                self._resume(opening)

    def tick(self) -> None:
        """Place openings without the agents that have not answered in time."""
        now = self._context.now
        self.opening_copies.sweep(now)
        overdue = [a for a, at in self._requested_at_by_address.items() if _is_overdue(at, now)]
        for address in overdue:
            del self._requested_at_by_address[address]
            self._unanswered_at_by_address[address] = now
            self._context.counters["loads_unanswered"] += 1
            self.loads.remove(address)
        for opening in list(self._pending_by_key.values()):
            if _is_overdue(opening.requested_at, now):
                opening.pending.clear()
                self._resume(opening)

    # Samples

    def _is_sampled(self, opening: _Opening) -> bool:
        """Return whether enough loads are known to place an opening."""
        return may_place_without(len(opening.pending), len(opening.sampled))

    def _resume(self, opening: _Opening) -> None:
        del self._pending_by_key[opening.key]
        self._advance(opening)

    def _advance(self, opening: _Opening) -> None:
        """Place an opening, or request the loads of more agents until none is left to ask."""
        if opening.former_target is not None and self._return_to_former_target(opening):
            return
        while not self._try_candidates(opening):
            may_try_more = self._may_try_more(opening)
            sample = self._draw_sample(opening) if may_try_more else []
            if may_try_more and not sample and opening.pending:
                self._pending_by_key[opening.key] = opening
                return
            if not sample:
                self._on_unplaced(opening)
                return
            if self._request_loads(opening, sample):
                return

    def _may_try_more(self, opening: _Opening) -> bool:
        """Return whether the loads of more agents may be requested for an opening.

        To queue it, loads of agents that have not rejected it must be known.
        """
        if self._options.queue_when_busy and opening.tried.issuperset(opening.sampled):
            return len(opening.queue_tried) < MAX_QUEUE_ATTEMPTS
        return len(opening.tried) < self._max_attempts

    def _return_to_former_target(self, opening: _Opening) -> bool:
        """Send an opening to the agent that got an earlier transmission; return False if it died.

        The agent may have stopped before its server answered.
        """
        target = opening.former_target
        assert target is not None, "the caller checks for it"
        opening.former_target = None
        if self._is_available(target):
            self._context.send(target, RelayKind.PLACE, opening.frame, opening.frame.body)
            return True
        opening.tried.add(target)
        return False

    def _draw_sample(self, opening: _Opening) -> list[Address]:
        now = self._context.now
        unresponsive = {
            address
            for address, at in self._unanswered_at_by_address.items()
            if now - at < UNRESPONSIVE_S
        }
        return self._sampler.draw(opening.tag, opening.sampled, unresponsive)

    def _request_loads(self, opening: _Opening, sample: Iterable[Address]) -> bool:
        """Request the loads of agents; return whether the opening has to wait for answers."""
        now = self._context.now
        for address in sample:
            opening.sampled.append(address)
            if address == self._context.own_address or self._knows_load(opening, address):
                continue
            opening.pending.add(address)
            if address in self._requested_at_by_address:
                continue
            self._requested_at_by_address[address] = now
            self._context.counters["load_requests"] += 1
            self._context.outbox.send_message(address, LoadRequest())
        if self._is_sampled(opening):
            return False
        opening.requested_at = now
        self._pending_by_key[opening.key] = opening
        return True

    def _knows_load(self, opening: _Opening, address: Address) -> bool:
        """Return whether an agent's last load is recent enough for an opening."""
        now = self._context.now
        if self.loads.is_fresh(address, now, FRESH_LOAD_S):
            return True
        if not self._looks_for_room:
            return False
        is_recent = self.loads.is_fresh(address, now, FULL_LOAD_AGE_S)
        return is_recent and is_surely_full(self.loads.by_address[address], opening.target_s, now)

    # Placement

    def _try_candidates(self, opening: _Opening) -> bool:
        """Offer an opening to the best sampled servers; return whether one of them got it."""
        candidates = self._find_candidates(opening)
        if self._looks_for_room:
            candidates = [peer for peer in candidates if has_room(peer, opening.target_s)]
        while len(opening.tried) < self._max_attempts:
            peer = self._choose(candidates, self._data_centre, opening.tried, self._random)
            if peer is None:
                return False
            self._emit_placement(peer, opening.key, len(candidates))
            self._count_age(peer)
            self._point_to(peer.address, opening)
            if peer.load.is_outlier:
                # No better server is known, so its agent must not return the opening.
                opening.frame.hops = max(opening.frame.hops, FIRST_PLACEMENT_HOPS)
            if self._offer(opening, peer.address):
                return True
            opening.tried.add(peer.address)
        return False

    def _find_candidates(self, opening: _Opening) -> list[PeerLoad]:
        """Return the sampled agents that may get an opening, this one by its current load."""
        now = self._context.now
        if self._context.own_address in opening.sampled:
            own_load = self._holder.build_load(now)
            self.loads.on_load(self._context.own_address, self._data_centre, own_load, now)
        return self.loads.find_candidates(opening.sampled, now, PLACEMENT_LOAD_AGE_S)

    def _point_to(self, address: Address, opening: _Opening) -> None:
        pointer = self._pointers.set_target(opening.key, address, self._context.now)
        pointer.tried = opening.tried
        pointer.queue_tried = opening.queue_tried

    def _offer(self, opening: _Opening, address: Address) -> bool:
        """Send an opening to an agent, or open its flow here.

        Return False if this agent rejects the opening.
        """
        frame, key = opening.frame, opening.key
        if address != self._context.own_address:
            kind = self._choose_kind(opening, address)
            self.loads.count_opening(address)
            self._context.relay(address, kind, frame, opening.tag, frame.body)
            return True
        is_first = not opening.tried and frame.hops < FIRST_PLACEMENT_HOPS
        if self._holder.withholds(key, is_first=is_first):
            return False
        if self._holder.admission is not None:
            return self._holder.accept(frame, key, opening.service, address) is None
        if not self._holder.has_room(key) or not self._holder.admit(opening.service, key):
            return False
        self._holder.open(frame.body, key, address)
        return True

    def _choose_kind(self, opening: _Opening, address: Address) -> RelayKind:
        """Return whether an opening is placed, or offered to an agent that may decline it once.

        An agent that does not report ``opened_flows`` may be of a release that takes no offers.
        """
        peer = self.loads.by_address.get(address)
        is_known = peer is not None and peer.load.opened_flows > 0
        if self._aged is None or opening.is_declined or opening.tried or not is_known:
            return RelayKind.PLACE
        self._offered_by_key[opening.key] = opening
        if len(self._offered_by_key) > MAX_OFFERED_OPENINGS:
            del self._offered_by_key[next(iter(self._offered_by_key))]
        return RelayKind.OFFER

    def _on_unplaced(self, opening: _Opening) -> None:
        """Queue or refuse an opening that no server accepts, unless a server may still take it."""
        now = self._context.now
        self._pointers.remove(opening.key)
        may_refuse = self.opening_copies.are_all_here(opening.key, now)
        if may_refuse and self._queue(opening):
            return
        if self.loads.has_unreported_server(opening.sampled, now) or not self._is_sample_available(
            opening
        ):
            # A server may have room: the caller's next retransmission reaches it.
            self._context.counters["openings_deferred"] += 1
        elif may_refuse:
            self._refuse_unplaced(opening)
        else:
            # Another owner may have placed an earlier transmission, so the flow may be open.
            self._context.counters["dropped_copy_of_opening"] += 1

    def _queue(self, opening: _Opening) -> bool:
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
            if self._offer_queue(opening, peer.address, wait_limit_s):
                return True
            opening.tried.add(peer.address)
            opening.queue_tried.add(peer.address)

    def _offer_queue(self, opening: _Opening, address: Address, wait_limit_s: float) -> bool:
        frame = opening.frame
        if address == self._context.own_address and self._holder.admission is not None:
            answer = self._holder.accept(frame, opening.key, opening.service, address, wait_limit_s)
            return answer is None
        if address == self._context.own_address:
            return self._holder.queue_opening(frame, opening.key, address, wait_limit_s)
        self.loads.count_opening(address)
        body = relay.encode_queued(wait_limit_s, frame.body)
        self._context.relay(address, RelayKind.QUEUE, frame, opening.tag, body)
        return True

    def are_most_outliers(self) -> bool:
        """Return whether at least half of the service's known servers are outliers."""
        own_address, own_tag = self._context.own_address, self._context.own_tag
        return self.loads.are_most_outliers(own_address, own_tag, self._context.now)

    def _is_available(self, address: Address) -> bool:
        return self.loads.is_available(address, self._context.now, PLACEMENT_LOAD_AGE_S)

    def _is_sample_available(self, opening: _Opening) -> bool:
        """Return whether all sampled agents are available by their loads.

        If not, a server may be ready without this owner knowing it.
        """
        own_address = self._context.own_address
        return all(
            address == own_address or self._is_available(address) for address in opening.sampled
        )

    def _emit_placement(self, peer: PeerLoad, key: bytes, candidate_count: int) -> None:
        self._context.emit(
            events.OpeningPlaced(
                flow_id(key),
                peer.address[0],
                self._context.routing.version,
                candidate_count,
                round(self._expected_wait_ms(peer), 1),
                round((self._context.now - peer.received_at) * 1_000, 1),
            )
        )

    def _expected_wait_ms(self, peer: PeerLoad) -> float:
        if self._aged is not None:
            return self._aged.expected_wait_ms(peer, self._data_centre)
        return expected_wait_ms(peer, self._data_centre)

    def _count_age(self, peer: PeerLoad) -> None:
        """Count the age of a load by which an opening is placed."""
        age_s = self._context.now - peer.received_at
        if age_s <= CURRENT_LOAD_S:
            self._context.counters["placed_by_current_load"] += 1
        elif age_s <= FRESH_LOAD_S:
            self._context.counters["placed_by_recent_load"] += 1
        else:
            self._context.counters["placed_by_old_load"] += 1

    def _refuse_by_priority(self, opening: _Opening, endpoint: bytes) -> bool:
        """Refuse an opening above the priority limit of its service; return False if it is not."""
        now = self._context.now
        limited_at = self._limited_at_by_tag.get(opening.tag, float("-inf"))
        if not self._options.priority_admission or now - limited_at > LIMIT_AGE_S:
            return False
        priority = self._context.routing.priority(endpoint)
        peers = self.loads.find_recent_of_service(opening.tag, now, LIMIT_AGE_S)
        if not exceeds_limit(priority, peers, opening.target_s, now):
            return False
        if not self.opening_copies.are_all_here(opening.key, now):
            return False
        self._pointers.remove(opening.key)
        self._context.counters["openings_refused_by_priority"] += 1
        self._refuse(opening, "low_priority")
        return True

    def _refuse_unplaced(self, opening: _Opening) -> None:
        candidate_count = len(self._find_candidates(opening))
        reason = "all_tried" if candidate_count else "no_server_accepts"
        if candidate_count and self._looks_for_room:
            reason = "no_room"
        self._refuse(opening, reason, candidate_count)

    def _refuse(self, opening: _Opening, reason: str, candidate_count: int = 0) -> None:
        """Refuse an opening that no server has seen, so that the caller learns it at once."""
        self._context.counters["openings_refused"] += 1
        self._context.emit(
            events.OpeningRefused(
                flow_id(opening.key),
                reason,
                len(opening.tried),
                candidate_count,
                self._context.routing.version,
            )
        )
        self._context.send_reset(opening.frame.body, opening.key)

    def on_rejected(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        """Place a rejected opening on another server."""
        pointer = self._pointers.by_key.get(header.key)
        if pointer is not None and pointer.target != source:
            self._context.counters["dropped_late_rejection"] += 1
            return
        tried = pointer.tried if pointer is not None else set()
        queue_tried = (pointer.queue_tried if pointer is not None else None) or set()
        tried.add(source)
        if frame.kind is RelayKind.REJECTED:
            queue_tried.add(source)
        is_busy = frame.kind is RelayKind.BUSY and self._options.queue_when_busy
        if frame.kind is RelayKind.REJECTED or is_busy:
            self.loads.record_rejection(source)
        elif self._looks_for_room and frame.kind is RelayKind.BUSY:
            endpoint = self._context.packet_format.endpoint_of(header.key)
            self.loads.record_busy(source, self._context.routing.target_s(endpoint))
        bounds_attempts = self._options.queue_when_busy or self._looks_for_room
        if frame.kind is not RelayKind.DECLINED and bounds_attempts:
            # The agents tried bound the transmissions, and each of them takes two hops.
            frame.hops = RETURNED_HOPS
        if header.key in self._holder.held.by_key:
            return
        offered = self._offered_by_key.pop(header.key, None)
        if frame.kind is RelayKind.DECLINED:
            tried.discard(source)
            self.loads.record_full(source, self._context.now)
            if offered is not None and header.key not in self._pending_by_key:
                self._place_declined(offered, frame)
                return
        self._start(frame, header, tried, None, queue_tried)

    def _place_declined(self, opening: _Opening, frame: RelayFrame) -> None:
        """Place an opening for good by the loads that are known; no more are requested for it.

        The server that declined it may still get it, if all others are expected to be slower.
        """
        opening.frame = frame
        opening.is_declined = True
        self._advance(opening)


def _is_overdue(requested_at: float, now: float) -> bool:
    return now - requested_at >= LOAD_TIMEOUT_S
