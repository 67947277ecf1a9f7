"""A flow on the agent's backend server."""

from __future__ import annotations

import msgspec

from wagtailkeel_state.traffic_class import TrafficClass


class LocalFlow(msgspec.Struct):
    """State of a flow as seen by the agent in both directions; times are in monotonic seconds.

    ``awaiting_since`` is 0 while no answer is expected. ``was_queued`` is true if all slots of the
    server were busy when the unanswered request arrived. ``last_packet`` is the caller's last
    packet that awaits an answer; probes and resets are built from it.
    """

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
    def is_awaiting_answer(self) -> bool:
        """Return whether an answer of the server is expected."""
        return self.awaiting_since > 0.0

    @property
    def is_closed(self) -> bool:
        """Return whether both ends have sent FIN."""
        return self.has_inbound_fin and self.has_outbound_fin
