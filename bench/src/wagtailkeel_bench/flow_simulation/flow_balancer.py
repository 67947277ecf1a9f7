"""The balancers of the simulation, which may disagree on the owners of flows."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from wagtailkeel.roles.handshake.balancer import OWNER_REFRESH_INTERVAL_S
from wagtailkeel_bench.agent_simulation.simulated_agent import DATA_CENTRE
from wagtailkeel_coordination.events import UNLOGGED
from wagtailkeel_coordination.handshake import BalancerRouter
from wagtailkeel_coordination.handshake.server_choice import PeerLoads
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.messages import ServerLoad

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_bench.event_scheduler import EventScheduler
    from wagtailkeel_bench.flow_simulation.flow_control import FlowControl
    from wagtailkeel_bench.flow_simulation.flow_network import FlowNetwork
    from wagtailkeel_protocol.packet_format import PacketFormat

Address = tuple[str, int]

MAX_VIEW_AGE_S = 0.7
"""Balancers learn of changes within this time, each at its own."""


class FlowBalancer:
    """One balancer; it does not hear of agents until the times in ``deaf_until_by_agent``."""

    def __init__(
        self,
        address: Address,
        scheduler: EventScheduler,
        control: FlowControl,
        network: FlowNetwork,
        random: Random,
        packet_format: PacketFormat,
        send_to_caller: Callable[[bytes], None],
    ) -> None:
        self.deaf_until_by_agent: dict[Address, float] = {}
        self.address = address
        self._scheduler = scheduler
        self._control = control
        self._network = network
        self._random = random
        self._loads = PeerLoads()
        self._agents: set[Address] = set()
        self._router = BalancerRouter(
            packet_format,
            lambda frame, destination: network.send(frame, destination, address),
            lambda packet, host: network.send_to_caller(address, lambda: send_to_caller(packet)),
            Counter(),
            UNLOGGED,
            lambda: True,
        )
        network.attach(address, self._on_datagram)
        self._refresh_owners_forever()
        self._pull_forever()

    def on_packet(self, packet: bytes) -> None:
        """Forward a packet of a caller."""
        self._router.on_packet(packet)

    def _on_datagram(self, datagram: bytes, source: Address) -> None:
        message = decode_datagram(datagram)
        assert isinstance(message, ServerLoad), "agents send balancers only their loads"
        now = self._scheduler.now
        if now < self.deaf_until_by_agent.get(source, float("-inf")):
            return
        self._loads.on_load(source, DATA_CENTRE, message, now)
        if message.is_leaving:
            self._refresh_owners()

    def _refresh_owners_forever(self) -> None:
        self._refresh_owners()
        self._scheduler.call_later(OWNER_REFRESH_INTERVAL_S, self._refresh_owners_forever)

    def _refresh_owners(self) -> None:
        now = self._scheduler.now
        live_agents = {a for a in self._agents if self._loads.is_available(a, now)}
        self._router.owners.update(live_agents or self._agents)

    def _pull_forever(self) -> None:
        view = self._control.build_view()
        self._router.apply_routing(view.routing)
        self._agents = set(view.boot_ids_by_address)
        self._loads.retain(self._agents)
        self._refresh_owners()
        self._scheduler.call_later(self._random.uniform(0.0, MAX_VIEW_AGE_S), self._pull_forever)
