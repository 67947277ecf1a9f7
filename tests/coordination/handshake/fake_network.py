"""Agents and a balancer on an in-memory network; the servers hold flows and return packets."""

from __future__ import annotations

from collections import Counter
from collections import deque
from ipaddress import IPv4Address
from random import Random

import msgspec

from wagtailkeel_coordination.events import Event
from wagtailkeel_coordination.handshake import AgentRouter
from wagtailkeel_coordination.handshake import BalancerRouter
from wagtailkeel_coordination.handshake import ColdLimit
from wagtailkeel_coordination.handshake import Member
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_coordination.handshake import ServerReport
from wagtailkeel_coordination.handshake.router_options import DEFAULT_OPTIONS
from wagtailkeel_protocol import packet_format as packet_flags
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import AnyDatagram
from wagtailkeel_protocol.messages import FlowLocations
from wagtailkeel_protocol.messages import FlowQuery
from wagtailkeel_protocol.messages import FlowQueryReply
from wagtailkeel_protocol.messages import LoadRequest
from wagtailkeel_protocol.messages import LocationRequest
from wagtailkeel_protocol.messages import SearchReply
from wagtailkeel_protocol.messages import SearchRequest
from wagtailkeel_protocol.packet_format import PacketHeader
from wagtailkeel_state.routing import Route
from wagtailkeel_state.routing import RoutingDocument
from wagtailkeel_state.routing import ServicePolicy
from wagtailkeel_state.routing import WeightedService

Address = tuple[str, int]

DATA_CENTRE = "east"
DESK = "desk"
ARCHIVE = "archive"
DESK_ENDPOINT = b"\xc6\x12\x00\x01\x01\xbb"
SPLIT_ENDPOINT = b"\xc6\x12\x00\x01\x01\xbc"
REPORT_TIMEOUT_S = 2.0
TICK_INTERVAL_S = 0.05
UNLIMITED_QUERIES_PER_S = 1e9
MAX_EVENTS = 20_000


class FakePacket(msgspec.Struct, array_like=True):
    """A packet: its flow, its flags, the server that it acknowledges, and its data.

    ``attempt`` is 0 for the first transmission of an opening, and ``sequence`` is its initial
    sequence number.
    """

    key: bytes
    flags: int
    server: str = ""
    data: int = 0
    attempt: int = 0
    sequence: int = 0


class FakeFormat:
    """Implements PacketFormat on MessagePack."""

    def parse_inbound(self, packet: bytes) -> PacketHeader | Malformed:
        try:
            decoded = msgspec.msgpack.decode(packet, type=FakePacket)
        except msgspec.MsgspecError:
            return Malformed.UNDECODABLE
        return PacketHeader(
            decoded.key, decoded.flags, decoded.data, decoded.attempt, decoded.sequence
        )

    parse_outbound = parse_inbound

    def restore_bounced(self, packet: bytes) -> bytes:
        decoded = msgspec.msgpack.decode(packet, type=FakePacket)
        decoded.flags &= ~packet_flags.BOUNCED
        return msgspec.msgpack.encode(decoded)

    def build_refusal(self, packet: bytes) -> bytes | None:
        decoded = msgspec.msgpack.decode(packet, type=FakePacket)
        return msgspec.msgpack.encode(FakePacket(decoded.key, packet_flags.RESET))

    def endpoint_of(self, key: bytes) -> bytes:
        return key[-6:]

    def caller_host(self, key: bytes) -> str:
        return key[:-6].decode()

    def build_key(self, caller: Address, route: Address) -> bytes:
        return caller[0].encode() + IPv4Address(route[0]).packed + route[1].to_bytes(2, "big")


class FakeServer:
    """Holds flows; returns openings when it is full, and packets of flows that it does not hold."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.half_open: set[bytes] = set()
        self.open: set[bytes] = set()
        self.received: Counter[bytes] = Counter()
        self.openings: list[bytes] = []
        self.is_full = False
        self.resets_unknown = False

    def handle(self, packet: bytes) -> bytes | None:
        decoded = msgspec.msgpack.decode(packet, type=FakePacket)
        if decoded.flags & packet_flags.OPENING:
            return self._handle_opening(decoded)
        if decoded.key in self.half_open and decoded.server == self.name:
            self.half_open.discard(decoded.key)
            self.open.add(decoded.key)
        if decoded.key not in self.open and self.resets_unknown:
            return msgspec.msgpack.encode(FakePacket(decoded.key, packet_flags.RESET, self.name))
        if decoded.key not in self.open:
            return msgspec.msgpack.encode(_bounced(decoded))
        self.received[decoded.key] += 1
        if not decoded.data:
            return None
        return msgspec.msgpack.encode(FakePacket(decoded.key, packet_flags.ACK, self.name, 1))

    def _handle_opening(self, decoded: FakePacket) -> bytes:
        if self.is_full and decoded.key not in self.half_open:
            return msgspec.msgpack.encode(_bounced(decoded))
        self.openings.append(decoded.key)
        if decoded.key not in self.open:
            self.half_open.add(decoded.key)
        answer = FakePacket(decoded.key, packet_flags.OPENING | packet_flags.ACK, self.name)
        return msgspec.msgpack.encode(answer)


def _bounced(decoded: FakePacket) -> FakePacket:
    return FakePacket(
        decoded.key,
        decoded.flags | packet_flags.BOUNCED,
        decoded.server,
        decoded.data,
        decoded.attempt,
        decoded.sequence,
    )


class FakeNode:
    """One agent with its server; implements RelayOutbox."""

    def __init__(self, network: FakeNetwork, address: Address, service: str) -> None:
        self.address = address
        self.service = service
        self.server = FakeServer(address[0])
        self.counters: Counter[str] = Counter()
        self.is_up = True
        self.has_server = True
        self.report_count = 0
        self._network = network
        self.router = self._build_router()

    def _build_router(self) -> AgentRouter:
        return AgentRouter(
            self.address,
            DATA_CENTRE,
            FakeFormat(),
            ServerGate(self.service, REPORT_TIMEOUT_S, ColdLimit(), self._network.now),
            self,
            Random(self.address[0]),
            self.counters,
            self._network,
            lambda response_s: None,
            lambda since: self._network.is_control_reachable,
            self._network.now,
            options=self._network.options,
            search_queries_per_s=self._network.search_queries_per_s,
        )

    def restart(self, *, has_server: bool = True, reports: bool = True) -> None:
        """Restart the agent; its server continues and reports, or is no longer running."""
        self.router = self._build_router()
        self.is_up = True
        self.has_server = has_server
        if has_server and reports:
            self.report()

    def check_server(self) -> None:
        """Find out whether the server runs, if nothing was heard of it for long."""
        gate = self.router.gate
        if not self.has_server and gate.is_inactive and not gate.has_ended:
            self.router.on_absent_server(self._network.now)

    def lose_flows(self) -> None:
        """Let the server process end and another one start, which the agent notices."""
        self.server.half_open.clear()
        self.server.open.clear()
        self.router.held.on_server_ended()

    def report(
        self, *, is_draining: bool = False, has_left: bool = False, cold_for_s: float = 0.0
    ) -> None:
        self.report_count += 1
        report = ServerReport(
            f"server-{self.address[0]}",
            self.service,
            1,
            self.report_count,
            1,
            is_draining,
            has_left,
            cold_for_s,
        )
        self.router.on_report(report, self._network.now)

    def close_flow(self, key: bytes) -> None:
        """Let the server close a flow, as it does before it ends."""
        packet = FakePacket(key, packet_flags.FIN | packet_flags.ACK, self.server.name)
        self._on_server_packet(msgspec.msgpack.encode(packet))

    def deliver(self, packet: bytes) -> None:
        if not self.has_server:
            return
        answer = self.server.handle(packet)
        if answer is not None:
            self._network.schedule(lambda: self._on_server_packet(answer))

    def _on_server_packet(self, packet: bytes) -> None:
        if self.is_up:
            self.router.on_server_packet(packet, self._network.now)

    def reply(self, packet: bytes, caller_host: str) -> None:
        self._network.replies.append(msgspec.msgpack.decode(packet, type=FakePacket))

    def relay(
        self,
        address: Address,
        kind: relay.RelayKind,
        hops: int,
        routing_version: int,
        service_tag: int,
        body: bytes,
    ) -> None:
        frame = relay.encode_relay(kind, hops, routing_version, service_tag, body)
        self._network.send(frame, address, self.address)

    def send_message(self, address: Address, message: AnyDatagram) -> None:
        self._network.send_message(address, message, self)

    def forget_pointers(self) -> None:
        for key in list(self.router.pointers.by_key):
            self.router.pointers.remove(key)


class FakeNetwork:
    """Delivers frames in order; time advances only by :meth:`pass_time`.

    While ``is_control_reachable`` is false, control confirms neither the members to the agents nor
    the routing document to the balancer. ``removed`` are agents that control has removed.
    """

    def __init__(
        self,
        services: list[str],
        *,
        cold_starts_per_s: float = 0.0,
        options: RouterOptions = DEFAULT_OPTIONS,
        search_queries_per_s: float = UNLIMITED_QUERIES_PER_S,
    ) -> None:
        self.now = 100.0
        self.options = options
        self.search_queries_per_s = search_queries_per_s
        self.replies: list[FakePacket] = []
        self.events: list[Event] = []
        self.is_control_reachable = True
        self.removed: set[Address] = set()
        self.cold_starts_per_s = cold_starts_per_s
        self.messages: Counter[type[AnyDatagram]] = Counter()
        self.frames: Counter[relay.RelayKind] = Counter()
        self._scheduled: deque[object] = deque()
        self.nodes: dict[Address, FakeNode] = {}
        for number, service in enumerate(services):
            address = (f"10.0.0.{number + 1}", 7_001)
            self.nodes[address] = FakeNode(self, address, service)
        self.counters: Counter[str] = Counter()
        self.balancer = BalancerRouter(
            FakeFormat(),
            lambda frame, address: self.send(frame, address, ("10.0.9.9", 7_001)),
            lambda packet, host: self.replies.append(
                msgspec.msgpack.decode(packet, type=FakePacket)
            ),
            self.counters,
            self,
            lambda: self.is_control_reachable,
        )
        for node in self.nodes.values():
            # All agents have started before their servers.
            node.router.on_absent_server(self.now)
            node.report()
        self.apply_routing(self.document(1))
        self.share_state()

    def emit(self, event: Event) -> None:
        self.events.append(event)

    def document(
        self, version: int, *, has_desk: bool = True, weight: int = 1, target_s: float = 0.0
    ) -> RoutingDocument:
        routes = [
            Route("198.18.0.1", 444, (WeightedService(DESK, 1), WeightedService(ARCHIVE, weight)))
        ]
        if has_desk:
            routes.append(Route("198.18.0.1", 443, (WeightedService(DESK, 1),), target_s=target_s))
        policies = [ServicePolicy(name, self.cold_starts_per_s) for name in (DESK, ARCHIVE)]
        return RoutingDocument(
            version,
            {route.place: route for route in routes},
            {policy.name: policy for policy in policies},
            60.0,
        )

    def apply_routing(self, document: RoutingDocument) -> None:
        self.balancer_document = document
        self.balancer.apply_routing(document)
        for node in self.nodes.values():
            node.router.apply_routing(document)

    def share_state(self) -> None:
        """Share the members among the agents, and set those that run as owners."""
        self.share_members()
        self.balancer.owners.update([node.address for node in self.nodes.values() if node.is_up])

    def share_members(self) -> None:
        """Give every agent the list of members."""
        for node in self.nodes.values():
            members = {
                address: Member(other.service, DATA_CENTRE)
                for address, other in self.nodes.items()
                if address not in self.removed
            }
            node.router.set_peers(members, frozenset(self.removed))

    def send_message(self, address: Address, message: AnyDatagram, sender: FakeNode) -> None:
        self.messages[type(message)] += 1
        self.schedule(lambda: self._receive_message(address, message, sender))

    def _receive_message(self, address: Address, message: AnyDatagram, sender: FakeNode) -> None:
        node = self.nodes.get(address)
        if node is None or not node.is_up or not sender.is_up:
            return
        if isinstance(message, LoadRequest):
            sender.router.on_load(node.router.build_load(self.now), address, self.now)
        elif isinstance(message, LocationRequest):
            node.router.on_location_request(message, sender.address, self.now)
        elif isinstance(message, FlowLocations):
            node.router.on_locations(message, self.now)
        elif isinstance(message, FlowQuery):
            node.router.on_flow_query(message, sender.address, self.now)
        elif isinstance(message, FlowQueryReply):
            node.router.on_flow_query_reply(message, sender.address, self.now)
        elif isinstance(message, SearchRequest):
            node.router.on_search_request(message, sender.address, self.now)
        elif isinstance(message, SearchReply):
            node.router.on_search_reply(message, self.now)

    @property
    def load_requests(self) -> int:
        return self.messages[LoadRequest]

    def remove(self, node: FakeNode) -> None:
        """Let control remove a member that it cannot reach."""
        self.removed.add(node.address)
        self.share_members()

    def pass_time(self, seconds: float) -> None:
        """Advance time, let all servers report, share the members, and run the agents' timers."""
        self.now += seconds
        for node in self.nodes.values():
            report = node.router.gate.report
            if not node.has_server or (report is not None and report.has_left):
                continue
            node.report(is_draining=report is not None and report.is_draining)
        self.share_members()
        self._run_timers()

    def _run_timers(self) -> None:
        for node in self.nodes.values():
            if node.is_up:
                node.router.tick(self.now)
                node.check_server()
        self.run()

    def schedule(self, callback: object) -> None:
        self._scheduled.append(callback)

    def send(self, frame: bytes, address: Address, source: Address) -> None:
        self.schedule(lambda: self._receive(frame, address, source))

    def _receive(self, frame: bytes, address: Address, source: Address) -> None:
        node = self.nodes.get(address)
        if node is None or not node.is_up:
            return
        decoded = relay.decode_relay(frame)
        assert not isinstance(decoded, Malformed)
        self.frames[decoded.kind] += 1
        node.router.on_frame(decoded, source, self.now)

    def run(self) -> None:
        for _ in range(MAX_EVENTS):
            if not self._scheduled:
                return
            callback = self._scheduled.popleft()
            assert callable(callback)
            callback()
        raise AssertionError("packets are forwarded in a loop")

    # Actions of a caller

    def send_packet(self, packet: FakePacket) -> list[FakePacket]:
        """Send one packet of a caller and return the replies."""
        self.replies.clear()
        self.balancer.on_packet(msgspec.msgpack.encode(packet))
        self.run()
        return list(self.replies)

    def open(
        self, name: str, endpoint: bytes = DESK_ENDPOINT, attempt: int = 0, sequence: int = 0
    ) -> str:
        """Open a flow; return the server's name, or "" if the opening was refused or dropped."""
        key = name.encode() + endpoint
        opening = FakePacket(key, packet_flags.OPENING, attempt=attempt, sequence=sequence)
        answers = self.send_packet(opening)
        return answers[0].server if answers else ""

    def request(self, name: str, server: str, endpoint: bytes = DESK_ENDPOINT) -> str:
        """Send data on a flow; return the name of the server that answers, or "" if none does."""
        key = name.encode() + endpoint
        answers = self.send_packet(FakePacket(key, packet_flags.ACK, server, 1))
        answers = [answer for answer in answers if not answer.flags & packet_flags.RESET]
        return answers[0].server if answers else ""

    def close(self, name: str, server: str, endpoint: bytes = DESK_ENDPOINT) -> None:
        """Let the caller close a flow."""
        key = name.encode() + endpoint
        self.send_packet(FakePacket(key, packet_flags.FIN | packet_flags.ACK, server))

    def advance(self, seconds: float) -> None:
        """Advance time and run the agents' timers as often as they do; no server reports."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + TICK_INTERVAL_S)
            self._run_timers()

    @property
    def resets(self) -> int:
        return sum(bool(answer.flags & packet_flags.RESET) for answer in self.replies)
