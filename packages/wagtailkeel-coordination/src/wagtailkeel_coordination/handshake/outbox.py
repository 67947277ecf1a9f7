"""The interface by which an agent's router sends packets and frames."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from wagtailkeel_protocol.messages import AnyDatagram
    from wagtailkeel_protocol.relay import RelayKind

Address = tuple[str, int]


class RelayOutbox(Protocol):
    """Sends packets and frames without blocking; delivery is not guaranteed."""

    def deliver(self, packet: bytes) -> None:
        """Send a packet to the agent's backend server."""

    def reply(self, packet: bytes, caller_host: str) -> None:
        """Send a packet to its caller."""

    def relay(
        self,
        address: Address,
        kind: RelayKind,
        hops: int,
        routing_version: int,
        service_tag: int,
        body: bytes,
    ) -> None:
        """Send a frame to another agent."""

    def send_message(self, address: Address, message: AnyDatagram) -> None:
        """Send a message to another agent."""
