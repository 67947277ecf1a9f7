"""What an agent's routing decisions ask the transport to send."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from wagtailkeel_protocol.relay import RelayKind

Address = tuple[str, int]


class RelayOutbox(Protocol):
    """Sends packets and frames without waiting; delivery is not guaranteed."""

    def deliver(self, packet: bytes) -> None:
        """Hand a packet to the own server."""

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
