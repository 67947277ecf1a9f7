"""The part of a flow holder that queues openings, and delivers or returns them later.

Openings wait for a cold server, and with ``queue_when_busy`` also for a busy one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.opening_queue import QueuedOpening
from wagtailkeel_coordination.handshake.opening_queue import estimate_warm_wait_s
from wagtailkeel_coordination.handshake.queue_admission import short_wait_s
from wagtailkeel_coordination.handshake.server_openings import SERVER_BUSY
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.relay import RelayFrame
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtailkeel_coordination.handshake.owner_link import OwnerLink
    from wagtailkeel_coordination.handshake.queue_admission import QueueAdmission
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.server_openings import ServerOpenings
    from wagtailkeel_coordination.handshake.server_state import ServerState

Address = tuple[str, int]

MIN_QUEUE_WAIT_S = 0.01
"""Reported while openings wait; 0 would mean that none may."""
UNSERVABLE = "unservable"
NOT_ADMITTED = "not_admitted"
STOPPING = "stopping"


class WaitingOpenings:
    """Queues openings of the server, and delivers them when it has room."""

    def __init__(
        self,
        context: RouterContext,
        server: ServerState,
        openings: ServerOpenings,
        owners: OwnerLink,
    ) -> None:
        self.data_centres_by_agent: Mapping[Address, str] = {}
        self._context = context
        self._gate = server.gate
        self._held = server.held
        self._queue = server.queue
        self._admission = server.admission
        self._openings = openings
        self._owners = owners

    # Openings for a busy or cold server, with ``queue_when_busy``

    def accept(
        self,
        frame: RelayFrame,
        key: bytes,
        service: str | None,
        owner: Address,
        wait_limit_s: float = 0.0,
    ) -> RelayKind | None:
        """Deliver or queue an opening; return how it is to be returned if it is not accepted.

        Without a wait limit, the owner would rather place it at a server that has room sooner.
        """
        assert self._admission is not None, "the caller checks the option"
        now = self._context.now
        may_wait_for_cold = wait_limit_s > 0 and self._gate.is_limited_by_cold_start(now)
        if service != self._gate.service or not (self._gate.accepts(now) or may_wait_for_cold):
            if service is not None:
                self._openings.admit(service, key)
            return RelayKind.REJECTED
        opening = self._describe(self._admission, frame, key, owner, wait_limit_s)
        if not self._queue and not may_wait_for_cold and self._admission.has_room(now):
            self._admission.record_demand(opening, now)
            self._openings.admit(service, key)
            self._openings.open(frame.body, key, owner)
            return None
        return self._queue_if_served(self._admission, opening, wait_limit_s)

    def _queue_if_served(
        self, admission: QueueAdmission, opening: QueuedOpening, wait_limit_s: float
    ) -> RelayKind | None:
        """Queue an opening that will be served in time; return how to return it if it won't be."""
        now = self._context.now
        limit_s = wait_limit_s or short_wait_s(opening, self._queue.max_wait_s)
        wait_s = admission.find_wait_s(opening, limit_s, now)
        if wait_s is None:
            self._openings.count_rejection(opening.key, SERVER_BUSY)
            return RelayKind.REJECTED if wait_limit_s else RelayKind.BUSY
        self._add(opening, wait_s)
        admission.record_demand(opening, now)
        return None

    def _describe(
        self,
        admission: QueueAdmission,
        frame: RelayFrame,
        key: bytes,
        owner: Address,
        wait_limit_s: float,
    ) -> QueuedOpening:
        endpoint = self._context.packet_format.endpoint_of(key)
        routing = self._context.routing
        opening = QueuedOpening(
            frame,
            key,
            owner,
            routing.priority(endpoint),
            0.0,
            0.0,
            routing.target_s(endpoint),
            routing.timeout_s(endpoint),
            self.data_centres_by_agent.get(owner, ""),
        )
        # An owner deducts from the limit what the opening has waited since its first transmission.
        waited_s = max(0.0, self._queue.max_wait_s - wait_limit_s) if wait_limit_s else 0.0
        admission.set_times(opening, waited_s, self._context.now)
        return opening

    # Openings for a cold server, without ``queue_when_busy``

    def find_room_in_s(self, now: float) -> float:
        """Return the time until an opening queued now is delivered; 0 if none may be queued."""
        is_room_expected = self._gate.accepts(now) or self._gate.is_limited_by_cold_start(now)
        if not self._queue.max_wait_s or not is_room_expected:
            return 0.0
        position = len(self._queue)
        warm_in_s = self._gate.warm_in_s(now)
        warm_wait_s = estimate_warm_wait_s(position, self._held.service_s, self._held.slots)
        if not warm_in_s:
            return max(warm_wait_s, MIN_QUEUE_WAIT_S)
        cold_wait_s = self._gate.cold_room_in_s(position, now)
        return max(MIN_QUEUE_WAIT_S, min(cold_wait_s, warm_in_s + warm_wait_s))

    def queue_opening(
        self, frame: RelayFrame, key: bytes, owner: Address, wait_limit_s: float
    ) -> bool:
        """Queue an opening; return False if the server will not have room for it in time."""
        now = self._context.now
        room_in_s = self.find_room_in_s(now)
        if not room_in_s or room_in_s > wait_limit_s:
            return False
        endpoint = self._context.packet_format.endpoint_of(key)
        routing = self._context.routing
        late_from = now + routing.target_s(endpoint) - self._held.service_s
        opening = QueuedOpening(
            frame, key, owner, routing.priority(endpoint), late_from, now + wait_limit_s
        )
        self._add(opening, room_in_s)
        return True

    def _add(self, opening: QueuedOpening, expected_s: float) -> None:
        self._queue.add(opening)
        self._context.counters["openings_queued"] += 1
        self._context.emit(
            events.OpeningQueued(
                flow_id(opening.key),
                len(self._queue),
                round(expected_s * 1_000, 1),
                self._context.routing.version,
            )
        )

    # Release

    def tick(self) -> None:
        """Deliver the queued openings for which the server has room now, and end others' wait."""
        if self._admission is not None:
            self._admission.observe(self._context.now)
            self._return_unservable(self._admission)
            self._release_in_order(self._admission)
        else:
            self._drop_expired()
            self._release_with_room()

    def on_answers(self, answers: int) -> None:
        """Record answers of the server, and deliver the openings for which it has room now."""
        if self._admission is not None:
            self._admission.observe(self._context.now, answers=answers)
            self._release_in_order(self._admission)

    def _release_in_order(self, admission: QueueAdmission) -> None:
        """Deliver the queued openings for which the server has room now, in the serving order."""
        now = self._context.now
        while not self._gate.is_limited_by_cold_start(now):
            opening = admission.order.find_next(self._queue.openings, now)
            if opening is None or (self._gate.accepts(now) and not admission.has_room(now)):
                return
            self._queue.remove(opening)
            admission.order.record_delivery(opening, self._queue.openings)
            self._release(opening)

    def _release_with_room(self) -> None:
        """Deliver the queued openings that would be answered within their targets."""
        now = self._context.now
        while not self._gate.is_limited_by_cold_start(now):
            opening = self._queue.find_next(now)
            if opening is None:
                return
            if self._gate.accepts(now) and not self._openings.has_room(opening.key, is_queued=True):
                return
            self._queue.remove(opening)
            self._release(opening)

    def _release(self, opening: QueuedOpening) -> None:
        """Deliver a queued opening, or return it if the server takes none of its route any more."""
        frame, key = opening.frame, opening.key
        service = self._context.resolve_service(frame, key)
        if service is not None and self._openings.admit(service, key):
            self._openings.open(frame.body, key, opening.owner)
            version = self._context.routing.version
            self._context.emit(events.OpeningReleased(flow_id(key), len(self._queue), version))
        elif self._admission is not None:
            self._return(opening, NOT_ADMITTED)
        else:
            self._send_back(opening)

    # Openings that are not delivered

    def _drop_expired(self) -> None:
        for expired in self._queue.pop_expired(self._context.now):
            self._context.counters["openings_expired"] += 1
            version = self._context.routing.version
            self._context.emit(events.OpeningExpired(flow_id(expired.key), version))

    def _return_unservable(self, admission: QueueAdmission) -> None:
        """Return the queued openings that will not be delivered before they expire."""
        for opening in admission.find_unservable(self._context.now):
            self._queue.remove(opening)
            self._return(opening, UNSERVABLE)

    def return_all(self) -> None:
        """Return all queued openings to their owners, since this agent is about to stop."""
        if self._admission is None:
            return
        for opening in list(self._queue.openings):
            self._queue.remove(opening)
            self._return(opening, STOPPING)

    def _return(self, opening: QueuedOpening, reason: str) -> None:
        """Return an opening that was queued to its owner, which places it elsewhere."""
        self._context.counters[f"openings_returned_{reason}"] += 1
        version = self._context.routing.version
        event = events.OpeningReturned(flow_id(opening.key), reason, len(self._queue), version)
        self._context.emit(event)
        self._send_back(opening)

    def _send_back(self, opening: QueuedOpening) -> None:
        frame = opening.frame
        rejection = RelayFrame(
            RelayKind.REJECTED, frame.hops, frame.routing_version, frame.service_tag, frame.body
        )
        header = self._context.packet_format.parse_inbound(frame.body)
        assert not isinstance(header, Malformed), "only parsed openings are queued"
        self._owners.return_packet(opening.owner, rejection, header)
