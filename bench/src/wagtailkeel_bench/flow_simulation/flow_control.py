"""Control in the simulation: it removes silent agents, and takes them back when they join."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_bench.agent_simulation.simulated_agent import DATA_CENTRE
from wagtailkeel_bench.agent_simulation.simulated_agent import SimulatedControl
from wagtailkeel_bench.agent_simulation.simulated_agent import build_routing
from wagtailkeel_coordination.handshake import Member
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.configuration import Configuration

if TYPE_CHECKING:
    from wagtailkeel_bench.event_scheduler import EventScheduler
    from wagtailkeel_state.routing import RoutingDocument
    from wagtailkeel_state.server_member import ServerMember

Address = tuple[str, int]

SILENCE_LIMIT_S = 2.5
SWEEP_INTERVAL_S = 0.1
IDLE_LIMIT_S = 15.0


class ControlView(msgspec.Struct, frozen=True):
    """What control tells an instance at one moment.

    ``membership`` has the members and former members of that moment, and nothing else.
    """

    membership: Configuration
    routing: RoutingDocument
    is_in_service: bool

    @property
    def members(self) -> dict[Address, Member]:
        """The members as the routers of agents see them."""
        (service,) = self.routing.policies_by_service
        return {address: Member(service, DATA_CENTRE) for address in self.boot_ids_by_address}

    @property
    def boot_ids_by_address(self) -> dict[Address, int]:
        """The incarnations of the members."""
        return {(m.host, m.port): m.boot_id for m in self.membership.servers_by_id.values()}


class FlowControl(SimulatedControl):
    """What control has committed, and when it heard of each agent last."""

    def __init__(self, scheduler: EventScheduler) -> None:
        super().__init__()
        self.routing = build_routing(1, IDLE_LIMIT_S)
        self._scheduler = scheduler
        self._heard_at_by_id: dict[str, float] = {}
        self._sweep_forever()

    def set_idle_limit(self, idle_limit_s: float) -> None:
        """Put another idle limit in force."""
        self.routing = build_routing(self.routing.version + 1, idle_limit_s)

    def on_heartbeat(self, agent_id: str) -> None:
        """Record that an agent is in contact."""
        self._heard_at_by_id[agent_id] = self._scheduler.now

    def on_leave(self, agent_id: str, boot_id: int) -> None:
        """Remove an agent whose server has ended."""
        self.propose(RemoveServer(server_id=agent_id, boot_id=boot_id, has_ended=True))

    def _sweep_forever(self) -> None:
        now = self._scheduler.now
        for member in list(self.configuration.servers_by_id.values()):
            heard_at = self._heard_at_by_id.setdefault(member.server_id, now)
            if now - heard_at > SILENCE_LIMIT_S:
                self._remove(member)
        self._scheduler.call_later(SWEEP_INTERVAL_S, self._sweep_forever)

    def _remove(self, member: ServerMember) -> None:
        self.propose(RemoveServer(server_id=member.server_id, boot_id=member.boot_id))
        self._heard_at_by_id.pop(member.server_id)

    def build_view(self) -> ControlView:
        """Return what instances are told now."""
        config = self.configuration
        membership = Configuration(
            servers_by_id=dict(config.servers_by_id),
            former_members_by_id=dict(config.former_members_by_id),
        )
        return ControlView(membership, self.routing, self.is_in_service)
