"""Simulation of one service in virtual time: callers, a balancer, agents and servers."""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from wagtailkeel_bench.load_model.model_callers import ModelCallers
from wagtailkeel_bench.load_model.model_server import ModelServer
from wagtailkeel_bench.load_model.results import Results
from wagtailkeel_bench.load_model.scheduler import EventScheduler
from wagtailkeel_coordination.events import UNLOGGED
from wagtailkeel_coordination.handshake import AgentRouter
from wagtailkeel_coordination.handshake import BalancerRouter
from wagtailkeel_coordination.handshake import ColdLimit
from wagtailkeel_coordination.handshake import ServerGate
from wagtailkeel_coordination.handshake import ServerReport
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.packet_format import IpPacketFormat
from wagtailkeel_state.routing import Route
from wagtailkeel_state.routing import RoutingDocument
from wagtailkeel_state.routing import ServicePolicy
from wagtailkeel_state.routing import WeightedService

if TYPE_CHECKING:
    from wagtailkeel_bench.load_model.load import Load
    from wagtailkeel_bench.load_model.policy import Policy

Address = tuple[str, int]

SERVICE = "service"
DATA_CENTRE = "east"
ROUTE_ADDRESS = "198.18.0.1"
ROUTE_PORT = 443
PEER_PORT = 7_001
CALLER_DELAY_S = 0.001
PEER_DELAY_S = 0.0005
LOAD_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 2.5


class ModelAgent:
    """The router of an agent with its backend server; implements the relay outbox."""

    def __init__(self, site: ModelSite, number: int, load: Load, policy: Policy) -> None:
        self.address = (f"10.0.0.{number + 1}", PEER_PORT)
        self.server = ModelServer(
            load,
            load.server_speeds[number],
            site.scheduler,
            Random(f"{site.seed}/server/{number}"),
            self._on_server_packet,
        )
        self._site = site
        self._report_sequence = 0
        self._slots = load.slots
        self.router = AgentRouter(
            self.address,
            DATA_CENTRE,
            IpPacketFormat(),
            ServerGate(SERVICE, REPORT_TIMEOUT_S, ColdLimit(), 0.0),
            self,
            Random(f"{site.seed}/agent/{number}"),
            Counter(),
            UNLOGGED,
            lambda response_s: None,
            lambda since: True,
            0.0,
            policy.choose,
        )

    def send_report(self) -> None:
        """Pass a status report of the healthy server to the router."""
        self._report_sequence += 1
        report = ServerReport(self.address[0], SERVICE, 1, self._report_sequence, self._slots)
        self.router.on_report(report, self._site.scheduler.now)

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


class ModelSite:
    """The callers, the balancer, the agents and the network delays of one simulation."""

    def __init__(self, load: Load, policy: Policy, seed: int, results: Results) -> None:
        self.seed = seed
        self.scheduler = EventScheduler()
        self._load = load
        self._agents = [
            ModelAgent(self, number, load, policy) for number in range(len(load.server_speeds))
        ]
        self._agents_by_address = {agent.address: agent for agent in self._agents}
        self._balancer = BalancerRouter(
            IpPacketFormat(),
            lambda frame, address: self.send_frame(frame, address, ("", 0)),
            lambda packet, host: self.callers.on_packet(packet),
            Counter(),
            UNLOGGED,
            lambda: True,
        )
        self.callers = ModelCallers(
            load,
            bytes((198, 18, 0, 1)) + ROUTE_PORT.to_bytes(2, "big"),
            self.scheduler,
            Random(f"{seed}/callers"),
            self._on_caller_packet,
            results,
        )
        self._set_up(load.target_s if policy.has_queue_limit else 0.0)

    def _set_up(self, target_s: float) -> None:
        route = Route(ROUTE_ADDRESS, ROUTE_PORT, (WeightedService(SERVICE, 1),), target_s=target_s)
        policies = {SERVICE: ServicePolicy(SERVICE)}
        document = RoutingDocument(1, {route.place: route}, policies)
        self._balancer.apply_routing(document)
        self._balancer.owners.update(list(self._agents_by_address))
        services = dict.fromkeys(self._agents_by_address, SERVICE)
        for agent in self._agents:
            agent.router.apply_routing(document)
            agent.router.set_peers(services, frozenset())
        self._send_reports_forever()
        self._send_loads_forever()

    def _send_reports_forever(self) -> None:
        for agent in self._agents:
            agent.send_report()
        self.scheduler.call_later(REPORT_INTERVAL_S, self._send_reports_forever)

    def _send_loads_forever(self) -> None:
        now = self.scheduler.now
        for agent in self._agents:
            agent.router.tick(now)
            load = agent.router.build_load(now)
            for other in self._agents:
                other.router.loads.on_load(agent.address, DATA_CENTRE, load, now)
        self.scheduler.call_later(LOAD_INTERVAL_S, self._send_loads_forever)

    def _on_caller_packet(self, packet: bytes) -> None:
        self.scheduler.call_later(CALLER_DELAY_S, partial(self._balancer.on_packet, packet))

    def send_frame(self, frame: bytes, address: Address, source: Address) -> None:
        """Deliver a frame to an agent after the network delay between two nodes."""
        decoded = relay.decode_relay(frame)
        assert not isinstance(decoded, Malformed), "the model must send only complete frames"
        agent = self._agents_by_address[address]
        self.scheduler.call_later(
            PEER_DELAY_S,
            lambda: agent.router.on_frame(decoded, source, self.scheduler.now),
        )

    def run(self) -> list[float]:
        """Run the load to its end; return the work time of each server in seconds."""
        self.callers.start()
        self.scheduler.run_until(self._load.duration_s)
        return [agent.server.busy_s for agent in self._agents]


def simulate(load: Load, policy: Policy, seed: int) -> Results:
    """Simulate a load under a policy; equal seeds give equal results."""
    results = Results(load)
    results.work_s_by_server = ModelSite(load, policy, seed, results).run()
    return results
