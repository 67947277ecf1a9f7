"""The agent role, which runs beside one backend server."""

from __future__ import annotations

from functools import singledispatchmethod
from itertools import islice
from random import Random
from typing import TYPE_CHECKING

import anyio
import msgspec

from wagtailkeel.roles.address_book import AddressBook
from wagtailkeel.roles.agent_outbox import AgentOutbox
from wagtailkeel.roles.configuration_store import ConfigurationStore
from wagtailkeel.roles.control_caller import RpcCaller
from wagtailkeel.roles.metrics import Metrics
from wagtailkeel.roles.node_link import NodeLink
from wagtailkeel.roles.node_link import generate_boot_id
from wagtailkeel.roles.process_dump import build_dump
from wagtailkeel.roles.table_builder import TableBuilder
from wagtailkeel_coordination import AgentIdentity
from wagtailkeel_coordination import FlowRouter
from wagtailkeel_coordination import PlacementLease
from wagtailkeel_protocol import gue
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.flow_key import describe_flow
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import AnnounceRequest
from wagtailkeel_protocol.messages import Datagram
from wagtailkeel_protocol.messages import DumpReply
from wagtailkeel_protocol.messages import DumpRequest
from wagtailkeel_protocol.messages import Gossip
from wagtailkeel_protocol.messages import Heartbeat
from wagtailkeel_protocol.messages import HeartbeatAck
from wagtailkeel_protocol.messages import StopRequest
from wagtailkeel_protocol.messages import VersionHint
from wagtailkeel_state.server_member import ServerMember
from wagtailkeel_transport import RpcError
from wagtailkeel_transport import UdpEndpoint
from wagtailkeel_transport import clock
from wagtailkeel_transport.log import logger
from wagtailkeel_transport.methods import DUMP
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.methods import STOP_AGENT
from wagtailkeel_transport.rpc import RpcClient
from wagtailkeel_transport.rpc import RpcServer

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from wagtailkeel.settings import AgentSettings
    from wagtailkeel.settings import Settings
    from wagtailkeel_state.configuration import Configuration

TICK_INTERVAL_S = 0.05
GOSSIP_INTERVAL_S = 0.5
GOSSIP_FANOUT = 6
STOP_POLL_INTERVAL_S = 0.05
FLOW_SAMPLE_LIMIT = 10

_ROUTED_FLAGS = gue.ANSWER_FLAGS | gue.FLAG_QUERY
"""Frames that are more than a packet to deliver."""


class Agent:
    """Owns the sockets and the flow router of one backend server's agent."""

    def __init__(self, settings: Settings, section: AgentSettings) -> None:
        self.metrics = Metrics()
        self.store = ConfigurationStore()
        self._instance = settings.instance
        self._section = section
        host = settings.instance.listen_host
        self._endpoint = UdpEndpoint(host, section.port)
        self._server_endpoint = UdpEndpoint(host, section.server_side_port)
        self._rpc_client = RpcClient(host)
        self._address_book = AddressBook.from_settings(settings, self.store)
        self._random = Random()
        self._lease = PlacementLease()
        self._outbox = AgentOutbox(
            section,
            self._address_book,
            self._endpoint,
            self._server_endpoint,
            self.metrics.counters,
        )
        boot_id = generate_boot_id()
        self._router = FlowRouter(
            AgentIdentity(
                section.server_id,
                section.service,
                settings.instance.data_centre,
                section.slots,
                boot_id,
            ),
            self._outbox,
            self._outbox,
            self._lease,
            self._random,
            self.metrics.counters,
            self.metrics.record_response,
            clock.seconds(),
        )
        self._table_builder = TableBuilder(
            settings.instance.data_centre, without_quotas=settings.instance.stateless
        )
        self._configuration_changed = anyio.Event()
        self._is_stopping = False
        self._is_isolated = False
        self._last_message_at = clock.seconds()
        self.store.subscribe(self._on_configuration)
        self._link = NodeLink(
            section.server_id,
            self._address_book,
            self.store,
            self._endpoint,
            RpcCaller(self._address_book, self._rpc_client),
            self._build_announcement,
            self.metrics,
            build_heartbeat=self._build_heartbeat,
            on_rejoin=self._router.rejoin,
            lease=self._lease,
            boot_id=boot_id,
        )

    @classmethod
    def from_settings(cls, settings: Settings, section: AgentSettings) -> Agent:
        """Build the role and bind its UDP sockets."""
        return cls(settings, section)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled."""
        server = RpcServer({DUMP: self._dump, PULL: self.store.handle_pull})
        await server.start(self._instance.listen_host, self._section.rpc_port)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._refresh_forever)
                tasks.start_soon(self._endpoint.receive, self._on_datagram)
                tasks.start_soon(self._server_endpoint.receive, self._on_server_packet)
                tasks.start_soon(self._link.run)
                tasks.start_soon(self._tick_forever)
                tasks.start_soon(self._gossip_forever)
                await self._link.is_joined.wait()
                task_status.started()
        finally:
            self._endpoint.close()
            self._server_endpoint.close()
            self._rpc_client.close()
            with anyio.CancelScope(shield=True):
                await server.close()

    async def stop(self) -> None:
        """Hand over all buckets before a planned stop; the backend server keeps its flows.

        After ``stop_limit_s`` the agent stops with the buckets that it still has.
        """
        self._is_stopping = True
        with anyio.move_on_after(self._section.stop_limit_s):
            await self._announce_stop()
            while self._router.authority.has_tokens_to_grant:
                await anyio.sleep(STOP_POLL_INTERVAL_S)
        logger.info(
            "handed over the buckets; {} remain", len(self._router.authority.tokens_by_bucket)
        )

    async def _announce_stop(self) -> None:
        """Request the stop from control until the request is committed.

        The recorded version then makes the agent pull the configuration that has the stop.
        """
        request = StopRequest(self._section.server_id, self._link.boot_id)
        while True:
            for control_id in [self._link.leader_id, *self._address_book.control_ids]:
                address = self._address_book.rpc_address(control_id)
                if address is None:
                    continue
                try:
                    reply = await self._rpc_client.call(address, STOP_AGENT, request)
                except RpcError:
                    continue
                if reply.is_joined:
                    self._link.record_peer_version(control_id, reply.index)
                    return
            await anyio.sleep(STOP_POLL_INTERVAL_S)

    def _build_announcement(self, boot_id: int) -> AnnounceRequest:
        section = self._section
        return AnnounceRequest(
            server=ServerMember(
                section.server_id,
                section.service,
                self._instance.data_centre,
                self._instance.host,
                section.port,
                section.rpc_port,
                boot_id,
                section.slots,
            )
        )

    def _build_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        limiter = self._router.limiter
        return msgspec.structs.replace(
            heartbeat,
            capacity=limiter.capacity,
            is_cold=limiter.is_cold,
            is_stopping=self._is_stopping,
        )

    # Packets and messages

    def _on_datagram(self, datagram: bytes) -> None:
        if gue.is_control(datagram):
            self._on_message_datagram(datagram)
            return
        # Most packets belong to flows of the local backend server: deliver those without decoding
        # the whole frame.
        flags, hops = gue.peek_flags_and_hops(datagram)
        if not flags & _ROUTED_FLAGS and not self._instance.stateless:
            packet = datagram[gue.HEADER_BYTES :]
            if self._router.deliver_if_local(packet, hops, clock.seconds()):
                return
        frame = gue.decode_frame(datagram)
        if isinstance(frame, Malformed):
            self.metrics.counters[f"dropped_{frame.value}"] += 1
            return
        if self._instance.stateless:
            self._outbox.deliver(frame.packet)
            return
        self._router.on_frame(frame, clock.seconds())

    def _on_message_datagram(self, datagram: bytes) -> None:
        message = decode_datagram(datagram)
        if isinstance(message, Malformed):
            self.metrics.counters[f"dropped_{message.value}"] += 1
            return
        self.metrics.counters["control_bytes_received"] += len(datagram)
        self._last_message_at = clock.seconds()
        self._on_message(message)

    @singledispatchmethod
    def _on_message(self, message: Datagram) -> None:
        self._router.on_message(message, clock.seconds())

    @_on_message.register
    def _(self, message: HeartbeatAck) -> None:
        self._link.on_ack(message)

    @_on_message.register
    def _(self, message: VersionHint) -> None:
        self._link.on_version_hint(message)

    @_on_message.register
    def _(self, message: Gossip) -> None:
        self._link.record_peer_version(message.sender, message.version)
        if message.version < self.store.version:
            self._outbox.send(
                message.sender, VersionHint(self._section.server_id, self.store.version)
            )
        self._router.on_message(message, clock.seconds())

    def _on_server_packet(self, packet: bytes) -> None:
        if self._instance.stateless:
            self._outbox.reply(packet)
            return
        self._router.on_server_packet(packet, clock.seconds())

    # Timers

    async def _tick_forever(self) -> None:
        while True:
            self._check_isolation()
            self._router.tick(clock.seconds())
            await anyio.sleep(TICK_INTERVAL_S)

    def _check_isolation(self) -> None:
        limit_s = self._section.isolated_stop_s
        if limit_s <= 0 or self._router.view.config is None:
            return
        is_isolated = clock.seconds() - self._last_message_at > limit_s
        if is_isolated != self._is_isolated:
            self._is_isolated = is_isolated
            logger.warning(
                "no message received for isolated_stop_s; serving stopped"
                if is_isolated
                else "messages received again; serving resumed"
            )
            self._router.set_isolated(is_isolated, clock.seconds())

    async def _gossip_forever(self) -> None:
        while True:
            self._send_gossip()
            await anyio.sleep(GOSSIP_INTERVAL_S)

    def _send_gossip(self) -> None:
        config = self.store.configuration
        peers = [
            member.server_id
            for member in config.members_of(self._section.service)
            if member.server_id != self._section.server_id
        ]
        message = Gossip(
            self._section.server_id, self._link.boot_id, self.store.version, self._router.load
        )
        for peer in self._random.sample(peers, min(GOSSIP_FANOUT, len(peers))):
            self._outbox.send(peer, message)

    # Configuration

    def _on_configuration(self, config: Configuration) -> None:
        self._configuration_changed.set()

    async def _refresh_forever(self) -> None:
        while True:
            await self._configuration_changed.wait()
            self._configuration_changed = anyio.Event()
            service = self._section.service
            await self._table_builder.refresh(self.store.configuration, [service])
            table = self._table_builder.tables_by_service.get(service)
            self._router.apply_configuration(self.store.configuration, table, clock.seconds())

    async def _dump(self, request: DumpRequest) -> DumpReply:
        router = self._router
        authority = router.authority
        self.metrics.counters["packets_delivered"] = self._outbox.delivered_packets
        self.metrics.counters["packets_returned"] = self._outbox.returned_packets
        now = clock.seconds()
        return build_dump(
            {
                "role": "agent",
                "instance": self._section.server_id,
                "service": self._section.service,
                "data_centre": self._instance.data_centre,
                "boot_id": self._link.boot_id,
                "version": self.store.version,
                "table_epoch": authority.table.epoch if authority.table else 0,
                "control_silent_s": now - self._link.acknowledged_at,
                "has_lease": self._lease.is_valid(now),
                "has_lost_memory": authority.has_incomplete_flow_table,
                "buckets_held": len(authority.tokens_by_bucket),
                "buckets_claimed": len(authority.claims_by_bucket),
                "grants_outgoing": len(authority.outgoing_by_bucket),
                "local_flows": len(router.directory.local_flows_by_key),
                "held_flows": router.local_flows.held_count,
                "local_flows_sample": [
                    describe_flow(key)
                    for key in islice(router.directory.local_flows_by_key, FLOW_SAMPLE_LIMIT)
                ],
                "remote_flows": router.directory.remote_flow_count,
                "awaiting": router.local_flows.awaiting_count,
                "limit": router.limiter.limit,
                "in_flight": router.limiter.in_flight,
                "is_cold": router.limiter.is_cold,
                "cold_events": router.limiter.cold_events,
                "capacity": router.limiter.capacity,
                "round_trip_ms": router.limiter.times.round_trip_s * 1_000,
                "median_ms_by_class": {
                    name: median_s * 1_000
                    for name, median_s in router.limiter.times.medians_by_class.items()
                },
                "share": self.store.configuration.share_of(self._section.server_id),
                "peers": sorted(router.peers.loads_by_id),
                "send_failures": self._endpoint.send_failures,
                "metrics": self.metrics.dump(),
            }
        )
