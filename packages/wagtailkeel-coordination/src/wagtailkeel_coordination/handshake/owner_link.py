"""Answers of a flow holder to directory owners, in the same process or at other agents."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from wagtailkeel_protocol import relay
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_protocol.packet_format import PacketHeader
    from wagtailkeel_protocol.relay import RelayFrame

Address = tuple[str, int]


class LocalOwner(Protocol):
    """Notifications of a flow holder to the directory owner in the same process."""

    def on_rejected(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        """Process an opening that the agent at ``source`` has rejected."""

    def on_returned(self, frame: RelayFrame, header: PacketHeader, source: Address) -> None:
        """Process a later packet that the agent at ``source`` has returned."""

    def on_found(self, key: bytes, source: Address) -> None:
        """Record that the agent at ``source`` has the flow."""

    def on_not_found(self, key: bytes, source: Address) -> None:
        """Record that the agent at ``source`` does not have the flow."""

    def are_most_outliers(self) -> bool:
        """Return whether at least half of the service's known servers are outliers.

        The agent's own server counts as one, so this is true if no other server is known.
        """


class OwnerLink:
    """Passes returned packets and answers to the directory owner at an address."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._owner: LocalOwner

    def connect(self, owner: LocalOwner) -> None:
        """Set the directory owner of the same process."""
        self._owner = owner

    def are_most_outliers(self) -> bool:
        """Return whether at least half of the service's known servers are outliers."""
        return self._owner.are_most_outliers()

    def return_packet(self, address: Address, frame: RelayFrame, header: PacketHeader) -> None:
        """Return a rejected opening or another packet to its owner."""
        if address != self._context.own_address:
            self._context.send(address, frame.kind, frame, frame.body)
        elif frame.kind is RelayKind.REJECTED:
            self._owner.on_rejected(frame, header, address)
        else:
            self._owner.on_returned(frame, header, address)

    def answer(self, requester: Address, kind: RelayKind, key: bytes) -> None:
        """Answer an owner that asked whether the server has a flow."""
        if requester != self._context.own_address:
            self._context.outbox.relay(requester, kind, 0, 0, relay.NO_SERVICE, key)
        elif kind is RelayKind.FOUND:
            self._owner.on_found(key, requester)
        else:
            self._owner.on_not_found(key, requester)
