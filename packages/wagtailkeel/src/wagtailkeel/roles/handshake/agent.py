"""The agent role: the process that runs beside one backend server."""

from __future__ import annotations

from functools import singledispatchmethod
from random import Random
from typing import TYPE_CHECKING

import anyio

from wagtailkeel.roles.address_book import AddressBook
from wagtailkeel.roles.configuration_store import ConfigurationStore
from wagtailkeel.roles.datagram_caller import DatagramCaller
from wagtailkeel.roles.handshake.control_messages import ControlMessages
from wagtailkeel.roles.handshake.relay_outbox import UdpRelayOutbox
from wagtailkeel.roles.handshake.server_check import PortState
from wagtailkeel.roles.handshake.server_check import ServerCheck
from wagtailkeel.roles.handshake.server_check import check_port
from wagtailkeel.roles.handshake.server_recorder import ServerRecorder
from wagtailkeel.roles.metrics import Metrics
from wagtailkeel.roles.node_link import NodeLink
from wagtailkeel.roles.process_dump import build_dump
from wagtailkeel_coordination import events
from wagtailkeel_coordination.handshake import AgentRouter
from wagtailkeel_coordination.handshake import ColdLimit
from wagtailkeel_coordination.handshake import FormerMembers
from wagtailkeel_coordination.handshake import Member
from wagtailkeel_coordination.handshake import ReportOutcome
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_coordination.handshake.route_explanation import AddressError
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import AnnounceRequest
from wagtailkeel_protocol.messages import Datagram
from wagtailkeel_protocol.messages import DumpReply
from wagtailkeel_protocol.messages import DumpRequest
from wagtailkeel_protocol.messages import FlowLocations
from wagtailkeel_protocol.messages import FlowQuery
from wagtailkeel_protocol.messages import FlowQueryReply
from wagtailkeel_protocol.messages import LoadRequest
from wagtailkeel_protocol.messages import LocationRequest
from wagtailkeel_protocol.messages import SearchReply
from wagtailkeel_protocol.messages import SearchRequest
from wagtailkeel_protocol.messages import ServerLoad
from wagtailkeel_protocol.where_messages import WhereReply
from wagtailkeel_state.server_member import ServerMember
from wagtailkeel_transport import UdpEndpoint
from wagtailkeel_transport import clock
from wagtailkeel_transport.deferred_rpc_server import DeferredRpcServer
from wagtailkeel_transport.methods import DUMP
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.methods import WHERE

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskStatus

    from wagtailkeel.settings import HandshakeAgentSettings
    from wagtailkeel.settings import Settings
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_coordination.handshake import ServerReport
    from wagtailkeel_protocol.packet_format import PacketFormat
    from wagtailkeel_protocol.where_messages import WhereRequest
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_state.server_member import ServerIncarnation
    from wagtailkeel_transport.rpc_method import RpcHandlers

Address = tuple[str, int]

TICK_INTERVAL_S = 0.05
LOAD_INTERVAL_S = 0.5
LEAVE_TIMEOUT_S = 3.0
"""Covers an election of control."""
LEAVING_NOTICE_COUNT = 3
LEAVING_NOTICE_INTERVAL_S = 0.05


class HandshakeAgent:
    """Owns the sockets and the router of the agent of one backend server.

    The agent joins once its server has reported: an agent whose server has stopped for good would
    delay searches for flows until control removes it.
    """

    def __init__(
        self,
        settings: Settings,
        section: HandshakeAgentSettings,
        packet_format: PacketFormat,
        event_sink: EventSink,
        read_seeds: Callable[[], list[str]] | None,
    ) -> None:
        self.metrics = Metrics()
        self.store = ConfigurationStore()
        self._instance = settings.instance
        self._section = section
        self._agent_id = f"{section.service}@{settings.instance.id}"
        host = settings.instance.listen_host
        self._endpoint = UdpEndpoint(host, section.port)
        self._server_endpoint = UdpEndpoint(host, section.server_side_port)
        self._members: dict[Address, Member] = {}
        self._former_members = FormerMembers()
        self._emit = event_sink.emit
        self._reported_state: tuple[bool, bool] | None = None
        self._has_report = anyio.Event()
        self.router = AgentRouter(
            (settings.instance.host, section.port),
            settings.instance.data_centre,
            packet_format,
            ServerGate(
                section.service,
                section.report_limit_s,
                ColdLimit(section.cold_factor, section.cold_slack),
                clock.seconds(),
            ),
            UdpRelayOutbox(section, self._endpoint, self._server_endpoint),
            Random(),
            self.metrics.counters,
            event_sink,
            self.metrics.record_response,
            self._are_members_confirmed,
            clock.seconds(),
            options=RouterOptions(
                max_opening_wait_s=section.max_opening_wait_s,
                queue_when_busy=section.queue_when_busy,
                priority_admission=section.priority_admission,
                placement=section.placement,
                outlier_detection=section.outlier_detection,
            ),
        )
        self.router.gate.begin_recovery(clock.seconds())
        self.store.subscribe(self._on_configuration)
        address_book = AddressBook.from_settings(settings, self.store, read_seeds)
        self._caller = DatagramCaller(address_book, self._endpoint.send, host)
        self._link = NodeLink(
            self._agent_id,
            address_book,
            self.store,
            self._endpoint,
            self._caller,
            self._build_announcement,
            self.metrics,
            event_sink=event_sink,
            may_join=self._has_report,
        )
        self._recorder = ServerRecorder(self.router.gate, self._link.record_server)
        self._control_messages = ControlMessages(self._link, self._caller, self.metrics.counters)

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        packet_format: PacketFormat,
        event_sink: EventSink,
        read_seeds: Callable[[], list[str]] | None = None,
    ) -> HandshakeAgent:
        """Build the role and bind its sockets."""
        assert settings.handshake_agent is not None, "the caller checks for the section"
        return cls(settings, settings.handshake_agent, packet_format, event_sink, read_seeds)

    @property
    def is_ready(self) -> bool:
        """Return whether the agent has joined the cluster and is not leaving."""
        return self._link.is_joined.is_set() and not self.router.gate.is_leaving

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled."""
        handlers: RpcHandlers = {
            DUMP: self._dump,
            PULL: self.store.handle_pull,
            WHERE: self._explain_opening,
        }
        server = DeferredRpcServer(handlers, self._instance.listen_host, self._section.rpc_port)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._endpoint.receive_from, self._on_datagram)
                tasks.start_soon(self._server_endpoint.receive, self._on_server_packet)
                tasks.start_soon(self._link.run)
                tasks.start_soon(self._confirm_once_joined)
                tasks.start_soon(self._recorder.run)
                if self._section.server_accepts_tcp:
                    tasks.start_soon(self._build_server_check().run)
                tasks.start_soon(server.serve)
                tasks.start_soon(self._tick_forever)
                tasks.start_soon(self._report_forever)
                task_status.started()
        finally:
            self._endpoint.close()
            self._server_endpoint.close()
            self._caller.close()
            with anyio.CancelScope(shield=True):
                await server.close()

    async def stop(self) -> None:
        """Notify the balancers that this agent owns no directory entries from now on.

        If its server has left, the agent leaves the cluster first.
        """
        self.router.gate.is_leaving = True
        self.router.return_queue(clock.seconds())
        if await self._has_server_ended():
            with anyio.move_on_after(LEAVE_TIMEOUT_S):
                await self._link.leave()
        self.router.send_copies(clock.seconds())
        for _ in range(LEAVING_NOTICE_COUNT):
            self._report_to_balancers()
            await anyio.sleep(LEAVING_NOTICE_INTERVAL_S)

    async def _has_server_ended(self) -> bool:
        """Return whether the server has left, or no process listens at its port."""
        report = self.router.gate.report
        if self.router.gate.has_ended or (report is not None and report.has_left):
            return True
        if not self._section.server_accepts_tcp:
            return False
        address = (self._section.server_host, self._section.server_port)
        return await check_port(address) is PortState.CLOSED

    def _build_server_check(self) -> ServerCheck:
        gate = self.router.gate
        return ServerCheck(
            (self._section.server_host, self._section.server_port),
            lambda: gate.is_inactive and not gate.has_ended,
            gate.record_activity,
            lambda: self.router.on_closed_port(clock.seconds()),
            self._on_absent_server,
        )

    async def _confirm_once_joined(self) -> None:
        """Admit openings once the agent has joined.

        All that was acknowledged before, such as a drain or a data centre that is out of service,
        precedes the join in the log of control.
        """
        await self._link.is_joined.wait()
        record = self.store.configuration.server_records_by_agent_id.get(self._agent_id)
        self._recorder.restore(record, clock.seconds())

    async def may_acknowledge_drain(self, report: ServerReport) -> bool:
        """Return whether control has recorded that the server drains; wait a little for it."""
        if await self._recorder.wait_until_recorded():
            return True
        self.metrics.counters["drains_unrecorded"] += 1
        self._emit(events.DrainUnrecorded(report.server_id, report.sequence, report.started_at_ms))
        return False

    def on_leave(self, incarnation: ServerIncarnation) -> None:
        """Process the notice of an incarnation of the server that it ends."""
        outcome = self.router.gate.on_leave(incarnation, clock.seconds())
        if outcome is not ReportOutcome.APPLIED:
            self._emit(events.LeaveNoticeDropped(incarnation.server_id, incarnation.started_at_ms))
        self._recorder.update()

    def on_report(self, report: ServerReport) -> ReportOutcome:
        """Process a status report of the server."""
        now = clock.seconds()
        outcome = self.router.on_report(report, now)
        self._recorder.update()
        if outcome is not ReportOutcome.APPLIED:
            self._emit_dropped_report(report, outcome)
            return outcome
        self._has_report.set()
        accepts = self.router.gate.accepts(now)
        state = (accepts, report.is_draining)
        if self._reported_state != state:
            self._reported_state = state
            self._emit(
                events.ServerChanged(
                    report.server_id,
                    report.sequence,
                    report.started_at_ms,
                    accepts,
                    report.is_draining,
                    report.cold_for_s,
                )
            )
        return outcome

    def _emit_dropped_report(self, report: ServerReport, outcome: ReportOutcome) -> None:
        known = self.router.gate.report
        if known is None:
            return
        self._emit(
            events.ReportDropped(
                report.server_id,
                report.sequence,
                report.started_at_ms,
                report.is_draining,
                known.server_id,
                known.sequence,
                known.started_at_ms,
                outcome.value,
            )
        )

    def _on_absent_server(self) -> None:
        self._emit(events.ServerAbsent())
        self.router.on_absent_server(clock.seconds())

    def _build_announcement(self, boot_id: int) -> AnnounceRequest:
        return AnnounceRequest(
            server=ServerMember(
                self._agent_id,
                self._section.service,
                self._instance.data_centre,
                self._instance.host,
                self._section.port,
                self._section.rpc_port,
                boot_id,
                self.router.held.slots,
            )
        )

    # Configuration

    def _on_configuration(self, config: Configuration) -> None:
        now = clock.seconds()
        if config.routing.version > self.router.routing.version:
            self._emit(events.RoutingAdopted(config.routing.version, config.index))
        self.router.apply_routing(config.routing)
        self._apply_data_centre_state(config, now)
        self._former_members.update(config, now)
        self._members = {
            (m.host, m.port): Member(m.service, m.data_centre)
            for m in config.servers_by_id.values()
        }
        self._set_peers()

    def _set_peers(self) -> None:
        """Set the agents that may hold flows."""
        self.router.set_peers(self._members, self._former_members.addresses)

    def _are_members_confirmed(self, since: float) -> bool:
        return self._link.is_version_confirmed(since)

    def _apply_data_centre_state(self, config: Configuration, now: float) -> None:
        name = self._instance.data_centre
        is_in_service = config.is_in_service(name)
        if is_in_service != self.router.gate.is_in_service:
            self._emit(events.DataCentreChanged(name, is_in_service, config.index))
            self.router.gate.set_in_service(is_in_service, now)

    # Packets and messages

    def _on_datagram(self, datagram: bytes, source: Address) -> None:
        if not relay.is_relay(datagram):
            self._on_control_datagram(datagram, source)
            return
        frame = relay.decode_relay(datagram)
        if isinstance(frame, Malformed):
            self.metrics.counters[f"dropped_{frame.value}"] += 1
            return
        self.router.on_frame(frame, source, clock.seconds())

    def _on_control_datagram(self, datagram: bytes, source: Address) -> None:
        message = decode_datagram(datagram)
        if isinstance(message, Malformed):
            self.metrics.counters[f"dropped_{message.value}"] += 1
            return
        self._on_message(message, source)

    @singledispatchmethod
    def _on_message(self, message: Datagram, source: Address) -> None:
        self._control_messages.on_message(message)

    @_on_message.register
    def _(self, message: LoadRequest, source: Address) -> None:
        self.metrics.counters["loads_requested"] += 1
        self._reply_with_load(source)

    @_on_message.register
    def _(self, message: LocationRequest, source: Address) -> None:
        self.router.on_location_request(message, source, clock.seconds())

    @_on_message.register
    def _(self, message: FlowLocations, source: Address) -> None:
        self.router.on_locations(message, clock.seconds())

    @_on_message.register
    def _(self, message: FlowQuery, source: Address) -> None:
        self.router.on_flow_query(message, source, clock.seconds())

    @_on_message.register
    def _(self, message: FlowQueryReply, source: Address) -> None:
        self.router.on_flow_query_reply(message, source, clock.seconds())

    @_on_message.register
    def _(self, message: SearchRequest, source: Address) -> None:
        self.router.on_search_request(message, source, clock.seconds())

    @_on_message.register
    def _(self, message: SearchReply, source: Address) -> None:
        self.router.on_search_reply(message, clock.seconds())

    @_on_message.register
    def _(self, message: ServerLoad, source: Address) -> None:
        self.router.on_load(message, source, clock.seconds())
        if not message.is_reply:
            # An agent of the release before places openings by the reports of its peers.
            self._reply_with_load(source)

    def _on_server_packet(self, packet: bytes) -> None:
        self.router.on_server_packet(packet, clock.seconds())

    # Timers

    async def _tick_forever(self) -> None:
        while True:
            self.router.tick(clock.seconds())
            await anyio.sleep(TICK_INTERVAL_S)

    async def _report_forever(self) -> None:
        while True:
            self._report_to_balancers()
            if self._former_members.expire(clock.seconds(), self.router.flow_retention_s):
                self._set_peers()
            await anyio.sleep(LOAD_INTERVAL_S)

    def _report_to_balancers(self) -> None:
        """Report this agent's load to the balancers of its data centre, to which it is alive."""
        datagram = encode_datagram(self.router.build_load(clock.seconds()))
        for balancer in self.store.configuration.balancers_by_id.values():
            if balancer.data_centre == self._instance.data_centre:
                self.metrics.counters["load_reports_sent"] += 1
                self._endpoint.send(datagram, (balancer.host, balancer.port))

    def _reply_with_load(self, address: Address) -> None:
        load = self.router.build_load(clock.seconds())
        load.is_reply = True
        self._endpoint.send(encode_datagram(load), address)

    async def _explain_opening(self, request: WhereRequest) -> WhereReply:
        try:
            return self.router.explain_opening(request.caller, request.route, clock.seconds())
        except AddressError as error:
            return WhereReply(error=str(error))

    async def _dump(self, request: DumpRequest) -> DumpReply:
        router = self.router
        watch = router.holder.watch
        now = clock.seconds()
        return build_dump(
            {
                "role": "agent",
                "instance": self._agent_id,
                "service": self._section.service,
                "data_centre": self._instance.data_centre,
                "boot_id": self._link.boot_id,
                "version": self.store.version,
                "routing_version": router.routing.version,
                "control_silent_s": now - self._link.acknowledged_at,
                "accepts": router.gate.accepts(now),
                "held_flows": len(router.held.by_key),
                "queued_openings": len(router.holder.queue),
                "priority_limit": router.holder.load_reporter.priority_limit.value,
                "pointers": len(router.pointers.by_key),
                "searches": len(router.searches.by_key),
                "in_flight": router.held.in_flight,
                "service_ms": router.held.service_s * 1_000,
                "outlier_state": watch.detector.state.value if watch is not None else None,
                "outlier_score": watch.detector.score if watch is not None else None,
                "send_failures": self._endpoint.send_failures,
                "metrics": self.metrics.dump(),
            }
        )
