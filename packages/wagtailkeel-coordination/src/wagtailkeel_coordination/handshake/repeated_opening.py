"""Tells retransmissions of the opening of a held flow from the opening of a new flow.

A flow's key does not identify it for good, since callers use their ports again. The agent may not
have seen the end of the earlier flow: its caller has vanished, or one end has not closed it.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.held_flows import HeldFlow
    from wagtailkeel_protocol.packet_format import PacketHeader

RETRANSMISSION_TIMEOUT_S = 2.0
"""Openings that come later count as new ones, so this must be shorter than any drain period."""


class RepeatedOpening(Enum):
    """What an opening is whose key is that of a held flow."""

    RETRANSMISSION = "retransmission"
    """It was admitted with its first transmission; the server answers again."""
    OUTDATED = "outdated"
    """It was delayed on its way: its flow is open by now, or its server has answered before."""
    NEW = "new"
    """It requests another flow, about which the gate decides."""

    @classmethod
    def classify(cls, flow: HeldFlow, header: PacketHeader, now: float) -> RepeatedOpening:
        """Classify an opening that arrives at ``now`` (seconds) by the flow held under its key."""
        if flow.closed_at:
            return cls.NEW
        is_recent = now - flow.opened_at <= RETRANSMISSION_TIMEOUT_S
        if flow.initial_sequence is None:
            # The agent has restarted: transmissions of the flow's own opening may come still.
            return cls.OUTDATED if is_recent else cls.NEW
        if header.initial_sequence != flow.initial_sequence:
            return cls.NEW
        if is_recent:
            return cls.RETRANSMISSION
        return cls.OUTDATED if flow.is_established else cls.NEW
