"""The agent of the simulation: its processes, and what control has recorded and told it."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from wagtailkeel_coordination.events import UNLOGGED
from wagtailkeel_coordination.handshake import AgentRouter
from wagtailkeel_coordination.handshake import ColdLimit
from wagtailkeel_coordination.handshake import RecordedServer
from wagtailkeel_coordination.handshake import ReportOutcome
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.packet_format import IpPacketFormat
from wagtailkeel_protocol.relay import RelayFrame
from wagtailkeel_protocol.relay import RelayKind
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import LogEntry
from wagtailkeel_state.commands import RecordServer
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine import apply_entry
from wagtailkeel_state.routing import Route
from wagtailkeel_state.routing import RoutingDocument
from wagtailkeel_state.routing import ServicePolicy
from wagtailkeel_state.routing import WeightedService
from wagtailkeel_state.server_member import ServerMember

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_bench.event_scheduler import Action
    from wagtailkeel_bench.event_scheduler import EventScheduler
    from wagtailkeel_coordination.handshake import ServerReport
    from wagtailkeel_protocol.messages import AnyDatagram
    from wagtailkeel_protocol.packet_format import PacketFormat
    from wagtailkeel_state.commands import AnyCommand
    from wagtailkeel_state.commands import CommandAnswer
    from wagtailkeel_state.server_member import ServerRecord

Address = tuple[str, int]

SERVICE = "service"
DATA_CENTRE = "east"
ROUTE_ADDRESS = "198.18.0.1"
ROUTE_PORT = 443
AGENT_ID = "agent"
AGENT_ADDRESS = ("10.0.0.1", 7_001)
OWNER_ADDRESS = ("10.0.0.2", 7_001)
REPORT_TIMEOUT_S = 1.925
START_S = 0.3
CALL_S = 0.02
"""A call of control, with the commit of what it asks for."""
CALL_RETRY_S = 0.3
LOST_CALL_SHARE = 0.2
TICK_INTERVAL_S = 0.05
COLD_SLACK = 5.0
IP_PACKET_FORMAT = IpPacketFormat()
OPTIONS = RouterOptions(max_opening_wait_s=1.3, queue_when_busy=True, placement="aged_loads")


class SimulatedControl:
    """What the instances of control have committed; the agent may not reach them."""

    def __init__(self) -> None:
        self.is_reachable = True
        self.configuration = Configuration()
        self.propose(DefineDataCentre(name=DATA_CENTRE, region=DATA_CENTRE))

    def propose(self, command: AnyCommand) -> CommandAnswer:
        """Commit a command and return its answer."""
        index = self.configuration.index + 1
        return apply_entry(self.configuration, LogEntry(index, 1, command))

    @property
    def is_in_service(self) -> bool:
        """Return whether the data centre takes traffic."""
        return self.configuration.is_in_service(DATA_CENTRE)


class AgentProcess:
    """One process of the agent; implements the relay outbox."""

    def __init__(
        self,
        scheduler: EventScheduler,
        control: SimulatedControl,
        seed: int,
        deliver: Callable[[bytes], None],
        *,
        agent_id: str = AGENT_ID,
        address: Address = AGENT_ADDRESS,
        packet_format: PacketFormat = IP_PACKET_FORMAT,
    ) -> None:
        self._scheduler = scheduler
        self._control = control
        self._deliver = deliver
        self._agent_id = agent_id
        self._boot_id = seed
        self._random = Random(seed)
        self._is_running = True
        self._has_pulled = False
        self._is_recording = False
        self._waiting: list[Action] | None = None
        self._unanswered: list[Callable[[bool], None]] = []
        gate = ServerGate(SERVICE, REPORT_TIMEOUT_S, ColdLimit(slack=COLD_SLACK), scheduler.now)
        gate.begin_recovery(scheduler.now)
        self._recorded = RecordedServer(gate)
        self.router = AgentRouter(
            address,
            DATA_CENTRE,
            packet_format,
            gate,
            self,
            self._random,
            Counter(),
            UNLOGGED,
            lambda response_s: None,
            self.are_members_confirmed,
            scheduler.now,
            options=OPTIONS,
        )
        self.router.apply_routing(build_routing())
        self._tick()
        self._call_control(self._on_pulled)

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended; it may be suspended."""
        return self._is_running

    def end(self) -> None:
        """End at once; what waits in the sockets is lost."""
        self._is_running = False

    def freeze(self) -> None:
        """Stop to handle anything until :meth:`thaw`."""
        if self._waiting is None:
            self._waiting = []

    def thaw(self) -> None:
        """Handle what has arrived since, in its order."""
        waiting, self._waiting = self._waiting, None
        for action in waiting or []:
            action()

    def _handle(self, action: Action) -> None:
        if not self._is_running:
            return
        if self._waiting is None:
            action()
        else:
            self._waiting.append(action)

    def _tick(self) -> None:
        if not self._is_running:
            return
        if self._waiting is None:
            self.on_tick()
        self._scheduler.call_later(TICK_INTERVAL_S, self._tick)

    def on_tick(self) -> None:
        """Run the timers that are due."""
        self.router.tick(self._scheduler.now)

    # Control

    @property
    def reaches_control(self) -> bool:
        """Return whether calls reach control."""
        return self._control.is_reachable

    def are_members_confirmed(self, since: float) -> bool:
        """Return whether control has confirmed the list of members since a given time."""
        return True

    def _call_control(self, on_reply: Action, command: AnyCommand | None = None) -> None:
        """Make a call, with a command to commit; it is repeated until control is reachable."""
        if not self._is_running:
            return
        if not self.reaches_control or self._random.random() < LOST_CALL_SHARE:
            self._scheduler.call_later(CALL_RETRY_S, lambda: self._call_control(on_reply, command))
            return
        if command is not None:
            self._control.propose(command)
        self._scheduler.call_later(CALL_S, lambda: self._handle(on_reply))

    def _on_pulled(self) -> None:
        self._has_pulled = True
        self.apply_configuration()
        self._join()

    def _join(self) -> None:
        """Join once the server has reported."""
        if not self._is_running:
            return
        if self.router.gate.report is None:
            self._scheduler.call_later(TICK_INTERVAL_S, self._join)
            return
        address = self.router.own_address
        member = ServerMember(self._agent_id, SERVICE, DATA_CENTRE, *address, 0, self._boot_id, 2)
        self._call_control(self._on_joined, JoinServer(member=member))

    def _on_joined(self) -> None:
        self.apply_configuration()
        record = self._control.configuration.server_records_by_agent_id.get(self._agent_id)
        self._recorded.restore(record, self._scheduler.now)
        self._record()

    def apply_configuration(self) -> None:
        """Apply what control has committed, if it is reachable."""
        if self._has_pulled and self.reaches_control:
            self.router.gate.set_in_service(self._control.is_in_service, self._scheduler.now)

    def on_change(self) -> None:
        """Handle a notice of control that something has changed."""
        self._handle(self.apply_configuration)

    def _record(self) -> None:
        """Let control record what is to be acknowledged, and answer the server's calls then."""
        if self._recorded.is_up_to_date:
            for respond in self._unanswered:
                respond(True)
            self._unanswered.clear()
        record = self._recorded.build()
        if record is None or self._recorded.is_up_to_date or self._is_recording:
            return
        if not self.router.gate.is_confirmed:
            return
        self._is_recording = True
        command = RecordServer(agent_id=self._agent_id, boot_id=self._boot_id, record=record)
        self._call_control(lambda: self._on_recorded(record), command)

    def _on_recorded(self, record: ServerRecord) -> None:
        self._is_recording = False
        self._recorded.on_recorded(record)
        self._record()

    # The server's calls

    def on_report(self, report: ServerReport, respond: Callable[[bool], None]) -> None:
        """Handle a report; respond whether it is acknowledged."""
        self._handle(lambda: self._on_report(report, respond))

    def _on_report(self, report: ServerReport, respond: Callable[[bool], None]) -> None:
        now = self._scheduler.now
        if report.has_left:
            self.router.gate.on_leave(report.incarnation, now)
        elif self.router.on_report(report, now) is ReportOutcome.REFUSED:
            respond(False)
            return
        if report.is_draining:
            self._unanswered.append(respond)
        else:
            respond(True)
        self._record()

    # Packets

    def on_opening(self, packet: bytes) -> None:
        """Handle an opening that a directory owner has placed here."""
        frame = RelayFrame(RelayKind.PLACE, 1, 1, relay.service_tag(SERVICE), packet)
        self._handle(lambda: self.router.on_frame(frame, OWNER_ADDRESS, self._scheduler.now))

    def on_server_packet(self, packet: bytes) -> None:
        """Handle a packet of the server."""
        self._handle(lambda: self.router.on_server_packet(packet, self._scheduler.now))

    def deliver(self, packet: bytes) -> None:
        """Deliver a packet to the server."""
        self._deliver(packet)

    def reply(self, packet: bytes, caller_host: str) -> None:
        """Drop the packet: callers are not simulated."""

    def relay(
        self,
        address: Address,
        kind: RelayKind,
        hops: int,
        routing_version: int,
        service_tag: int,
        body: bytes,
    ) -> None:
        """Drop the frame: other agents are not simulated."""

    def send_message(self, address: Address, message: AnyDatagram) -> None:
        """Drop the message: other agents are not simulated."""


def build_routing(version: int = 1, idle_limit_s: float = 60.0) -> RoutingDocument:
    """Return a routing document with the only route."""
    route = Route(ROUTE_ADDRESS, ROUTE_PORT, (WeightedService(SERVICE, 1),))
    policies = {SERVICE: ServicePolicy(SERVICE)}
    return RoutingDocument(version, {route.place: route}, policies, idle_limit_s)
