"""The part of a directory owner that refuses openings, so that their callers learn it at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.priority_admission import LIMIT_AGE_S
from wagtailkeel_coordination.handshake.priority_admission import exceeds_limit
from wagtailkeel_protocol.messages import ANY_PRIORITY

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.pending_opening import PendingOpening
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.router_options import RouterOptions
    from wagtailkeel_coordination.handshake.server_choice import PeerLoads
    from wagtailkeel_protocol.messages import ServerLoad


class OpeningRefusals:
    """Refuses openings that no server accepts, or whose priority is too low under overload."""

    def __init__(self, context: RouterContext, loads: PeerLoads, options: RouterOptions) -> None:
        self._context = context
        self._loads = loads
        self._options = options
        self._limited_at_by_tag: dict[int, float] = {}

    def record_limit(self, load: ServerLoad) -> None:
        """Record that an agent of a service reports a priority limit, if it does."""
        if load.priority_limit < ANY_PRIORITY:
            self._limited_at_by_tag[load.service_tag] = self._context.now

    def exceeds_limit(self, opening: PendingOpening) -> bool:
        """Return whether an opening is above the priority limit of its service."""
        now = self._context.now
        limited_at = self._limited_at_by_tag.get(opening.tag, float("-inf"))
        if not self._options.priority_admission or now - limited_at > LIMIT_AGE_S:
            return False
        endpoint = self._context.packet_format.endpoint_of(opening.key)
        priority = self._context.routing.priority(endpoint)
        peers = self._loads.find_recent_of_service(opening.tag, now, LIMIT_AGE_S)
        return exceeds_limit(priority, peers, opening.target_s, now)

    def refuse_by_priority(self, opening: PendingOpening) -> None:
        """Refuse an opening above the priority limit of its service."""
        self._context.counters["openings_refused_by_priority"] += 1
        self._refuse(opening, "low_priority")

    def refuse_unplaced(self, opening: PendingOpening, candidate_count: int) -> None:
        """Refuse an opening that none of the candidates takes."""
        reason = "all_tried" if candidate_count else "no_server_accepts"
        if candidate_count and self._options.looks_for_room:
            reason = "no_room"
        self._refuse(opening, reason, candidate_count)

    def _refuse(self, opening: PendingOpening, reason: str, candidate_count: int = 0) -> None:
        """Refuse an opening that no server has seen, so that the caller learns it at once."""
        self._context.counters["openings_refused"] += 1
        self._context.emit(
            events.OpeningRefused(
                flow_id(opening.key),
                reason,
                len(opening.tried),
                candidate_count,
                self._context.routing.version,
            )
        )
        self._context.send_reset(opening.frame.body, opening.key)
