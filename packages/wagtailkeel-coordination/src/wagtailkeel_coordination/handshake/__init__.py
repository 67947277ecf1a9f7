"""Routing for protocols whose opening handshake determines which server has a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.agent_router import AgentRouter
    from wagtailkeel_coordination.handshake.balancer_router import BalancerRouter
    from wagtailkeel_coordination.handshake.former_members import FormerMembers
    from wagtailkeel_coordination.handshake.load_sample import SampleSize
    from wagtailkeel_coordination.handshake.member import Member
    from wagtailkeel_coordination.handshake.recorded_server import RecordedServer
    from wagtailkeel_coordination.handshake.router_options import RouterOptions
    from wagtailkeel_coordination.handshake.server_gate import ColdLimit
    from wagtailkeel_coordination.handshake.server_gate import ServerGate
    from wagtailkeel_coordination.handshake.server_report import ReportOutcome
    from wagtailkeel_coordination.handshake.server_report import ServerReport

__all__ = [
    "AgentRouter",
    "BalancerRouter",
    "ColdLimit",
    "FormerMembers",
    "Member",
    "RecordedServer",
    "ReportOutcome",
    "RouterOptions",
    "SampleSize",
    "ServerGate",
    "ServerReport",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "AgentRouter": "agent_router",
        "BalancerRouter": "balancer_router",
        "ColdLimit": "server_gate",
        "FormerMembers": "former_members",
        "Member": "member",
        "RecordedServer": "recorded_server",
        "RouterOptions": "router_options",
        "SampleSize": "load_sample",
        "ServerGate": "server_gate",
        "ReportOutcome": "server_report",
        "ServerReport": "server_report",
    },
)
