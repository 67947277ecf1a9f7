"""Routing for protocols whose opening handshake determines which server has a flow."""

from __future__ import annotations

from wagtailkeel_coordination.handshake.agent_router import AgentRouter
from wagtailkeel_coordination.handshake.balancer_router import BalancerRouter
from wagtailkeel_coordination.handshake.load_sample import SampleSize
from wagtailkeel_coordination.handshake.member import Member
from wagtailkeel_coordination.handshake.server_gate import ColdLimit
from wagtailkeel_coordination.handshake.server_gate import ServerGate
from wagtailkeel_coordination.handshake.server_gate import ServerReport

__all__ = [
    "AgentRouter",
    "BalancerRouter",
    "ColdLimit",
    "Member",
    "SampleSize",
    "ServerGate",
    "ServerReport",
]
