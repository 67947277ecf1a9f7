"""A traffic class of a service."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.enums import FlowProtocol
from wagtailkeel_state.target import Target
from wagtailkeel_state.target import TargetKind


class TrafficClass(msgspec.Struct):
    """A class of traffic with its own port on the service's address and its own target."""

    name: str
    protocol: FlowProtocol
    port: int
    target: Target
    is_idempotent: bool = True
    idle_limit_s: float = 30.0

    @property
    def has_held_flows_target(self) -> bool:
        """Return whether the target bounds held flows instead of response times."""
        return self.target.kind is TargetKind.HELD_FLOWS
