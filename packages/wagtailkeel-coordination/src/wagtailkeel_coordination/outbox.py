"""Interfaces through which the routing of an agent sends packets and messages."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from wagtailkeel_protocol.gue import DataFrame
    from wagtailkeel_protocol.messages import AnyDatagram


class DatagramOutbox(Protocol):
    """Sends datagrams of the control protocol to instances; delivery is not guaranteed."""

    def send(self, instance_id: str, message: AnyDatagram) -> None:
        """Send a message; one to an unknown instance id is counted and dropped."""


class PacketOutbox(Protocol):
    """Sends packets of flows."""

    def deliver(self, packet: bytes) -> None:
        """Deliver a packet to the local backend server."""

    def reply(self, packet: bytes) -> None:
        """Send a packet to its caller."""

    def forward(self, server_id: str, frame: DataFrame) -> None:
        """Send a frame to another agent."""
