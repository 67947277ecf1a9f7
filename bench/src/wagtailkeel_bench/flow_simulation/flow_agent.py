"""The agents of the simulation: processes that exchange datagrams with the others and control."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from wagtailkeel.roles.handshake.agent import LEAVING_NOTICE_COUNT
from wagtailkeel.roles.handshake.agent import LEAVING_NOTICE_INTERVAL_S
from wagtailkeel.roles.handshake.agent import LOAD_INTERVAL_S
from wagtailkeel.roles.handshake.server_check import CHECK_INTERVAL_S
from wagtailkeel.roles.handshake.server_check import REQUIRED_REFUSALS
from wagtailkeel_bench.agent_simulation.simulated_agent import AgentProcess
from wagtailkeel_bench.flow_simulation.flow_network import CONTROL
from wagtailkeel_coordination.handshake import FormerMembers
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import FlowLocations
from wagtailkeel_protocol.messages import FlowQuery
from wagtailkeel_protocol.messages import FlowQueryReply
from wagtailkeel_protocol.messages import LoadRequest
from wagtailkeel_protocol.messages import LocationRequest
from wagtailkeel_protocol.messages import SearchReply
from wagtailkeel_protocol.messages import SearchRequest
from wagtailkeel_protocol.messages import ServerLoad
from wagtailkeel_state.commands import JoinServer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from wagtailkeel_bench.event_scheduler import EventScheduler
    from wagtailkeel_bench.flow_simulation.flow_control import ControlView
    from wagtailkeel_bench.flow_simulation.flow_control import FlowControl
    from wagtailkeel_bench.flow_simulation.flow_network import FlowNetwork
    from wagtailkeel_protocol.messages import AnyDatagram
    from wagtailkeel_protocol.messages import Datagram
    from wagtailkeel_protocol.packet_format import PacketFormat
    from wagtailkeel_protocol.relay import RelayKind
    from wagtailkeel_state.commands import AnyCommand

Address = tuple[str, int]

HEARTBEAT_INTERVAL_S = 0.5
STOP_DRAIN_S = 0.2
"""From a planned stop's first notice to the end of the process."""


class FlowAgentProcess(AgentProcess):
    """One process of an agent.

    ``is_port_open`` returns whether a process listens at the server's port, ``send_to_caller``
    sends a packet to its caller.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        control: FlowControl,
        seed: int,
        deliver: Callable[[bytes], None],
        network: FlowNetwork,
        is_port_open: Callable[[], bool],
        send_to_caller: Callable[[bytes], None],
        balancers: Collection[Address],
        *,
        agent_id: str,
        address: Address,
        packet_format: PacketFormat,
    ) -> None:
        self._flow_control = control
        self._network = network
        self._is_port_open = is_port_open
        self._send_to_caller = send_to_caller
        self._balancers = balancers
        self._address = address
        self._has_joined = False
        self._joined_at = float("inf")
        self._refusals = 0
        self._joins = 0
        self._confirmed_at = float("-inf")
        self._former_members = FormerMembers()
        self._due_at_by_timer: dict[str, float] = {}
        super().__init__(
            scheduler,
            control,
            seed,
            deliver,
            agent_id=agent_id,
            address=address,
            packet_format=packet_format,
        )
        network.attach(address, self._receive)

    def end(self) -> None:
        """End at once; what waits in the sockets is lost."""
        super().end()
        self._network.detach(self._address)

    def stop(self) -> None:
        """End as planned: return what waits, and notify the balancers."""
        self._handle(self._stop)

    def _stop(self) -> None:
        gate = self.router.gate
        gate.is_leaving = True
        self.router.return_queue(self._scheduler.now)
        has_left = gate.report is not None and gate.report.has_left
        if (gate.has_ended or has_left or not self._is_port_open()) and self.reaches_control:
            self._flow_control.on_leave(self._agent_id, self._boot_id)
        self.router.send_copies(self._scheduler.now)
        for number in range(LEAVING_NOTICE_COUNT):
            delay_s = number * LEAVING_NOTICE_INTERVAL_S
            self._scheduler.call_later(delay_s, lambda: self._handle(self._report_load))
        self._scheduler.call_later(STOP_DRAIN_S, self.end)

    # Timers

    def on_tick(self) -> None:
        """Run the timers that are due."""
        super().on_tick()
        self._run_if_due("heartbeat", HEARTBEAT_INTERVAL_S, self._send_heartbeat)
        self._run_if_due("load", LOAD_INTERVAL_S, self._report_load)
        self._run_if_due("check", CHECK_INTERVAL_S, self._check_server)

    def _run_if_due(self, name: str, interval_s: float, action: Callable[[], None]) -> None:
        now = self._scheduler.now
        if now >= self._due_at_by_timer.get(name, now):
            self._due_at_by_timer[name] = now + interval_s
            action()

    def _report_load(self) -> None:
        datagram = encode_datagram(self.router.build_load(self._scheduler.now))
        for balancer in self._balancers:
            self._network.send(datagram, balancer, self._address)

    def _check_server(self) -> None:
        """Check the port of a server that is not heard, as the agent's ServerCheck does."""
        gate = self.router.gate
        if not gate.is_inactive or gate.has_ended:
            self._refusals = 0
            return
        if self._is_port_open():
            self._refusals = 0
            gate.record_activity()
            return
        self._refusals += 1
        self.router.on_closed_port(self._scheduler.now)
        if self._refusals >= REQUIRED_REFUSALS:
            self._refusals = 0
            self.router.on_absent_server(self._scheduler.now)

    # Control

    @property
    def reaches_control(self) -> bool:
        """Return whether calls reach control."""
        return super().reaches_control and not self._network.is_isolated(self._address)

    def are_members_confirmed(self, since: float) -> bool:
        """Return whether control has confirmed the list of members since a given time."""
        return self._confirmed_at >= since

    def _send_heartbeat(self) -> None:
        if not self.reaches_control:
            return
        sent_at = self._scheduler.now
        self._scheduler.call_later(
            self._network.draw_delay_s(self._address, CONTROL),
            lambda: self._on_heartbeat_received(sent_at),
        )

    def _on_heartbeat_received(self, sent_at: float) -> None:
        if self._has_joined:
            self._flow_control.on_heartbeat(self._agent_id)
        view = self._flow_control.build_view()
        self._scheduler.call_later(
            self._network.draw_delay_s(CONTROL, self._address),
            lambda: self._handle(lambda: self._on_view(view, sent_at)),
        )

    def _on_view(self, view: ControlView, sent_at: float) -> None:
        if self._network.is_isolated(self._address):
            return
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self._apply_view(view)
        boot_id = view.boot_ids_by_address.get(self._address)
        if self._has_joined and boot_id != self._boot_id and sent_at > self._joined_at:
            self._rejoin()

    def _rejoin(self) -> None:
        """Join again as another incarnation, since control has removed this one."""
        self._has_joined = False
        self._joins += 1
        self._boot_id += 1_000_000 * self._joins
        self._join()

    def _on_joined(self) -> None:
        self._has_joined = True
        self._joined_at = self._scheduler.now
        super()._on_joined()

    def _call_control(
        self, on_reply: Callable[[], None], command: AnyCommand | None = None
    ) -> None:
        if self._waiting is not None:
            self._waiting.append(lambda: self._call_control(on_reply, command))
            return
        if isinstance(command, JoinServer) and self.reaches_control:
            self._flow_control.on_heartbeat(self._agent_id)
        super()._call_control(on_reply, command)

    def apply_configuration(self) -> None:
        """Apply what control has committed, if it is reachable."""
        if self._has_pulled and self.reaches_control:
            self._apply_view(self._flow_control.build_view())

    def _apply_view(self, view: ControlView) -> None:
        """Apply the members, the former ones and the routing, as the agent role does."""
        now = self._scheduler.now
        self.router.apply_routing(view.routing)
        self.router.gate.set_in_service(view.is_in_service, now)
        self._former_members.update(view.membership, now)
        self._former_members.expire(now, self.router.flow_retention_s)
        self.router.set_peers(view.members, self._former_members.addresses)

    # Datagrams

    def _receive(self, datagram: bytes, source: Address) -> None:
        self._handle(lambda: self._on_datagram(datagram, source))

    def _on_datagram(self, datagram: bytes, source: Address) -> None:
        if relay.is_relay(datagram):
            frame = relay.decode_relay(datagram)
            assert not isinstance(frame, Malformed), "the simulation sends only complete frames"
            self.router.on_frame(frame, source, self._scheduler.now)
            return
        message = decode_datagram(datagram)
        assert not isinstance(message, Malformed), "the simulation sends only complete messages"
        self._on_message(message, source)

    @singledispatchmethod
    def _on_message(self, message: Datagram, source: Address) -> None:
        raise NotImplementedError(f"{type(message).__name__} is not simulated")

    @_on_message.register
    def _(self, message: LoadRequest, source: Address) -> None:
        load = self.router.build_load(self._scheduler.now)
        load.is_reply = True
        self.send_message(source, load)

    @_on_message.register
    def _(self, message: ServerLoad, source: Address) -> None:
        self.router.on_load(message, source, self._scheduler.now)

    @_on_message.register
    def _(self, message: LocationRequest, source: Address) -> None:
        self.router.on_location_request(message, source, self._scheduler.now)

    @_on_message.register
    def _(self, message: FlowLocations, source: Address) -> None:
        self.router.on_locations(message, self._scheduler.now)

    @_on_message.register
    def _(self, message: FlowQuery, source: Address) -> None:
        self.router.on_flow_query(message, source, self._scheduler.now)

    @_on_message.register
    def _(self, message: FlowQueryReply, source: Address) -> None:
        self.router.on_flow_query_reply(message, source, self._scheduler.now)

    @_on_message.register
    def _(self, message: SearchRequest, source: Address) -> None:
        self.router.on_search_request(message, source, self._scheduler.now)

    @_on_message.register
    def _(self, message: SearchReply, source: Address) -> None:
        self.router.on_search_reply(message, self._scheduler.now)

    def reply(self, packet: bytes, caller_host: str) -> None:
        """Send a packet to its caller."""
        self._network.send_to_caller(self._address, lambda: self._send_to_caller(packet))

    def relay(
        self,
        address: Address,
        kind: RelayKind,
        hops: int,
        routing_version: int,
        service_tag: int,
        body: bytes,
    ) -> None:
        """Send a frame to another agent."""
        frame = relay.encode_relay(kind, hops, routing_version, service_tag, body)
        self._network.send(frame, address, self._address)

    def send_message(self, address: Address, message: AnyDatagram) -> None:
        """Send a message to another agent."""
        self._network.send(encode_datagram(message), address, self._address)
