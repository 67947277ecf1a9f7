"""Roles for packet formats whose opening handshake determines which server has a flow."""

from __future__ import annotations

from wagtailkeel.roles.handshake.agent import HandshakeAgent
from wagtailkeel.roles.handshake.balancer import HandshakeBalancer

__all__ = ["HandshakeAgent", "HandshakeBalancer"]
