"""The part of an agent that exchanges packets with its backend server.

Only the server determines which flows it holds; directory owners merely cache their locations.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.flow_probe import FlowProbe
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
    from wagtailkeel_protocol.messages import FlowQuery
    from wagtailkeel_protocol.packet_format import PacketHeader

Address = tuple[str, int]

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
        self._incomplete_since: float | None = context.now

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
        return outcome

    def on_closed_port(self) -> None:
        """Process that no server process listens at the moment.

        If none has been heard of since the start of this agent, all flows are opened through it.
        """
        if not self.gate.is_heard:
            self._on_server_ended()

    def on_absent_server(self) -> None:
        """Process that no server process runs."""
        self.gate.record_absence()
        if self.gate.has_ended:
            self._on_server_ended()

    def _on_server_ended(self) -> None:
        self.held.on_server_ended()
        self._incomplete_since = None

    @property
    def _has_incomplete_table(self) -> bool:
        """Return whether the server may have flows from before the start of this agent.

        The agent does not know them until the server sends a packet of them.
        """
        since = self._incomplete_since
        return since is not None and self._context.now - since < self.held.forgotten.retention_s

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
            self.held.remove(flow, self._context.now)
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

    def answer_query(self, query: FlowQuery) -> FlowQueryReply:
        """Return which of some flows the server has, and which it does not have."""
        held = [key for key in query.keys if self._is_open(key)]
        denied = [key for key in query.keys if key not in held and not self.may_have(key)]
        self._count_denials(len(denied))
        return FlowQueryReply(held, denied, query.number)

    def _count_denials(self, count: int) -> None:
        """Count flows that this agent denies without asking its server."""
        ground = "server_ended" if self.gate.has_ended else "not_opened_here"
        self._context.counters[f"flows_denied_{ground}"] += count

    def _is_open(self, key: bytes) -> bool:
        flow = self.held.by_key.get(key)
        return flow is not None and not flow.closed_at and not self.gate.has_ended

    def may_have(self, key: bytes) -> bool:
        """Return whether the server may have a flow that this agent does not track.

        A server that has ended has none, so the agent of a server that did not come back after a
        power failure denies flows at once, and no search has to wait for it. Otherwise, it has only
        flows that were opened through this agent, unless the agent has restarted.
        """
        if self.gate.has_ended:
            return False
        now = self._context.now
        return (
            self._has_incomplete_table
            or key in self.held.by_key
            or self.held.forgotten.may_include(key, now)
        )

    def on_unknown_flow(
        self,
        frame: RelayFrame,
        header: PacketHeader,
        source: Address,
        answer: RelayKind,
        body: bytes,
    ) -> None:
        """Answer that a flow is not here, or probe the server first if it may have the flow."""
        if header.is_opening or not self.may_have(header.key):
            self._count_denials(1)
            self._context.send(source, answer, frame, body)
            return
        self.probe(header, frame.body, source, is_delivery=answer is RelayKind.RETURNED)

    def probe(
        self, header: PacketHeader, packet: bytes, requester: Address, *, is_delivery: bool = False
    ) -> None:
        """Deliver a packet to learn whether the server has a flow that this agent does not know."""
        self._context.counters["memory_probes"] += 1
        is_close = bool(header.flags & packet_flags.FIN) and not header.payload_bytes
        probe = FlowProbe(requester, self._context.now, is_delivery, is_close)
        self.probes.add(header.key, probe)
        self._context.outbox.deliver(packet)

    # Packets from the server

    def on_server_packet(self, packet: bytes) -> None:
        """Forward a packet of the server to its caller, or process a packet that it returned."""
        self.gate.record_activity()
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
        if header.flags & packet_flags.RESET and not _has_answered(flow):
            self._on_unknown_reset(header, flow)
            return
        if flow is None and self._is_ambiguous(header):
            self.probes.remove(header.key)
            self._context.outbox.reply(packet, self._context.packet_format.caller_host(header.key))
            return
        if flow is None:
            flow = self._adopt(header.key)
        in_flight = self.held.in_flight
        self.held.on_outbound(flow, header, self._context.now)
        self._context.outbox.reply(packet, self._context.packet_format.caller_host(header.key))
        if self.held.in_flight < in_flight:
            self.waiting.on_answers(in_flight - self.held.in_flight)

    def _on_unknown_reset(self, header: PacketHeader, flow: HeldFlow | None) -> None:
        """Process a reset of a flow that the server is not known to hold; its caller gets none.

        The server answers so if it does not have the flow, which may be on another server.
        """
        probe = self.probes.remove(header.key)
        if flow is not None:
            self.held.remove(flow, self._context.now)
            self._owners.answer(flow.owner, RelayKind.NOT_FOUND, header.key)
        elif probe is not None:
            self._context.counters["flows_denied_by_server"] += 1
            self._owners.answer(probe.requester, RelayKind.NOT_FOUND, header.key)
        else:
            self._context.counters["dropped_reset_of_unknown_flow"] += 1

    def _is_ambiguous(self, header: PacketHeader) -> bool:
        """Return whether a packet of the server may be about a flow that has ended there.

        The server acknowledges the close of such a flow as it does that of an open one.
        """
        is_bare = not header.payload_bytes and not header.flags & (
            packet_flags.FIN | packet_flags.OPENING
        )
        return is_bare and self.probes.is_close(header.key)

    def _adopt(self, key: bytes) -> HeldFlow:
        """Start to track an unknown flow on which the server has sent a packet."""
        self._context.counters["flows_adopted"] += 1
        self._context.emit(events.FlowAdopted(flow_id(key)))
        probe = self.probes.remove(key)
        owner = probe.requester if probe is not None else self._context.own_address
        flow = self.held.open(key, owner, self._context.now)
        if probe is not None:
            self._owners.answer(owner, RelayKind.FOUND, key)
        return flow

    def _on_bounce(self, packet: bytes, header: PacketHeader, flow: HeldFlow | None) -> None:
        self._context.counters["bounces"] += 1
        probe = self.probes.remove(header.key)
        if probe is not None:
            self._answer_returned_probe(probe, packet, header)
            return
        if flow is None or (header.is_opening and flow.has_reply):
            return
        self.held.remove(flow, self._context.now)
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

    def _answer_returned_probe(self, probe: FlowProbe, packet: bytes, header: PacketHeader) -> None:
        """Answer that the server does not have a flow, with the packet if its sender needs it."""
        self._context.counters["flows_denied_by_server"] += 1
        if probe.is_delivery:
            frame = RelayFrame(RelayKind.RETURNED, 0, 0, relay.NO_SERVICE, packet)
            self._owners.return_packet(probe.requester, frame, header)
        else:
            self._owners.answer(probe.requester, RelayKind.NOT_FOUND, header.key)

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
        server that has ended has no flows. Otherwise, the requester gets no answer.
        """
        if self.gate.has_recent_report(self._context.now):
            if key not in self.held.by_key:
                self.held.open(key, requester, self._context.now).is_presumed = True
            self._owners.answer(requester, RelayKind.FOUND, key)
        elif self.gate.has_ended:
            self._owners.answer(requester, RelayKind.NOT_FOUND, key)


def _has_answered(flow: HeldFlow | None) -> bool:
    """Return whether a reset of the server is an answer on its own flow.

    It may refuse an opening, or abort a flow of which it has got more than the opening without
    returning it. Otherwise, the caller may have the flow with another server.
    """
    if flow is None or flow.is_presumed or flow.closed_at:
        return False
    return flow.is_established or flow.is_used or not flow.has_reply
