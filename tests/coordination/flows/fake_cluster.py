"""Flow routers on a simulated clock, lossy network, replicated log and backend servers."""

from __future__ import annotations

from collections import Counter
from random import Random

import msgspec

from wagtailkeel_coordination import AgentIdentity
from wagtailkeel_coordination import FlowRouter
from wagtailkeel_coordination import PlacementLease
from wagtailkeel_coordination.flows.round_trip_probe import PROBE_SOURCE_IPV4
from wagtailkeel_coordination.lease import LEASE_S
from wagtailkeel_coordination.lease import REMOVAL_TIMEOUT_S
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.flow_key import endpoint_key
from wagtailkeel_protocol.flow_key import hash_flow
from wagtailkeel_protocol.gue import DataFrame
from wagtailkeel_protocol.messages import AnyDatagram
from wagtailkeel_protocol.packet_builder import build_reset
from wagtailkeel_protocol.packet_builder import build_tcp
from wagtailkeel_protocol.packet_builder import build_udp
from wagtailkeel_state import Configuration
from wagtailkeel_state import FlowProtocol
from wagtailkeel_state import LogEntry
from wagtailkeel_state import OwnerTable
from wagtailkeel_state import ServerMember
from wagtailkeel_state import Target
from wagtailkeel_state import apply_entry
from wagtailkeel_state.commands import AnyCommand
from wagtailkeel_state.commands import CreateClass
from wagtailkeel_state.commands import CreateService
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import RemoveServer

SERVICE = "desk"
ADDRESS = "10.90.0.1"
REPORT_PORT = 20_000
FEED_PORT = 20_001
BUCKETS = 8
MAX_DELAY_S = 2.0


def data_centre_of(server_id: str) -> str:
    """Return the data centre of a server: each has its own, all in one region."""
    return f"dc-{server_id}"


def flow_key(number: int, *, is_tcp: bool) -> bytes:
    """Return the flow key of a caller's flow to the report (UDP) or feed (TCP) class."""
    port, protocol = (FEED_PORT, ip.TCP) if is_tcp else (REPORT_PORT, ip.UDP)
    target = endpoint_key(ADDRESS, port, protocol)
    return bytes([10, 1, 0, 1]) + target[:4] + number.to_bytes(2, "big") + target[4:]


class Envelope(msgspec.Struct):
    """A message, frame or server packet in flight to an agent."""

    to: str
    body: object
    sent_at: float


class FakeServer:
    """A backend server that tracks its connections, as a kernel does, and answers packets."""

    def __init__(self) -> None:
        self.connections: set[bytes] = set()
        self.starts: Counter[bytes] = Counter()
        self.unknown_packets = 0

    def answer(self, packet: bytes) -> bytes | None:
        """Return the reply to a packet; RST for an unknown connection."""
        key = ip.parse_flow_key(packet)
        assert isinstance(key, bytes)
        reverse = ip.reverse_key(key)
        if key[-1] == ip.UDP:
            self.starts[key] += 1
            return build_udp(reverse, b"answer")
        flags = ip.tcp_flags(packet)
        if flags & ip.SYN:
            self.connections.add(key)
            self.starts[key] += 1
            return build_tcp(reverse, 1, 1, ip.SYN | ip.ACK)
        if key not in self.connections:
            self.unknown_packets += not key.startswith(PROBE_SOURCE_IPV4)
            return build_reset(packet)
        return build_tcp(reverse, 1, 1, ip.ACK)


class FakeNode:
    """One agent: its router, lease and copy of the configuration."""

    def __init__(self, cluster: FakeCluster, server_id: str, boot_id: int) -> None:
        self.cluster = cluster
        self.server_id = server_id
        self.boot_id = boot_id
        self.lease = PlacementLease()
        self.config = Configuration()
        self.counters: Counter[str] = Counter()
        self.router = FlowRouter(
            AgentIdentity(server_id, SERVICE, data_centre_of(server_id), 2, boot_id),
            self,
            self,
            self.lease,
            Random(1),
            self.counters,
            lambda response_s: None,
            cluster.now,
        )

    def deliver(self, packet: bytes) -> None:
        """Deliver a packet to the local backend server; its reply is put in flight at once."""
        self.cluster.on_delivery(self, packet)

    def reply(self, packet: bytes) -> None:
        """Record a packet to a caller."""
        self.cluster.on_reply(packet)

    def forward(self, server_id: str, frame: DataFrame) -> None:
        """Send a frame over the simulated network."""
        self.cluster.in_flight.append(Envelope(server_id, frame, self.cluster.now))

    def send(self, instance_id: str, message: AnyDatagram) -> None:
        """Send a message over the simulated network."""
        self.cluster.in_flight.append(Envelope(instance_id, message, self.cluster.now))

    def update(self) -> None:
        """Apply the newest configuration."""
        encoded = msgspec.msgpack.encode(self.cluster.config)
        self.config = msgspec.msgpack.decode(encoded, type=Configuration)
        epoch = self.config.services_by_name[SERVICE].table_epoch
        table = OwnerTable.build(epoch, self.config.table_shares(SERVICE, "home"), BUCKETS)
        self.router.apply_configuration(self.config, table, self.cluster.now)


class FakeCluster:
    """Runs routers against one replicated log; all randomness comes from the test."""

    def __init__(self, server_ids: list[str]) -> None:
        self.now = 1_000.0
        self.config = Configuration()
        self.in_flight: list[Envelope] = []
        self.servers_by_id = {server_id: FakeServer() for server_id in server_ids}
        self.nodes_by_id: dict[str, FakeNode] = {}
        self.superseded_nodes: list[FakeNode] = []
        self.refused: set[bytes] = set()
        self.partitioned_from_control: set[str] = set()
        self.resets: Counter[bytes] = Counter()
        self.replies: Counter[bytes] = Counter()
        self.last_contact_at_by_id: dict[str, float] = {}
        self._boot_id = 0
        for server_id in server_ids:
            self.log(DefineDataCentre(name=data_centre_of(server_id), region="home"))
        self.log(CreateService(name=SERVICE, address=ADDRESS))
        self.config.services_by_name[SERVICE].bucket_count = BUCKETS
        self._create_classes()
        for server_id in server_ids:
            self.boot(server_id)

    def _create_classes(self) -> None:
        report = Target.parse("p99<500ms")
        feed = Target.parse("held<2000")
        self.log(
            CreateClass(
                service=SERVICE,
                name="report",
                protocol=FlowProtocol.UDP,
                target=report,
                port=REPORT_PORT,
                is_idempotent=False,
            )
        )
        self.log(
            CreateClass(
                service=SERVICE,
                name="feed",
                protocol=FlowProtocol.TCP,
                target=feed,
                port=FEED_PORT,
                is_idempotent=False,
                idle_limit_s=3_600.0,
            )
        )

    def log(self, command: AnyCommand) -> None:
        """Commit a command to the log."""
        apply_entry(self.config, LogEntry(self.config.index + 1, 1, command))

    def boot(self, server_id: str, *, keeps_running: bool = False) -> FakeNode:
        """Start an agent's next incarnation; its backend server keeps running.

        With ``keeps_running``, the previous incarnation continues too, behind a network partition
        and unaware of its successor.
        """
        self._boot_id += 1
        earlier = self.nodes_by_id.get(server_id)
        if earlier is not None and keeps_running:
            self.superseded_nodes.append(earlier)
        node = FakeNode(self, server_id, self._boot_id)
        self.nodes_by_id[server_id] = node
        self.last_contact_at_by_id[server_id] = self.now
        data_centre = data_centre_of(server_id)
        member = ServerMember(server_id, SERVICE, data_centre, "127.0.0.1", 1, 2, self._boot_id, 2)
        self.log(JoinServer(member=member))
        node.update()
        return node

    # Packets to servers and callers

    def on_delivery(self, node: FakeNode, packet: bytes) -> None:
        """Send the server's answer to a packet to its agent."""
        answer = self.servers_by_id[node.server_id].answer(packet)
        if answer is not None:
            self.in_flight.append(Envelope(node.server_id, answer, self.now))

    def on_reply(self, packet: bytes) -> None:
        """Record a packet to a caller: a refusal, a reset or a reply."""
        if packet[9] == ip.ICMP:
            quoted = packet[28:]
            self.refused.add(quoted[12:24] + quoted[9:10])
            return
        key = ip.parse_flow_key(packet)
        assert isinstance(key, bytes)
        is_reset = key[-1] == ip.TCP and ip.tcp_flags(packet) & ip.RST
        counts = self.resets if is_reset else self.replies
        counts[ip.reverse_key(key)] += 1

    def servers_of(self, key: bytes) -> list[str]:
        """Return the servers that a first packet of the flow has reached."""
        return [name for name, server in self.servers_by_id.items() if server.starts[key]]

    # Actions of a test

    def inject(self, server_id: str, packet: bytes) -> None:
        """Pass a caller's packet to an agent, as a balancer with any owner table may do."""
        key = ip.parse_flow_key(packet)
        assert isinstance(key, bytes)
        frame = DataFrame(packet, hash_flow(key) % BUCKETS, 0)
        self.nodes_by_id[server_id].router.on_frame(frame, self.now)

    def deliver(self, position: int, *, keeps_copy: bool = False) -> None:
        """Deliver one envelope in flight; with ``keeps_copy``, leave a duplicate in flight."""
        envelope = self.in_flight[position] if keeps_copy else self.in_flight.pop(position)
        node = self.nodes_by_id.get(envelope.to)
        if node is None:
            return
        if isinstance(envelope.body, bytes):
            node.router.on_server_packet(envelope.body, self.now)
        elif isinstance(envelope.body, DataFrame):
            node.router.on_frame(envelope.body, self.now)
        else:
            node.router.on_message(envelope.body, self.now)

    def settle(self, seconds: float) -> None:
        """Advance the clock with a lossless network and all nodes up to date.

        Nodes in ``partitioned_from_control`` get no configuration and send no heartbeats.
        """
        end = self.now + seconds
        while self.now < end:
            for node in self.nodes_by_id.values():
                if node.server_id in self.partitioned_from_control:
                    continue
                self.heartbeat(node)
                if node.config.index < self.config.index:
                    node.update()
            self.advance(0.05)
            while self.in_flight:
                self.deliver(0)

    def advance(self, seconds: float) -> None:
        """Advance the clock: run timers, drop old envelopes, remove agents without heartbeats."""
        self.now += seconds
        self.in_flight = [e for e in self.in_flight if self.now - e.sent_at < MAX_DELAY_S]
        for server_id, last_contact_at in list(self.last_contact_at_by_id.items()):
            member = self.config.servers_by_id.get(server_id)
            if member is not None and self.now - last_contact_at > REMOVAL_TIMEOUT_S:
                self.log(RemoveServer(server_id=server_id, boot_id=member.boot_id))
        for node in [*self.nodes_by_id.values(), *self.superseded_nodes]:
            node.router.tick(self.now)

    def remove(self, server_id: str) -> None:
        """Remove an agent from the members while it keeps running."""
        boot_id = self.config.servers_by_id[server_id].boot_id
        self.log(RemoveServer(server_id=server_id, boot_id=boot_id))

    def heartbeat(self, node: FakeNode) -> None:
        """Process a heartbeat at once; a removed agent starts its next incarnation instead."""
        member = self.config.servers_by_id.get(node.server_id)
        if member is None or member.boot_id != node.boot_id:
            if self.nodes_by_id.get(node.server_id) is node:
                self.boot(node.server_id)
            return
        self.last_contact_at_by_id[node.server_id] = self.now
        if node.config.index >= self.config.services_by_name[SERVICE].table_epoch:
            node.lease.renew(self.now, LEASE_S)

    def gossip(self) -> None:
        """Send every agent the load of all others."""
        for node in self.nodes_by_id.values():
            for peer in self.nodes_by_id.values():
                if peer is not node:
                    node.router.peers.update(peer.server_id, peer.router.load, self.now)

    # Invariants

    def placing_authorities(self, bucket: int) -> list[str]:
        """Return the agents that may place a bucket's flows of non-idempotent classes."""
        return [
            node.server_id
            for node in [*self.nodes_by_id.values(), *self.superseded_nodes]
            if node.router.authority.is_authority(bucket) and node.lease.is_valid(self.now)
        ]
