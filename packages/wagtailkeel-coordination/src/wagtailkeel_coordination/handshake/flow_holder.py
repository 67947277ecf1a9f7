"""The part of an agent that exchanges packets with its backend server.

Only the server determines which flows it holds; directory owners merely cache their locations.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.flow_probe import FlowProbes
from wagtailkeel_coordination.handshake.held_flows import HeldFlows
from wagtailkeel_coordination.handshake.opening_queue import OpeningQueue
from wagtailkeel_coordination.handshake.opening_queue import QueuedOpening
from wagtailkeel_coordination.handshake.opening_queue import estimate_warm_wait_s
from wagtailkeel_coordination.handshake.priority_admission import PriorityLimit
from wagtailkeel_coordination.handshake.queue_admission import QueueAdmission
from wagtailkeel_coordination.handshake.queue_admission import short_wait_s
from wagtailkeel_coordination.handshake.queue_limit import expected_wait_s
from wagtailkeel_coordination.handshake.queue_limit import has_room
from wagtailkeel_coordination.handshake.route_times import RouteTimes
from wagtailkeel_coordination.handshake.server_watch import ServerWatch
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import FlowQueryReply
from wagtailkeel_protocol.messages import ServerLoad
from wagtailkeel_protocol.relay import RelayFrame
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from wagtailkeel_coordination.handshake.held_flows import HeldFlow
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.router_options import RouterOptions
    from wagtailkeel_coordination.handshake.server_gate import ServerGate
    from wagtailkeel_coordination.handshake.server_gate import ServerReport
    from wagtailkeel_protocol.packet_format import PacketHeader

Address = tuple[str, int]

INCOMPLETE_FLOW_TABLE_S = 60.0
"""A restarted agent may not know some flows of its server for as long as a flow may last."""
SERVER_BUSY = "server_busy"
MIN_QUEUE_WAIT_S = 0.01
"""Reported while openings wait; 0 would mean that none may."""
FIRST_PLACEMENT_HOPS = 1
"""The hops of an opening that an owner places for the first time.

One that was returned, or that is placed on an outlier for want of a better server, has more.
"""
UNSERVABLE = "unservable"
NOT_ADMITTED = "not_admitted"
STOPPING = "stopping"


class LocalOwner(Protocol):
    """Notifications of a flow holder to the directory owner in the same process."""

    def on_rejected(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        """Process an opening that the agent at ``source`` has rejected."""

    def on_returned(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        """Process a later packet that the agent at ``source`` has returned."""

    def on_found(self, key: bytes, source: Address) -> None:
        """Record that the agent at ``source`` has the flow."""

    def on_not_found(self, key: bytes, source: Address) -> None:
        """Record that the agent at ``source`` does not have the flow."""

    def are_most_outliers(self) -> bool:
        """Return whether at least half of the service's known servers are outliers.

        The agent's own server counts as one, so this is true if no other server is known.
        """


class FlowHolder:
    """Delivers packets to the agent's backend server, and processes its packets and reports."""

    def __init__(
        self,
        context: RouterContext,
        gate: ServerGate,
        record_response: Callable[[float], None],
        options: RouterOptions,
    ) -> None:
        self.gate = gate
        self.queue = OpeningQueue(options.max_opening_wait_s)
        self._uses_aged_loads = options.placement == "aged_loads"
        route_times = RouteTimes(context.packet_format.endpoint_of)
        self.held = HeldFlows(record_response, route_times if self._uses_aged_loads else None)
        self._opened_flows = 0
        self._has_declined = False
        self.probes = FlowProbes()
        self.watch = ServerWatch(context, gate) if options.outlier_detection else None
        self.admission: QueueAdmission | None = None
        if options.queue_when_busy and options.max_opening_wait_s:
            self.admission = QueueAdmission(self.queue, gate, self.held, context.now)
        self.data_centres_by_agent: Mapping[Address, str] = {}
        self.priority_limit = PriorityLimit()
        self._cold_at = float("-inf")
        self._context = context
        self._options = options
        self._incomplete_until = context.now + INCOMPLETE_FLOW_TABLE_S
        self._owner: LocalOwner

    def connect_owner(self, owner: LocalOwner) -> None:
        """Set the directory owner of the same process."""
        self._owner = owner

    # Reports of the server

    def on_report(self, report: ServerReport, now: float) -> bool:
        """Process a status report of the backend server; return whether it was accepted."""
        known = self.gate.report
        if not self.gate.on_report(report, now):
            return False
        self.held.slots = report.slots
        is_restart = known is not None and known.started_at_ms != report.started_at_ms
        if self.watch is not None:
            self.watch.on_report(now, is_restart=is_restart)
        if is_restart:
            self._context.counters["server_incarnations"] += 1
            self.held.clear()
            self.held.service_s = 0.0
            if self.admission is not None:
                self.admission.on_server_restart(now)
        if known is None and report.sequence <= 1:
            # The server has just started too, so it has no flows that this agent does not know.
            self._incomplete_until = now
        return True

    def build_load(self, now: float) -> ServerLoad:
        """Return the load of the backend server to report to peers."""
        self._update_priority_limit(now)
        in_flight, held_flows = self._count_work(now)
        accepts, room_in_s, queued = self._find_room(now)
        return ServerLoad(
            self._context.own_tag,
            accepts,
            in_flight + queued,
            held_flows,
            self.held.slots,
            self.held.service_s * 1_000,
            self.gate.is_cold(now),
            self.gate.is_leaving,
            self.gate.is_awaiting_first_report(now),
            room_in_s * 1_000,
            is_outlier=self.watch is not None and self.watch.is_outlier,
            opened_flows=self._opened_flows,
            priority_limit=self.priority_limit.value,
        )

    def _count_work(self, now: float) -> tuple[int, int]:
        """Return the requests in flight and the held flows to report.

        With the rule for aged loads, the first requests of new flows count as in flight, and only
        the other flows that are open as held. Where each request opens a flow, closed flows that
        still linger would outweigh the requests.
        """
        if not self._uses_aged_loads:
            return self.held.in_flight, len(self.held.by_key)
        in_flight = self.held.count_expected_requests(now)
        return in_flight, max(0, self.held.open_count - in_flight)

    def _find_room(self, now: float) -> tuple[bool, float, int]:
        """Return whether openings are accepted, how long they wait else, and how many count."""
        accepts = self.gate.accepts(now)
        if self.admission is None:
            accepts = accepts and not self.queue
            return accepts, 0.0 if accepts else self._find_room_in_s(now), 0
        if not accepts and not self.gate.is_limited_by_cold_start(now):
            return False, 0.0, len(self.queue)
        has_room, wait_s = self.admission.forecast(now)
        room_in_s = 0.0 if wait_s is None else max(wait_s, MIN_QUEUE_WAIT_S)
        return accepts and has_room, room_in_s, len(self.queue)

    def _update_priority_limit(self, now: float) -> None:
        """Adjust the priority limit to the time that an opening has to wait now.

        A cold server has room within its cold time, so that openings wait for it meanwhile. They
        are still being delivered when it is warm.
        """
        if not self._options.priority_admission:
            return
        if self.gate.is_cold(now):
            self._cold_at = now
        is_recovering = now - self._cold_at <= self.queue.max_wait_s
        limit = self.priority_limit
        waiting = self.held.count_expected_requests(now) + len(self.queue)
        wait_s = expected_wait_s(waiting, self.held.slots, self.held.service_s)
        if limit.lift() if is_recovering else limit.on_wait(wait_s, now):
            self._context.counters["priority_limit_changes"] += 1
            wait_ms = round(wait_s * 1_000, 1)
            self._context.emit(events.PriorityLimitChanged(self.gate.service, limit.value, wait_ms))

    def _find_room_in_s(self, now: float) -> float:
        """Return the time until an opening queued now is delivered; 0 if none may be queued."""
        is_room_expected = self.gate.accepts(now) or self.gate.is_limited_by_cold_start(now)
        if not self.queue.max_wait_s or not is_room_expected:
            return 0.0
        position = len(self.queue)
        warm_in_s = self.gate.warm_in_s(now)
        warm_wait_s = estimate_warm_wait_s(position, self.held.service_s, self.held.slots)
        if not warm_in_s:
            return max(warm_wait_s, MIN_QUEUE_WAIT_S)
        cold_wait_s = self.gate.cold_room_in_s(position, now)
        return max(MIN_QUEUE_WAIT_S, min(cold_wait_s, warm_in_s + warm_wait_s))

    # Packets to the server

    def deliver_held(
        self, flow: HeldFlow, frame: RelayFrame, header: PacketHeader, source: Address
    ) -> None:
        """Deliver a packet of a flow that the server holds."""
        flow.owner = self._context.own_address if frame.kind is RelayKind.FORWARD else source
        if frame.kind is RelayKind.SEARCH:
            self._context.send(source, RelayKind.FOUND, frame, header.key)
        self.held.on_inbound(flow, header, self._context.now)
        if self.watch is not None:
            self.watch.on_inbound(header)
        if self.admission is not None:
            self.admission.observe(self._context.now)
        self._context.outbox.deliver(frame.body)

    def on_place(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        """Deliver or queue an opening that an owner has placed here, or return it to the owner."""
        if header.key in self.queue:
            self._context.counters["dropped_copy_of_queued_opening"] += 1
            return
        self._update_priority_limit(self._context.now)
        if self.withholds(header.key, is_first=frame.hops <= FIRST_PLACEMENT_HOPS):
            self._context.send(source, RelayKind.BUSY, frame, frame.body)
            return
        if self._declines(frame):
            self._context.counters["openings_declined"] += 1
            self._context.send(source, RelayKind.DECLINED, frame, frame.body)
            return
        if self.admission is not None:
            service = self._context.resolve_service(frame, header.key)
            answer = self.accept(frame, header.key, service, source, frame.wait_limit_s)
            if answer is not None:
                self._context.send(source, answer, frame, frame.body)
            return
        if frame.kind is RelayKind.QUEUE and self.queue_opening(
            frame, header.key, source, frame.wait_limit_s
        ):
            return
        service = self._context.resolve_service(frame, header.key)
        if not self.has_room(header.key):
            self._context.send(source, RelayKind.BUSY, frame, frame.body)
        elif service is not None and self.admit(service, header.key):
            self.open(frame.body, header.key, source)
        else:
            self._context.send(source, RelayKind.REJECTED, frame, frame.body)

    def _declines(self, frame: RelayFrame) -> bool:
        """Return whether an offered opening goes back to its owner, since all slots are taken.

        At most one opening does until an opening finds a free slot again. If the server stays full,
        so do the others in general, and an owner finds no better place.
        """
        if self.held.count_expected_requests(self._context.now) < self.held.slots:
            self._has_declined = False
            return False
        if frame.kind is not RelayKind.OFFER or self._has_declined:
            return False
        self._has_declined = self.gate.accepts(self._context.now)
        return self._has_declined

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
        assert self.admission is not None, "the caller checks the option"
        now = self._context.now
        may_wait_for_cold = wait_limit_s > 0 and self.gate.is_limited_by_cold_start(now)
        if service != self.gate.service or not (self.gate.accepts(now) or may_wait_for_cold):
            if service is not None:
                self.admit(service, key)
            return RelayKind.REJECTED
        opening = self._describe(frame, key, owner, wait_limit_s)
        if not self.queue and not may_wait_for_cold and self.admission.has_room(now):
            self.admission.record_demand(opening, now)
            self.admit(service, key)
            self.open(frame.body, key, owner)
            return None
        limit_s = wait_limit_s or short_wait_s(opening, self.queue.max_wait_s)
        wait_s = self.admission.find_wait_s(opening, limit_s, now)
        if wait_s is None:
            self._count_rejection(key, SERVER_BUSY)
            return RelayKind.REJECTED if wait_limit_s else RelayKind.BUSY
        self._add_to_queue(opening, wait_s)
        self.admission.record_demand(opening, now)
        return None

    def _describe(
        self, frame: RelayFrame, key: bytes, owner: Address, wait_limit_s: float
    ) -> QueuedOpening:
        assert self.admission is not None, "the caller checks the option"
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
        waited_s = max(0.0, self.queue.max_wait_s - wait_limit_s) if wait_limit_s else 0.0
        self.admission.set_times(opening, waited_s, self._context.now)
        return opening

    def _add_to_queue(self, opening: QueuedOpening, expected_s: float) -> None:
        self.queue.add(opening)
        self._context.counters["openings_queued"] += 1
        self._context.emit(
            events.OpeningQueued(
                flow_id(opening.key),
                len(self.queue),
                round(expected_s * 1_000, 1),
                self._context.routing.version,
            )
        )

    def queue_opening(
        self, frame: RelayFrame, key: bytes, owner: Address, wait_limit_s: float
    ) -> bool:
        """Queue an opening; return False if the server will not have room for it in time."""
        now = self._context.now
        room_in_s = self._find_room_in_s(now)
        if not room_in_s or room_in_s > wait_limit_s:
            return False
        endpoint = self._context.packet_format.endpoint_of(key)
        routing = self._context.routing
        late_from = now + routing.target_s(endpoint) - self.held.service_s
        opening = QueuedOpening(
            frame, key, owner, routing.priority(endpoint), late_from, now + wait_limit_s
        )
        self._add_to_queue(opening, room_in_s)
        return True

    def _return_unservable(self, admission: QueueAdmission) -> None:
        """Return the queued openings that will not be delivered before they expire."""
        for opening in admission.find_unservable(self._context.now):
            self.queue.remove(opening)
            self._return_opening(opening, UNSERVABLE)

    def _release_in_order(self, admission: QueueAdmission) -> None:
        """Deliver the queued openings for which the server has room now, in the serving order."""
        now = self._context.now
        while not self.gate.is_limited_by_cold_start(now):
            opening = admission.order.find_next(self.queue.openings, now)
            if opening is None or (self.gate.accepts(now) and not admission.has_room(now)):
                return
            self.queue.remove(opening)
            admission.order.record_delivery(opening, self.queue.openings)
            self._release(opening)

    def return_queue(self) -> None:
        """Return all queued openings to their owners, since this agent is about to stop."""
        if self.admission is None:
            return
        for opening in list(self.queue.openings):
            self.queue.remove(opening)
            self._return_opening(opening, STOPPING)

    def _release_queue(self) -> None:
        """Deliver the queued openings for which the server has room now."""
        now = self._context.now
        if self.admission is not None:
            self.admission.observe(now)
            self._return_unservable(self.admission)
            self._release_in_order(self.admission)
            return
        for expired in self.queue.pop_expired(now):
            self._context.counters["openings_expired"] += 1
            version = self._context.routing.version
            self._context.emit(events.OpeningExpired(flow_id(expired.key), version))
        while not self.gate.is_limited_by_cold_start(now):
            opening = self.queue.find_next(now)
            if opening is None:
                return
            if self.gate.accepts(now) and not self.has_room(opening.key, is_queued=True):
                return
            self.queue.remove(opening)
            self._release(opening)

    def _release(self, opening: QueuedOpening) -> None:
        """Deliver a queued opening, or return it if the server takes none of its route any more."""
        frame, key = opening.frame, opening.key
        service = self._context.resolve_service(frame, key)
        if service is not None and self.admit(service, key):
            self.open(frame.body, key, opening.owner)
            version = self._context.routing.version
            self._context.emit(events.OpeningReleased(flow_id(key), len(self.queue), version))
        elif self.admission is not None:
            self._return_opening(opening, NOT_ADMITTED)
        else:
            self._send_back(opening)

    def _return_opening(self, opening: QueuedOpening, reason: str) -> None:
        """Return an opening that was queued to its owner, which places it elsewhere."""
        self._context.counters[f"openings_returned_{reason}"] += 1
        version = self._context.routing.version
        event = events.OpeningReturned(flow_id(opening.key), reason, len(self.queue), version)
        self._context.emit(event)
        self._send_back(opening)

    def _send_back(self, opening: QueuedOpening) -> None:
        frame = opening.frame
        rejection = RelayFrame(
            RelayKind.REJECTED, frame.hops, frame.routing_version, frame.service_tag, frame.body
        )
        if opening.owner != self._context.own_address:
            self._context.send(opening.owner, RelayKind.REJECTED, rejection, frame.body)
            return
        header = self._context.packet_format.parse_inbound(frame.body)
        assert not isinstance(header, Malformed), "only parsed openings are queued"
        self._return_to_local_owner(rejection, header)

    def has_room(self, key: bytes, *, is_queued: bool = False) -> bool:
        """Return whether a request on a new flow would be answered within its route's target.

        If not, a rejection is counted, unless the opening is queued and goes on waiting.
        """
        has_capacity = has_room(
            self.held.count_expected_requests(self._context.now),
            self.held.slots,
            self.held.service_s,
            self._context.routing.target_s(self._context.packet_format.endpoint_of(key)),
        )
        if not has_capacity and not is_queued:
            self._count_rejection(key, SERVER_BUSY)
        return has_capacity

    def withholds(self, key: bytes, *, is_first: bool) -> bool:
        """Return whether an opening is kept from a failing server, and count its rejection.

        Only the first agent that gets an opening withholds it, and only if it knows better servers,
        so that no opening is refused because all servers of its service fail.
        """
        if self.watch is None or not is_first or not self.watch.detector.is_suspect:
            return False
        reason = self.watch.find_return_reason(key)
        if reason is None or self._owner.are_most_outliers():
            return False
        self._count_rejection(key, reason)
        return True

    def admit(self, service: str, key: bytes) -> bool:
        """Admit an opening of a service or count its rejection; return whether it is admitted."""
        reason = self.gate.admit(service, self._context.now)
        if reason is not None:
            self._count_rejection(key, reason.value)
        return reason is None

    def _count_rejection(self, key: bytes, reason: str) -> None:
        self._context.counters[f"rejected_{reason}"] += 1
        self._emit_rejection(key, reason)

    def _emit_rejection(self, key: bytes, reason: str) -> None:
        self._context.emit(
            events.OpeningRejected(
                flow_id(key), reason, self.gate.service, self._context.routing.version
            )
        )

    def open(self, packet: bytes, key: bytes, owner: Address) -> None:
        """Deliver an opening that was admitted."""
        self._context.counters["flows_opened"] += 1
        self._opened_flows += 1
        self.held.expect_request(self.held.open(key, owner, self._context.now), self._context.now)
        if self.watch is not None:
            self.watch.on_opened(key)
        self._context.outbox.deliver(packet)

    def answer_query(self, keys: list[bytes]) -> FlowQueryReply:
        """Return which of some flows the server has, and which it does not have."""
        held = [] if self.gate.has_stopped else [key for key in keys if key in self.held.by_key]
        denied = [] if self.has_incomplete_flow_table else [k for k in keys if k not in held]
        return FlowQueryReply(held, denied)

    @property
    def has_incomplete_flow_table(self) -> bool:
        """Return whether the server may have flows that this agent does not know.

        A server that has stopped has none, so the agent of a server that did not come back after a
        power failure denies flows at once, and no search has to wait for it.
        """
        return self._context.now < self._incomplete_until and not self.gate.has_stopped

    def on_unknown_flow(
        self,
        frame: RelayFrame,
        header: PacketHeader,
        source: Address,
        answer: RelayKind,
        body: bytes,
    ) -> None:
        """Answer that a flow is not here, or probe the server first if it may have the flow."""
        if not self.has_incomplete_flow_table or header.is_opening:
            self._context.send(source, answer, frame, body)
            return
        self.probe(header.key, frame.body, source)

    def probe(self, key: bytes, packet: bytes, requester: Address) -> None:
        """Deliver a packet to learn whether the server has a flow that this agent does not know."""
        self._context.counters["memory_probes"] += 1
        self.probes.add(key, requester, self._context.now)
        self._context.outbox.deliver(packet)

    # Packets from the server

    def on_server_packet(self, packet: bytes) -> None:
        """Forward a packet of the server to its caller, or process a packet that it returned."""
        self.gate.record_packet()
        header = self._context.packet_format.parse_outbound(packet)
        if isinstance(header, Malformed):
            self._context.counters[f"dropped_reply_{header.value}"] += 1
            return
        if self.watch is not None:
            self.watch.on_outbound(header)
        flow = self.held.by_key.get(header.key)
        if header.flags & packet_flags.BOUNCED:
            self._on_bounce(self._context.packet_format.restore_bounced(packet), header, flow)
            return
        if flow is None and header.flags & packet_flags.RESET:
            self._on_unknown_reset(packet, header)
            return
        if flow is None:
            flow = self._adopt(header.key)
        in_flight = self.held.in_flight
        self.held.on_outbound(flow, header, self._context.now)
        self._context.outbox.reply(packet, self._context.packet_format.caller_host(header.key))
        if self.admission is not None and self.held.in_flight < in_flight:
            self.admission.observe(self._context.now, answers=in_flight - self.held.in_flight)
            self._release_in_order(self.admission)

    def _on_unknown_reset(self, packet: bytes, header: PacketHeader) -> None:
        """Forward a reset to its caller, unless it answers a probe.

        The server resets a probe if it does not have the flow, which may be on another server.
        """
        requester = self.probes.remove(header.key)
        if requester is None:
            self._context.outbox.reply(packet, self._context.packet_format.caller_host(header.key))
            return
        self._context.counters["probes_reset"] += 1
        self._answer(requester, RelayKind.NOT_FOUND, header.key)

    def _adopt(self, key: bytes) -> HeldFlow:
        """Start to track an unknown flow on which the server has sent a packet."""
        self._context.counters["flows_adopted"] += 1
        self._context.emit(events.FlowAdopted(flow_id(key)))
        requester = self.probes.remove(key)
        flow = self.held.open(key, requester or self._context.own_address, self._context.now)
        if requester is not None:
            self._answer(requester, RelayKind.FOUND, key)
        return flow

    def _on_bounce(self, packet: bytes, header: PacketHeader, flow: HeldFlow | None) -> None:
        self._context.counters["bounces"] += 1
        requester = self.probes.remove(header.key)
        if requester is not None:
            self._answer(requester, RelayKind.NOT_FOUND, header.key)
            return
        if flow is None or (header.is_opening and flow.has_reply):
            return
        self.held.remove(flow)
        if header.is_opening:
            self._emit_rejection(header.key, "server_full")
        else:
            self._context.emit(events.FlowReturned(flow_id(header.key)))
        kind = RelayKind.REJECTED if header.is_opening else RelayKind.RETURNED
        frame = RelayFrame(kind, 0, 0, relay.NO_SERVICE, packet)
        if header.is_opening:
            frame.routing_version = self._context.routing.version
            frame.service_tag = self._context.own_tag
        if flow.owner != self._context.own_address:
            self._context.send(flow.owner, kind, frame, packet)
        else:
            self._return_to_local_owner(frame, header)

    def _return_to_local_owner(self, frame: RelayFrame, header: PacketHeader) -> None:
        if frame.kind is RelayKind.REJECTED:
            self._owner.on_rejected(frame, header, self._context.own_address)
        else:
            self._owner.on_returned(frame, header, self._context.own_address)

    def _answer(self, requester: Address, kind: RelayKind, key: bytes) -> None:
        if requester != self._context.own_address:
            self._context.outbox.relay(requester, kind, 0, 0, relay.NO_SERVICE, key)
        elif kind is RelayKind.FOUND:
            self._owner.on_found(key, requester)
        else:
            self._owner.on_not_found(key, requester)

    # Timers

    def tick(self) -> None:
        """Resolve probes that timed out, and remove flows that have ended."""
        now = self._context.now
        for key, requester in self.probes.pop_expired(now):
            self._on_expired_probe(key, requester)
        self.gate.update_inactivity(now)
        if self.watch is not None:
            self.watch.tick()
        self._release_queue()
        self._update_priority_limit(now)
        self.held.sweep(now)

    def _on_expired_probe(self, key: bytes, requester: Address) -> None:
        """Answer a probe whose packet the server has not returned.

        A server that has reported recently has the flow, or it would have returned the packet. A
        server that has stopped has no flows. Otherwise, the requester gets no answer.
        """
        if self.gate.has_recent_report(self._context.now):
            self.held.open(key, requester, self._context.now)
            self._answer(requester, RelayKind.FOUND, key)
        elif self.gate.has_stopped:
            self._answer(requester, RelayKind.NOT_FOUND, key)
