"""Simulation of one service in virtual time: callers, a balancer, agents and servers."""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import xxhash

from wagtailkeel_bench.event_scheduler import EventScheduler
from wagtailkeel_bench.load_model.model_callers import ModelCallers
from wagtailkeel_bench.load_model.model_server import FIRST_ROUTE_PORT
from wagtailkeel_bench.load_model.model_server import ModelServer
from wagtailkeel_bench.load_model.results import Results
from wagtailkeel_coordination.events import UNLOGGED
from wagtailkeel_coordination.handshake import AgentRouter
from wagtailkeel_coordination.handshake import BalancerRouter
from wagtailkeel_coordination.handshake import ColdLimit
from wagtailkeel_coordination.handshake import Member
from wagtailkeel_coordination.handshake import SampleSize
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_coordination.handshake import ServerReport
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import LoadRequest
from wagtailkeel_protocol.packet_format import IpPacketFormat
from wagtailkeel_state.routing import Route
from wagtailkeel_state.routing import RoutingDocument
from wagtailkeel_state.routing import ServicePolicy
from wagtailkeel_state.routing import WeightedService

if TYPE_CHECKING:
    from wagtailkeel_bench.load_model.load import Load
    from wagtailkeel_bench.load_model.policy import Policy
    from wagtailkeel_protocol.messages import AnyDatagram

Address = tuple[str, int]

SERVICE = "service"
ROUTE_ADDRESS = "198.18.0.1"
PEER_PORT = 7_001
CALLER_DELAY_S = 0.001
PEER_DELAY_S = 0.0005
REMOTE_PEER_DELAY_S = 0.0009
EVERY_AGENT = SampleSize(local=10_000, remote=10_000, limit=20_000)
LOAD_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 2.5
QUEUE_SAMPLE_INTERVAL_S = 0.01


class ModelAgent:
    """The router of an agent with its backend server; implements the relay outbox."""

    def __init__(self, site: ModelSite, number: int, load: Load, policy: Policy) -> None:
        self.address = (f"10.0.{number // 250}.{number % 250 + 1}", PEER_PORT)
        self.data_centre = f"centre-{number % load.data_centres}"
        self.server = ModelServer(
            load,
            load.server_speeds[number],
            site.scheduler,
            Random(f"{site.seed}/server/{number}"),
            self._on_server_packet,
            has_fault=load.server_fault is not None and number < load.server_fault.servers,
        )
        self.counters: Counter[str] = Counter()
        self._site = site
        self._report_sequence = 0
        self._load = load
        self.router = AgentRouter(
            self.address,
            self.data_centre,
            IpPacketFormat(),
            ServerGate(SERVICE, REPORT_TIMEOUT_S, ColdLimit(slack=load.cold_openings_per_s), 0.0),
            self,
            Random(f"{site.seed}/agent/{number}"),
            self.counters,
            UNLOGGED,
            lambda response_s: None,
            lambda since: True,
            0.0,
            policy.choose,
            policy.sample_size or EVERY_AGENT,
            policy.options,
        )

    def send_report(self) -> None:
        """Pass a status report of the healthy server to the router."""
        self._report_sequence += 1
        now = self._site.scheduler.now
        cold_for_s = max(0.0, self._load.cold_s - now) if self._load.cold_openings_per_s else 0.0
        report = ServerReport(
            self.address[0],
            SERVICE,
            1,
            self._report_sequence,
            self._load.slots,
            cold_for_s=cold_for_s,
        )
        self.router.on_report(report, now)

    def _on_server_packet(self, packet: bytes) -> None:
        self.router.on_server_packet(packet, self._site.scheduler.now)

    def deliver(self, packet: bytes) -> None:
        """Deliver a packet to the agent's backend server."""
        self.server.on_packet(packet)

    def reply(self, packet: bytes, caller_host: str) -> None:
        """Send a packet to its caller."""
        self._site.scheduler.call_later(
            CALLER_DELAY_S, partial(self._site.callers.on_packet, packet)
        )

    def relay(
        self,
        address: Address,
        kind: relay.RelayKind,
        hops: int,
        routing_version: int,
        service_tag: int,
        body: bytes,
    ) -> None:
        """Send a frame to another agent."""
        frame = relay.encode_relay(kind, hops, routing_version, service_tag, body)
        self._site.send_frame(frame, address, self.address)

    def send_message(self, address: Address, message: AnyDatagram) -> None:
        """Request the load of another agent; owners do not change, so no copies are exchanged."""
        if isinstance(message, LoadRequest):
            self._site.request_load(self, address)


class ModelSite:
    """The callers, a balancer in each data centre, the agents and the delays of one simulation."""

    def __init__(self, load: Load, policy: Policy, seed: int, results: Results) -> None:
        self.seed = seed
        self.scheduler = EventScheduler()
        self._load = load
        self._policy = policy
        self._results = results
        self._agents = [
            ModelAgent(self, number, load, policy) for number in range(len(load.server_speeds))
        ]
        self._agents_by_address = {agent.address: agent for agent in self._agents}
        self._balancers = [self._build_balancer() for _ in range(load.data_centres)]
        self.callers = ModelCallers(
            load,
            bytes((198, 18, 0, 1)),
            self.scheduler,
            Random(f"{seed}/callers"),
            self._on_caller_packet,
            self._has_idle_server,
            results,
        )
        self._set_up()

    def _build_balancer(self) -> BalancerRouter:
        return BalancerRouter(
            IpPacketFormat(),
            lambda frame, address: self.send_frame(frame, address, ("", 0)),
            lambda packet, host: self.callers.on_packet(packet),
            Counter(),
            UNLOGGED,
            lambda: True,
        )

    def _build_route(self, index: int) -> Route:
        request_class = self._load.request_classes[index]
        return Route(
            ROUTE_ADDRESS,
            FIRST_ROUTE_PORT + index,
            (WeightedService(SERVICE, 1),),
            target_s=request_class.target_s if self._policy.has_queue_limit else 0.0,
            priority=request_class.priority,
            timeout_s=request_class.timeout_s,
            is_idempotent=request_class.is_idempotent,
        )

    def _set_up(self) -> None:
        routes = [self._build_route(index) for index in range(len(self._load.request_classes))]
        policies = {SERVICE: ServicePolicy(SERVICE)}
        document = RoutingDocument(1, {route.place: route for route in routes}, policies)
        for number, balancer in enumerate(self._balancers):
            local_agents = self._agents[number :: self._load.data_centres]
            balancer.apply_routing(document)
            balancer.owners.update([agent.address for agent in local_agents])
        members = {agent.address: Member(SERVICE, agent.data_centre) for agent in self._agents}
        for agent in self._agents:
            agent.router.apply_routing(document)
            agent.router.set_peers(members, frozenset())
        self._send_reports_forever()
        self._send_loads_forever()
        self._sample_queues_forever()

    def _has_idle_server(self) -> bool:
        """Return whether a server that accepts openings has an idle slot."""
        return self._count_idle_slots() > 0

    def _count_idle_slots(self) -> int:
        if not self.are_agents_running:
            return 0
        now = self.scheduler.now
        return sum(a.server.idle_slots for a in self._agents if a.router.gate.accepts(now))

    @property
    def are_agents_running(self) -> bool:
        """Return whether the agents have started."""
        return self.scheduler.now >= self._load.agents_start_s

    def _sample_queues_forever(self) -> None:
        queued = sum(agent.server.queued for agent in self._agents)
        misplaced = min(queued, self._count_idle_slots())
        self._results.idle_while_queued_s += misplaced * QUEUE_SAMPLE_INTERVAL_S
        self.scheduler.call_later(QUEUE_SAMPLE_INTERVAL_S, self._sample_queues_forever)

    def _send_reports_forever(self) -> None:
        for agent in self._agents:
            agent.send_report()
        self.scheduler.call_later(REPORT_INTERVAL_S, self._send_reports_forever)

    def _send_loads_forever(self) -> None:
        now = self.scheduler.now
        for agent in self._agents:
            agent.router.tick(now)
            if self._policy.sample_size is None:
                self._report_to_all(agent, now)
        self.scheduler.call_later(LOAD_INTERVAL_S, self._send_loads_forever)

    def _report_to_all(self, agent: ModelAgent, now: float) -> None:
        load = agent.router.build_load(now)
        for other in self._agents:
            self._results.load_messages += 1
            other.router.on_load(load, agent.address, now)

    def request_load(self, requester: ModelAgent, address: Address) -> None:
        """Answer an agent's request for the load of another agent after the network delays."""
        agent = self._agents_by_address[address]
        delay_s = _peer_delay_s(requester, agent)
        self._results.load_messages += 2
        self.scheduler.call_later(delay_s, lambda: self._answer(requester, agent, delay_s))

    def _answer(self, requester: ModelAgent, agent: ModelAgent, delay_s: float) -> None:
        load = agent.router.build_load(self.scheduler.now)
        self.scheduler.call_later(
            delay_s,
            lambda: requester.router.on_load(load, agent.address, self.scheduler.now),
        )

    def _on_caller_packet(self, packet: bytes, data_centre: int | None) -> None:
        key = ip.parse_flow_key(packet)
        assert isinstance(key, bytes), "the model must send only complete packets"
        self._results.openings += bool(ip.tcp_flags(packet) & ip.SYN)
        if data_centre is None:
            data_centre = xxhash.xxh3_64_intdigest(key) % len(self._balancers)
        balancer = self._balancers[data_centre]
        self.scheduler.call_later(CALLER_DELAY_S, partial(balancer.on_packet, packet))

    def send_frame(self, frame: bytes, address: Address, source: Address) -> None:
        """Deliver a frame to an agent after the network delay between two nodes."""
        decoded = relay.decode_relay(frame)
        assert not isinstance(decoded, Malformed), "the model must send only complete frames"
        if not self.are_agents_running:
            return
        agent = self._agents_by_address[address]
        sender = self._agents_by_address.get(source)
        self.scheduler.call_later(
            _peer_delay_s(sender, agent),
            lambda: agent.router.on_frame(decoded, source, self.scheduler.now),
        )

    def run(self) -> list[float]:
        """Run the load to its end; return the work time of each server in seconds."""
        self.callers.start()
        self.scheduler.run_until(self._load.duration_s)
        for agent in self._agents:
            self._results.counters += agent.counters
        return [agent.server.busy_s for agent in self._agents]


def _peer_delay_s(sender: ModelAgent | None, receiver: ModelAgent) -> float:
    is_local = sender is None or sender.data_centre == receiver.data_centre
    return PEER_DELAY_S if is_local else REMOTE_PEER_DELAY_S


def simulate(load: Load, policy: Policy, seed: int) -> Results:
    """Simulate a load under a policy; equal seeds give equal results."""
    results = Results(load)
    results.work_s_by_server = ModelSite(load, policy, seed, results).run()
    return results
