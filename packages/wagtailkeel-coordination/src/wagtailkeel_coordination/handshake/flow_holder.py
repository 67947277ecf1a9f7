"""The part of an agent that exchanges packets with its backend server.

Only the server determines which flows it holds; directory owners merely cache their locations.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.flow_probe import FlowProbes
from wagtailkeel_coordination.handshake.load_reporter import LoadReporter
from wagtailkeel_coordination.handshake.owner_link import OwnerLink
from wagtailkeel_coordination.handshake.repeated_opening import RepeatedOpening
from wagtailkeel_coordination.handshake.server_openings import ServerOpenings
from wagtailkeel_coordination.handshake.server_report import ReportOutcome
from wagtailkeel_coordination.handshake.server_state import ServerState
from wagtailkeel_coordination.handshake.waiting_openings import WaitingOpenings
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import FlowQueryReply
from wagtailkeel_protocol.relay import RelayFrame
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_coordination.handshake.held_flows import HeldFlow
    from wagtailkeel_coordination.handshake.owner_link import LocalOwner
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.router_options import RouterOptions
    from wagtailkeel_coordination.handshake.server_gate import ServerGate
    from wagtailkeel_coordination.handshake.server_report import ServerReport
    from wagtailkeel_protocol.packet_format import PacketHeader

Address = tuple[str, int]

INCOMPLETE_FLOW_TABLE_S = 60.0
"""A restarted agent may not know some flows of its server for as long as a flow may last."""
FIRST_PLACEMENT_HOPS = 1
"""The hops of an opening that an owner places for the first time.

One that was returned, or that is placed on an outlier for want of a better server, has more.
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
        self.server = ServerState(context, gate, record_response, options)
        self.gate = gate
        self.queue = self.server.queue
        self.held = self.server.held
        self.watch = self.server.watch
        self.admission = self.server.admission
        self.probes = FlowProbes()
        self._owners = OwnerLink(context)
        self.openings = ServerOpenings(context, self.server, self._owners)
        self.waiting = WaitingOpenings(context, self.server, self.openings, self._owners)
        self.load_reporter = LoadReporter(
            context, self.server, self.openings, self.waiting, options
        )
        self._context = context
        self._incomplete_until = context.now + INCOMPLETE_FLOW_TABLE_S

    def connect_owner(self, owner: LocalOwner) -> None:
        """Set the directory owner of the same process."""
        self._owners.connect(owner)

    def on_report(self, report: ServerReport, now: float) -> ReportOutcome:
        """Process a status report of the backend server."""
        known = self.gate.report
        outcome = self.gate.on_report(report, now)
        if outcome is not ReportOutcome.APPLIED:
            return outcome
        is_restart = known is not None and known.incarnation != report.incarnation
        self.server.apply_report(report, now, is_restart=is_restart)
        if is_restart:
            self._context.counters["server_incarnations"] += 1
        if known is None and report.sequence <= 1:
            # The server has just started too, so it has no flows that this agent does not know.
            self._incomplete_until = now
        return outcome

    # Packets to the server

    def on_repeated_opening(self, header: PacketHeader) -> RepeatedOpening | None:
        """Classify an opening whose key is that of a held flow; return None if no flow has it.

        The held flow is forgotten if the opening requests a new one.
        """
        flow = self.held.by_key.get(header.key)
        if flow is None:
            return None
        repeated = RepeatedOpening.classify(flow, header, self._context.now)
        if self.gate.may_have_restarted and repeated is RepeatedOpening.RETRANSMISSION:
            # The first transmission was admitted to an incarnation that may have ended.
            repeated = RepeatedOpening.OUTDATED
        self._emit_repeated_opening(flow, repeated)
        if repeated is RepeatedOpening.OUTDATED:
            self._context.counters["dropped_outdated_opening"] += 1
        elif repeated is RepeatedOpening.NEW:
            self.held.remove(flow)
        return repeated

    def _emit_repeated_opening(self, flow: HeldFlow, repeated: RepeatedOpening) -> None:
        gate_reason = self.gate.find_rejection_reason(self._context.now)
        self._context.counters["openings_repeated"] += 1
        self._context.emit(
            events.OpeningRepeated(
                flow_id(flow.key),
                repeated.value,
                round((self._context.now - flow.opened_at) * 1_000),
                flow.is_established,
                flow.finished_ends,
                gate_reason.value if gate_reason is not None else "",
                self._context.routing.version,
            )
        )

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
        self.load_reporter.update_priority_limit(self._context.now)
        answer = self._take(frame, header.key, source)
        if answer is not None:
            self._context.send(source, answer, frame, frame.body)

    def _take(self, frame: RelayFrame, key: bytes, owner: Address) -> RelayKind | None:
        """Deliver or queue an opening; return how it is to be returned if it is not accepted."""
        if self.openings.withholds(key, is_first=frame.hops <= FIRST_PLACEMENT_HOPS):
            return RelayKind.BUSY
        if self.openings.declines(frame):
            self._context.counters["openings_declined"] += 1
            return RelayKind.DECLINED
        if self.admission is not None:
            service = self._context.resolve_service(frame, key)
            return self.waiting.accept(frame, key, service, owner, frame.wait_limit_s)
        may_queue = frame.kind is RelayKind.QUEUE
        if may_queue and self.waiting.queue_opening(frame, key, owner, frame.wait_limit_s):
            return None
        service = self._context.resolve_service(frame, key)
        if not self.openings.has_room(key):
            return RelayKind.BUSY
        if service is None or not self.openings.admit(service, key):
            return RelayKind.REJECTED
        self.openings.open(frame.body, key, owner)
        return None

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
        if self.held.in_flight < in_flight:
            self.waiting.on_answers(in_flight - self.held.in_flight)

    def _on_unknown_reset(self, packet: bytes, header: PacketHeader) -> None:
        """Forward a reset to its caller, unless it answers a probe.

        The server resets a probe if it does not have the flow, which may be on another server.
        """
        requester = self.probes.remove(header.key)
        if requester is None:
            self._context.outbox.reply(packet, self._context.packet_format.caller_host(header.key))
            return
        self._context.counters["probes_reset"] += 1
        self._owners.answer(requester, RelayKind.NOT_FOUND, header.key)

    def _adopt(self, key: bytes) -> HeldFlow:
        """Start to track an unknown flow on which the server has sent a packet."""
        self._context.counters["flows_adopted"] += 1
        self._context.emit(events.FlowAdopted(flow_id(key)))
        requester = self.probes.remove(key)
        flow = self.held.open(key, requester or self._context.own_address, self._context.now)
        if requester is not None:
            self._owners.answer(requester, RelayKind.FOUND, key)
        return flow

    def _on_bounce(self, packet: bytes, header: PacketHeader, flow: HeldFlow | None) -> None:
        self._context.counters["bounces"] += 1
        requester = self.probes.remove(header.key)
        if requester is not None:
            self._owners.answer(requester, RelayKind.NOT_FOUND, header.key)
            return
        if flow is None or (header.is_opening and flow.has_reply):
            return
        self.held.remove(flow)
        if header.is_opening:
            self.openings.emit_rejection(header.key, "server_full")
        else:
            self._context.emit(events.FlowReturned(flow_id(header.key)))
        kind = RelayKind.REJECTED if header.is_opening else RelayKind.RETURNED
        frame = RelayFrame(kind, 0, 0, relay.NO_SERVICE, packet)
        if header.is_opening:
            frame.routing_version = self._context.routing.version
            frame.service_tag = self._context.own_tag
        self._owners.return_packet(flow.owner, frame, header)

    # Timers

    def tick(self) -> None:
        """Resolve probes that timed out, and remove flows that have ended."""
        now = self._context.now
        for key, requester in self.probes.pop_expired(now):
            self._on_expired_probe(key, requester)
        self.gate.update_inactivity(now)
        if self.watch is not None:
            self.watch.tick()
        self.waiting.tick()
        self.load_reporter.update_priority_limit(now)
        self.held.sweep(now)

    def _on_expired_probe(self, key: bytes, requester: Address) -> None:
        """Answer a probe whose packet the server has not returned.

        A server that has reported recently has the flow, or it would have returned the packet. A
        server that has stopped has no flows. Otherwise, the requester gets no answer.
        """
        if self.gate.has_recent_report(self._context.now):
            self.held.open(key, requester, self._context.now)
            self._owners.answer(requester, RelayKind.FOUND, key)
        elif self.gate.has_stopped:
            self._owners.answer(requester, RelayKind.NOT_FOUND, key)
