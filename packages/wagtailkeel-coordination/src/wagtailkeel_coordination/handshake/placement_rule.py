"""The rule by which a directory owner chooses servers, and the record of its choices."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination import events
from wagtailkeel_coordination.events import flow_id
from wagtailkeel_coordination.handshake.aged_load import AgedLoadChoice
from wagtailkeel_coordination.handshake.crossing_cost import CrossingCost
from wagtailkeel_coordination.handshake.load_requests import FRESH_LOAD_S
from wagtailkeel_coordination.handshake.server_choice import expected_wait_ms

if TYPE_CHECKING:
    from wagtailkeel_coordination.handshake.router_context import RouterContext
    from wagtailkeel_coordination.handshake.router_options import RouterOptions
    from wagtailkeel_coordination.handshake.server_choice import PeerLoad
    from wagtailkeel_coordination.handshake.server_choice import ServerChoice

CURRENT_LOAD_S = 0.01
"""A load that was requested for an opening is at most this old when the opening is placed."""


class PlacementRule:
    """The configured rule; ``aged`` is None unless that is the rule for aged loads."""

    def __init__(
        self,
        context: RouterContext,
        data_centre: str,
        choose: ServerChoice,
        options: RouterOptions,
    ) -> None:
        self.choose = choose
        self.aged: AgedLoadChoice | None = None
        if options.placement == "aged_loads":
            self.aged = AgedLoadChoice(CrossingCost(data_centre), lambda: context.now)
            self.choose = self.aged
        self._context = context
        self._data_centre = data_centre

    def expected_wait_ms(self, peer: PeerLoad) -> float:
        """Return the wait that an opening placed on a server now is expected to have."""
        if self.aged is not None:
            return self.aged.expected_wait_ms(peer, self._data_centre)
        return expected_wait_ms(peer, self._data_centre)

    def record_choice(self, peer: PeerLoad, key: bytes, candidate_count: int) -> None:
        """Report that an opening is placed on a server, and count the age of its load."""
        age_s = self._context.now - peer.received_at
        self._context.emit(
            events.OpeningPlaced(
                flow_id(key),
                peer.address[0],
                self._context.routing.version,
                candidate_count,
                round(self.expected_wait_ms(peer), 1),
                round(age_s * 1_000, 1),
            )
        )
        self._context.counters[_name_age(age_s)] += 1


def _name_age(age_s: float) -> str:
    """Return the counter of openings that are placed by a load of an age."""
    if age_s <= CURRENT_LOAD_S:
        return "placed_by_current_load"
    if age_s <= FRESH_LOAD_S:
        return "placed_by_recent_load"
    return "placed_by_old_load"
