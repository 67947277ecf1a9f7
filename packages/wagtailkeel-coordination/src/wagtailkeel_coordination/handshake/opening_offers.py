"""The part of a directory owner that sends openings to agents, or to its own flow holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.handshake.flow_holder import FIRST_PLACEMENT_HOPS
from wagtailkeel_protocol import relay
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.flow_holder import FlowHolder
    from wagtailkeel_coordination.handshake.pending_opening import PendingOpening
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.server_choice import PeerLoads

Address = tuple[str, int]

MAX_OFFERED_OPENINGS = 256
"""An offered opening is declined within milliseconds or not at all."""


class OpeningOffers:
    """Sends openings to the chosen agents; with ``may_decline``, these may decline them once."""

    def __init__(
        self, context: RouterContext, holder: FlowHolder, loads: PeerLoads, *, may_decline: bool
    ) -> None:
        self._context = context
        self._holder = holder
        self._loads = loads
        self._may_decline = may_decline
        self._offered_by_key: dict[bytes, PendingOpening] = {}

    def offer(self, opening: PendingOpening, address: Address) -> bool:
        """Send an opening to an agent, or open its flow here.

        Return False if this agent rejects the opening.
        """
        frame = opening.frame
        if address == self._context.own_address:
            return self._open_here(opening)
        kind = self._choose_kind(opening, address)
        self._loads.count_opening(address)
        self._context.relay(address, kind, frame, opening.tag, frame.body)
        return True

    def _open_here(self, opening: PendingOpening) -> bool:
        frame, key, own_address = opening.frame, opening.key, self._context.own_address
        openings = self._holder.openings
        is_first = not opening.tried and frame.hops < FIRST_PLACEMENT_HOPS
        if openings.withholds(key, is_first=is_first):
            return False
        if self._holder.admission is not None:
            return self._holder.waiting.accept(frame, key, opening.service, own_address) is None
        if not openings.has_room(key) or not openings.admit(opening.service, key):
            return False
        openings.open(frame.body, key, own_address)
        return True

    def _choose_kind(self, opening: PendingOpening, address: Address) -> RelayKind:
        """Return whether an opening is placed, or offered to an agent that may decline it once.

        An agent that does not report ``opened_flows`` may be of a release that takes no offers.
        """
        peer = self._loads.by_address.get(address)
        is_known = peer is not None and peer.load.opened_flows > 0
        if not self._may_decline or opening.is_declined or opening.tried or not is_known:
            return RelayKind.PLACE
        self._offered_by_key[opening.key] = opening
        if len(self._offered_by_key) > MAX_OFFERED_OPENINGS:
            del self._offered_by_key[next(iter(self._offered_by_key))]
        return RelayKind.OFFER

    def pop_offered(self, key: bytes) -> PendingOpening | None:
        """Forget an opening that was offered and has come back; return it, if it is known."""
        return self._offered_by_key.pop(key, None)

    def offer_queue(self, opening: PendingOpening, address: Address, wait_limit_s: float) -> bool:
        """Send an opening to be queued at an agent, or queue it here.

        Return False if this agent rejects the opening.
        """
        frame = opening.frame
        if address == self._context.own_address:
            return self._queue_here(opening, wait_limit_s)
        self._loads.count_opening(address)
        body = relay.encode_queued(wait_limit_s, frame.body)
        self._context.relay(address, RelayKind.QUEUE, frame, opening.tag, body)
        return True

    def _queue_here(self, opening: PendingOpening, wait_limit_s: float) -> bool:
        frame, key, own_address = opening.frame, opening.key, self._context.own_address
        waiting = self._holder.waiting
        if self._holder.admission is None:
            return waiting.queue_opening(frame, key, own_address, wait_limit_s)
        answer = waiting.accept(frame, key, opening.service, own_address, wait_limit_s)
        return answer is None
