"""Roles for packet formats whose opening handshake determines which server has a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_state.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from wagtailkeel.roles.handshake.agent import HandshakeAgent
    from wagtailkeel.roles.handshake.balancer import HandshakeBalancer

__all__ = ["HandshakeAgent", "HandshakeBalancer"]

__getattr__ = lazy_exports(
    __name__,
    {
        "HandshakeAgent": "agent",
        "HandshakeBalancer": "balancer",
    },
)
