"""The balancer role: forwards callers' packets to agents and keeps no state per flow."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

import anyio
import xxhash

from wagtailkeel.roles.address_book import AddressBook
from wagtailkeel.roles.configuration_store import ConfigurationStore
from wagtailkeel.roles.control_caller import RpcCaller
from wagtailkeel.roles.metrics import Metrics
from wagtailkeel.roles.node_link import NodeLink
from wagtailkeel.roles.process_dump import build_dump
from wagtailkeel.roles.service_route import ENCODED_BUCKETS
from wagtailkeel.roles.service_route import GUE_PREFIX_IPV4
from wagtailkeel.roles.service_route import GUE_PREFIX_IPV6
from wagtailkeel.roles.service_route import ServiceRoute
from wagtailkeel.roles.table_builder import TableBuilder
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.flow_key import IPV4_KEY_BYTES
from wagtailkeel_protocol.flow_key import endpoint_key
from wagtailkeel_protocol.flow_key import endpoint_of
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import AnnounceRequest
from wagtailkeel_protocol.messages import Datagram
from wagtailkeel_protocol.messages import DumpReply
from wagtailkeel_protocol.messages import DumpRequest
from wagtailkeel_protocol.messages import HeartbeatAck
from wagtailkeel_protocol.messages import VersionHint
from wagtailkeel_protocol.packet import parse_flow_key
from wagtailkeel_state.balancer_member import BalancerMember
from wagtailkeel_transport import UdpEndpoint
from wagtailkeel_transport import clock
from wagtailkeel_transport.methods import DUMP
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.rpc import RpcClient
from wagtailkeel_transport.rpc import RpcServer

if TYPE_CHECKING:
    from anyio.abc import TaskStatus

    from wagtailkeel.settings import BalancerSettings
    from wagtailkeel.settings import Settings
    from wagtailkeel_state.configuration import Configuration


class Balancer:
    """Forwards each packet from the fabric to the owner of the packet's bucket."""

    def __init__(self, settings: Settings, section: BalancerSettings) -> None:
        self.metrics = Metrics()
        self.store = ConfigurationStore()
        self._instance = settings.instance
        self._section = section
        self._balancer_id = settings.balancer_id
        self._endpoint = UdpEndpoint(settings.instance.listen_host, section.port)
        self._fabric_endpoint = UdpEndpoint(settings.instance.listen_host, section.fabric_port)
        self._rpc_client = RpcClient(settings.instance.listen_host)
        self._routes_by_endpoint: dict[bytes, ServiceRoute] = {}
        self._route_versions_by_service: dict[str, tuple[int, int, int]] = {}
        self._table_builder = TableBuilder(
            settings.instance.data_centre, without_quotas=settings.instance.stateless
        )
        self._forwarded_packets = 0
        self._configuration_changed = anyio.Event()
        self._routes_built = anyio.Event()
        self.store.subscribe(self._on_configuration)
        address_book = AddressBook.from_settings(settings, self.store)
        self._link = NodeLink(
            settings.balancer_id,
            address_book,
            self.store,
            self._endpoint,
            RpcCaller(address_book, self._rpc_client),
            self._build_announcement,
            self.metrics,
        )

    @classmethod
    def from_settings(cls, settings: Settings) -> Balancer:
        """Build the role and bind its UDP sockets."""
        assert settings.balancer is not None, "the settings must have a balancer section"
        return cls(settings, settings.balancer)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled."""
        server = RpcServer({DUMP: self._dump, PULL: self.store.handle_pull})
        await server.start(self._instance.listen_host, self._section.rpc_port)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._endpoint.receive, self._on_datagram)
                tasks.start_soon(self._fabric_endpoint.receive, self._on_packet)
                tasks.start_soon(self._refresh_forever)
                tasks.start_soon(self._link.run)
                await self._link.is_joined.wait()
                # Not ready before the routes of the version with this balancer's join are built.
                self._configuration_changed.set()
                await self._routes_built.wait()
                task_status.started()
        finally:
            self._fabric_endpoint.close()
            self._endpoint.close()
            self._rpc_client.close()
            with anyio.CancelScope(shield=True):
                await server.close()

    async def stop(self) -> None:
        """Do nothing: a balancer has no state to hand over."""

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

    # Packets

    def _on_packet(self, packet: bytes) -> None:
        key = parse_flow_key(packet)
        if isinstance(key, Malformed):
            self.metrics.counters[f"dropped_{key.value}"] += 1
            return
        if len(key) == IPV4_KEY_BYTES:
            route = self._routes_by_endpoint.get(key[4:8] + key[10:])
            prefix = GUE_PREFIX_IPV4
        else:
            route = self._routes_by_endpoint.get(endpoint_of(key))
            prefix = GUE_PREFIX_IPV6
        if route is None:
            self.metrics.counters["dropped_unknown_class"] += 1
            return
        if not route.addresses:
            self.metrics.counters["dropped_no_server"] += 1
            return
        bucket = xxhash.xxh3_64_intdigest(key) % len(route.positions)
        address = route.addresses[route.positions[bucket]]
        if address is None:
            self.metrics.counters["dropped_no_server"] += 1
            return
        self._endpoint.send(prefix + ENCODED_BUCKETS[bucket] + route.gue_suffix + packet, address)
        self._forwarded_packets += 1

    # Configuration

    def _on_configuration(self, config: Configuration) -> None:
        self._configuration_changed.set()

    async def _refresh_forever(self) -> None:
        while True:
            await self._configuration_changed.wait()
            self._configuration_changed = anyio.Event()
            config = self.store.configuration
            # Removed servers get no packets while the new tables are built.
            self._refresh_routes(config)
            await self._table_builder.refresh(config, list(config.services_by_name))
            self._refresh_routes(config)
            if self._link.is_joined.is_set():
                self._routes_built.set()

    def _refresh_routes(self, config: Configuration) -> None:
        """Rebuild the routes of services whose table, members or classes have changed."""
        for name, table in self._table_builder.tables_by_service.items():
            service = config.services_by_name[name]
            version = (service.table_epoch, table.epoch, len(service.classes_by_name))
            if self._route_versions_by_service.get(name) == version:
                continue
            self._route_versions_by_service[name] = version
            route = ServiceRoute.from_table(table, config)
            for traffic_class in service.classes_by_name.values():
                key = endpoint_key(
                    service.address, traffic_class.port, traffic_class.protocol.number
                )
                self._routes_by_endpoint[key] = route

    # Messages

    def _on_datagram(self, datagram: bytes) -> None:
        message = decode_datagram(datagram)
        if isinstance(message, Malformed):
            self.metrics.counters[f"dropped_{message.value}"] += 1
            return
        self.metrics.counters["control_bytes_received"] += len(datagram)
        self._on_message(message)

    @singledispatchmethod
    def _on_message(self, message: Datagram) -> None:
        self.metrics.counters["dropped_unexpected_message"] += 1

    @_on_message.register
    def _(self, message: HeartbeatAck) -> None:
        self._link.on_ack(message)

    @_on_message.register
    def _(self, message: VersionHint) -> None:
        self._link.on_version_hint(message)

    async def _dump(self, request: DumpRequest) -> DumpReply:
        self.metrics.counters["packets_forwarded"] = self._forwarded_packets
        return build_dump(
            {
                "role": "balancer",
                "instance": self._balancer_id,
                "data_centre": self._instance.data_centre,
                "boot_id": self._link.boot_id,
                "version": self.store.version,
                "control_silent_s": clock.seconds() - self._link.acknowledged_at,
                "epochs_by_service": {
                    name: table.epoch
                    for name, table in self._table_builder.tables_by_service.items()
                },
                "send_failures": self._endpoint.send_failures,
                "metrics": self.metrics.dump(),
            }
        )
