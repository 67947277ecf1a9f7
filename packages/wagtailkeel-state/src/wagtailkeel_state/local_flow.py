"""A flow that lives on this agent's own server."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.traffic_class import TrafficClass


class LocalFlow(msgspec.Struct):
    """What the agent has seen of a flow, in both directions; times are monotonic seconds."""

    key: bytes
    bucket: int
    traffic_class: TrafficClass
    opened_at: float
    last_inbound_at: float
    last_outbound_at: float = 0.0
    awaiting_since: float = 0.0
    unanswered_packets: int = 0
    was_queued: bool = False
    has_inbound_fin: bool = False
    has_outbound_fin: bool = False
    probed_at: float = 0.0
    last_packet: bytes = b""

    @property
    def is_awaiting(self) -> bool:
        """Tell whether the server owes an answer."""
        return self.awaiting_since > 0.0

    @property
    def is_closed(self) -> bool:
        """Tell whether both ends have sent FIN."""
        return self.has_inbound_fin and self.has_outbound_fin
