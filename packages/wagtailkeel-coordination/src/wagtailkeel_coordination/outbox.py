"""What the agent's decisions ask the transport to send."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from wagtailkeel_protocol.gue import DataFrame
    from wagtailkeel_protocol.messages import AnyDatagram


class DatagramOutbox(Protocol):
    """Sends control datagrams to instances by id; delivery is not guaranteed."""

    def send(self, instance_id: str, message: AnyDatagram) -> None:
        """Send a message; an unknown instance id is counted and ignored."""


class PacketOutbox(Protocol):
    """Sends packets of flows."""

    def deliver(self, packet: bytes) -> None:
        """Hand a packet to the own server."""

    def reply(self, packet: bytes) -> None:
        """Send a packet towards its caller."""

    def forward(self, server_id: str, frame: DataFrame) -> None:
        """Send a frame to another agent."""
