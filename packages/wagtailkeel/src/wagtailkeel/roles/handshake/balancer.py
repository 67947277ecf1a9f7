"""The balancer role: a thin entry instance that forwards packets to the owners of their flows."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

import anyio

from wagtailkeel.roles.address_book import AddressBook
from wagtailkeel.roles.configuration_store import ConfigurationStore
from wagtailkeel.roles.datagram_caller import DatagramCaller
from wagtailkeel.roles.handshake.control_messages import ControlMessages
from wagtailkeel.roles.metrics import Metrics
from wagtailkeel.roles.node_link import NodeLink
from wagtailkeel.roles.process_dump import build_dump
from wagtailkeel_coordination import events
from wagtailkeel_coordination.handshake import BalancerRouter
from wagtailkeel_coordination.handshake.route_explanation import AddressError
from wagtailkeel_coordination.handshake.server_choice import PeerLoads
from wagtailkeel_coordination.handshake.stop_coordinator import StopCoordinator
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import AnnounceRequest
from wagtailkeel_protocol.messages import BalancerState
from wagtailkeel_protocol.messages import Datagram
from wagtailkeel_protocol.messages import DumpReply
from wagtailkeel_protocol.messages import DumpRequest
from wagtailkeel_protocol.messages import ServerLoad
from wagtailkeel_protocol.where_messages import WhereReply
from wagtailkeel_state.balancer_member import BalancerMember
from wagtailkeel_transport import UdpEndpoint
from wagtailkeel_transport import clock
from wagtailkeel_transport.deferred_rpc_server import DeferredRpcServer
from wagtailkeel_transport.methods import DUMP
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.methods import WHERE

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskStatus

    from wagtailkeel.settings import HandshakeBalancerSettings
    from wagtailkeel.settings import Settings
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_protocol.packet_format import PacketFormat
    from wagtailkeel_protocol.where_messages import WhereRequest
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_transport.rpc_method import RpcHandlers

Address = tuple[str, int]

OWNER_REFRESH_INTERVAL_S = 0.2
MAX_ROUTING_AGE_S = 1.5
STOP_POLL_INTERVAL_S = 0.1


class HandshakeBalancer:
    """Owns the sockets and the router of one entry instance."""

    def __init__(
        self,
        settings: Settings,
        section: HandshakeBalancerSettings,
        packet_format: PacketFormat,
        event_sink: EventSink,
        read_seeds: Callable[[], list[str]] | None,
    ) -> None:
        self.metrics = Metrics()
        self.store = ConfigurationStore()
        self._instance = settings.instance
        self._section = section
        self._balancer_id = f"balancer@{settings.instance.id}"
        self._endpoint = UdpEndpoint(settings.instance.listen_host, section.port)
        self._fabric = UdpEndpoint(settings.instance.listen_host, section.fabric_port)
        self._loads = PeerLoads()
        self._agents: set[Address] = set()
        self._router = BalancerRouter(
            packet_format,
            self._endpoint.send,
            self._reply,
            self.metrics.counters,
            event_sink,
            self._is_routing_current,
        )
        self._emit = event_sink.emit
        self._is_stopping = False
        self._was_ready = False
        self._stop_coordinator = StopCoordinator(section.stop_wait_limit_s)
        self.store.subscribe(self._on_configuration)
        address_book = AddressBook.from_settings(settings, self.store, read_seeds)
        self._caller = DatagramCaller(address_book, self._endpoint.send, self._instance.listen_host)
        self._link = NodeLink(
            self._balancer_id,
            address_book,
            self.store,
            self._endpoint,
            self._caller,
            self._build_announcement,
            self.metrics,
            event_sink=event_sink,
        )
        self._control_messages = ControlMessages(self._link, self._caller, self.metrics.counters)

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        packet_format: PacketFormat,
        event_sink: EventSink,
        read_seeds: Callable[[], list[str]] | None = None,
    ) -> HandshakeBalancer:
        """Build the role and bind its sockets."""
        assert settings.handshake_balancer is not None, "the caller checks for the section"
        return cls(settings, settings.handshake_balancer, packet_format, event_sink, read_seeds)

    @property
    def is_ready(self) -> bool:
        """Return whether the fabric should send packets to this balancer."""
        has_routing = self._router.routing.version > 0 and self._router.owners.has_owners
        return self._link.is_joined.is_set() and has_routing and not self._is_stopping

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
                tasks.start_soon(self._fabric.receive, self._router.on_packet)
                tasks.start_soon(self._refresh_owners_forever)
                tasks.start_soon(self._link.run)
                tasks.start_soon(server.serve)
                task_status.started()
        finally:
            self._fabric.close()
            self._endpoint.close()
            self._caller.close()
            with anyio.CancelScope(shield=True):
                await server.close()

    async def stop(self) -> None:
        """Wait for this balancer's turn, report not ready, and serve until the fabric notices."""
        requested_at = clock.seconds()
        while not self._stop_coordinator.may_stop(requested_at, clock.seconds()):
            await anyio.sleep(STOP_POLL_INTERVAL_S)
        self._is_stopping = True
        self._notify_balancers(is_stopping=True)
        await anyio.sleep(self._section.stop_delay_s)

    def _is_routing_current(self) -> bool:
        unconfirmed_s = clock.seconds() - self._link.acknowledged_at
        is_confirmed = unconfirmed_s < MAX_ROUTING_AGE_S and not self._link.has_newer_version
        return self._router.routing.version > 0 and is_confirmed

    def _build_announcement(self, boot_id: int) -> AnnounceRequest:
        return AnnounceRequest(
            balancer=BalancerMember(
                self._balancer_id,
                self._instance.data_centre,
                self._instance.host,
                self._section.port,
                self._section.rpc_port,
                boot_id,
            )
        )

    def _reply(self, packet: bytes, caller_host: str) -> None:
        self._fabric.send(packet, (caller_host, self._section.caller_port))

    # Configuration and owners

    def _on_configuration(self, config: Configuration) -> None:
        if config.routing.version > self._router.routing.version:
            self._emit(events.RoutingAdopted(config.routing.version, config.index))
        self._router.apply_routing(config.routing)
        self._set_agents(config)
        self._refresh_owners()

    def _set_agents(self, config: Configuration) -> None:
        """Set the agents that may own directory entries: all agents if none is local."""
        members = config.servers_by_id.values()
        local_members = [m for m in members if m.data_centre == self._instance.data_centre]
        self._agents = {(m.host, m.port) for m in local_members or members}
        self._loads.retain(self._agents)

    async def _refresh_owners_forever(self) -> None:
        while True:
            self._refresh_owners()
            is_ready = self.is_ready
            if is_ready and not self._was_ready:
                self._notify_balancers(is_stopping=False)
            self._was_ready = is_ready
            await anyio.sleep(OWNER_REFRESH_INTERVAL_S)

    def _notify_balancers(self, *, is_stopping: bool) -> None:
        """Notify the other balancers of the data centre that this one stops or has become ready."""
        datagram = encode_datagram(BalancerState(is_stopping))
        for balancer in self.store.configuration.balancers_by_id.values():
            is_local = balancer.data_centre == self._instance.data_centre
            if is_local and balancer.instance_id != self._balancer_id:
                self._endpoint.send(datagram, (balancer.host, balancer.port))

    def _refresh_owners(self) -> None:
        """Update the agents that own directory entries.

        These are the live agents of the balancer's data centre. If none is live, they are all its
        agents, and if it has no agent, those of all data centres.
        """
        now = clock.seconds()
        live_agents = [a for a in self._agents if self._loads.is_available(a, now)]
        owners = live_agents or self._agents
        if self._router.owners.update(owners):
            self.metrics.counters["owner_changes"] += 1
            self._emit(events.OwnersChanged(sorted(host for host, _ in owners)))

    # Messages

    def _on_datagram(self, datagram: bytes, source: Address) -> None:
        message = decode_datagram(datagram)
        if isinstance(message, Malformed):
            self.metrics.counters[f"dropped_{message.value}"] += 1
            return
        self._on_message(message, source)

    @singledispatchmethod
    def _on_message(self, message: Datagram, source: Address) -> None:
        self._control_messages.on_message(message)

    @_on_message.register
    def _(self, message: ServerLoad, source: Address) -> None:
        self._loads.on_load(source, self._instance.data_centre, message, clock.seconds())
        if message.is_leaving:
            self._refresh_owners()

    @_on_message.register
    def _(self, message: BalancerState, source: Address) -> None:
        now = clock.seconds()
        if message.is_stopping:
            self._stop_coordinator.on_stop(source, now)
        else:
            self._stop_coordinator.on_ready(source, now)

    async def _explain_opening(self, request: WhereRequest) -> WhereReply:
        try:
            return self._router.explain_opening(request.caller, request.route)
        except AddressError as error:
            return WhereReply(error=str(error))

    async def _dump(self, request: DumpRequest) -> DumpReply:
        return build_dump(
            {
                "role": "balancer",
                "instance": self._balancer_id,
                "data_centre": self._instance.data_centre,
                "boot_id": self._link.boot_id,
                "version": self.store.version,
                "routing_version": self._router.routing.version,
                "is_ready": self.is_ready,
                "control_silent_s": clock.seconds() - self._link.acknowledged_at,
                "send_failures": self._endpoint.send_failures,
                "metrics": self.metrics.dump(),
            }
        )
